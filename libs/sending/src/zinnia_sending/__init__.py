"""Sends requests to replicas: connections, choice, hedges, budgets and merging."""
