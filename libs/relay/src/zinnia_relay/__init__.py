"""Relay of the platform store's changes from VM to VM."""
