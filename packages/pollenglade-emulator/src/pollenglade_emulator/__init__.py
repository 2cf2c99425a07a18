"""Stand-ins, load generator and scenarios for development; not part of the shipped binaries."""
