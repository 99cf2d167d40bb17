"""Client of the object API of the platform, with rate limits and conditional writes."""
