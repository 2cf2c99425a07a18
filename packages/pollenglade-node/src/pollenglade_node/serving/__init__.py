"""The serving role of a node: calls at the targets on this host."""
