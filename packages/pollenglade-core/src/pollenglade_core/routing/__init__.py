"""Which target gets a call."""
