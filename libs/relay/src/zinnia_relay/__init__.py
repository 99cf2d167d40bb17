"""VMs that learn changes of the platform's store from each other."""
