"""Load, experiment and demo tool."""
