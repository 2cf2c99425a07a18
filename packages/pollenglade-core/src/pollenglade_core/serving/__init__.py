"""Decisions of a serving node on the requests to its local endpoint."""
