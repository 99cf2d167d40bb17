"""The process that callers reach: HTTP server, request handling, feeds, drain, logs and metrics."""
