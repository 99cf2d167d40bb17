"""Connections between the VMs of this tier, and the thrift messages on them."""
