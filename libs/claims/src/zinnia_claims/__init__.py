"""At-most-once execution of non-repeatable requests, by claims on idempotency keys."""
