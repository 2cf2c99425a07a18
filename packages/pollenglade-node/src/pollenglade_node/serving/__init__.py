"""Calls at the targets of this host."""
