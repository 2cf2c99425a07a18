"""The control port: status, metrics and configuration."""
