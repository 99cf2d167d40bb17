"""A VM's view of the configuration, the replicas and the other VMs."""
