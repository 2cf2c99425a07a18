"""Calls, what became of them, and their counts."""
