"""Entry process of the tier: HTTP server, request handling, store feeds, drain, logs, metrics."""
