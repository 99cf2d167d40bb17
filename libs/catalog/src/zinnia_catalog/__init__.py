"""What a VM believes of the configuration, the replicas and the other VMs."""
