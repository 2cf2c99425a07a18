"""Claims, which ensure that a non-idempotent call runs at most once."""
