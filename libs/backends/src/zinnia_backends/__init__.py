"""Sends sub-requests to backend servers: queues, connections, health checks and cold start."""
