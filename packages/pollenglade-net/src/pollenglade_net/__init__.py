"""HTTP server and client on h11, links between nodes, and the platform client."""
