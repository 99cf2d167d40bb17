"""Replica ownership, liveness promises, the member list and configuration revisions."""
