"""VMs of a data centre that run parts of a request over many shards for each other."""
