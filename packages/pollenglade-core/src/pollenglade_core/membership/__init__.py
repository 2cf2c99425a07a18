"""Which nodes are alive, and what they offer."""
