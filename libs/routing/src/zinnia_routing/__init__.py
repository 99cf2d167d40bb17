"""Planning, admission control, hedging, retries and result merging of queries."""
