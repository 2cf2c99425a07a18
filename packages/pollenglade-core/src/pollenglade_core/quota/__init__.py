"""Rate limits by leased slots."""
