"""Published profiles and keys."""
