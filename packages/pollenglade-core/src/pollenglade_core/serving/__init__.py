"""Decisions of the node beside an endpoint."""
