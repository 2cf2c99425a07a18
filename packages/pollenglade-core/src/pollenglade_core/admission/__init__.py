"""Admission control of calls to one target."""
