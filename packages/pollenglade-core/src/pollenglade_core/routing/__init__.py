"""Choice of the target for each call."""
