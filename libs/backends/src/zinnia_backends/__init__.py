"""Connections to backend servers, cold start and replica queues."""
