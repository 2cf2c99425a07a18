"""Membership of nodes: failure detection, the member table and gossip messages."""
