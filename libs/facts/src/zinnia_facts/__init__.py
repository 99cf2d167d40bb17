"""Mergeable table of soft state shared between VMs."""
