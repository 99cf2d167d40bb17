"""Sends requests to replicas: connections, replica selection, hedges, retry budgets and merging."""
