"""Client of the platform object API."""
