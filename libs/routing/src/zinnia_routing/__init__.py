"""Planning, hedging, budgets, admission and merging of queries."""
