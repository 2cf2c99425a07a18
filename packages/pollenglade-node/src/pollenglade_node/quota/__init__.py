"""Slots and asks between nodes."""
