"""Replica ownership, liveness promises and configuration spread."""
