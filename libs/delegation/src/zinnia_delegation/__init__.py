"""Delegation of parts of a fan-out over many shards to other VMs of the data centre."""
