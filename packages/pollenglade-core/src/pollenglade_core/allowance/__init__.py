"""Rate limits of organisations over the sum of all nodes."""
