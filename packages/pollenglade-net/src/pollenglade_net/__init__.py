"""HTTP server and client, links between nodes, and the platform client."""
