"""HTTP by h11, the link between nodes and the client of the platform."""
