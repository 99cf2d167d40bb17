"""At most one run of a non-repeatable request."""
