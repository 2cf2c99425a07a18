"""Calls of callers on this host."""
