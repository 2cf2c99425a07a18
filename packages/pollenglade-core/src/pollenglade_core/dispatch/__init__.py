"""Decisions of the node that receives a request."""
