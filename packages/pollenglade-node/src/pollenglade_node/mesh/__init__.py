"""The daemon beside endpoints that need no change: routes by host and path, keys in the configuration."""
