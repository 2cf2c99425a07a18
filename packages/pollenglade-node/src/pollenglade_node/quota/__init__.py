"""Quota of this node: token requests to other nodes, and the slots that it holds."""
