"""Membership of this node: announcements, gossip and the links to other nodes."""
