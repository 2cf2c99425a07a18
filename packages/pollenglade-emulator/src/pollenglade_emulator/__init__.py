"""Stand-ins, load tool and scenarios for development; not part of the shipped binaries."""
