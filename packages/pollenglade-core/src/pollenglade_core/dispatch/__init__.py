"""Decisions of an entry node on requests: admission, placement and retries."""
