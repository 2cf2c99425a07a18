"""Rate limits of organisations, summed over all nodes."""
