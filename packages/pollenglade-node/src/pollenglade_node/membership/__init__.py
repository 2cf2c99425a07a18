"""Members, gossip and the links between nodes."""
