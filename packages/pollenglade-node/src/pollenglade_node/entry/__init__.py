"""The entry role of a node: calls that callers and targets on this host send to it."""
