"""How far a request or an attempt has come, for logs and metrics."""

from __future__ import annotations

from enum import StrEnum


class Stage(StrEnum):
    """What holds the work of a request at one moment."""

    TOKEN = "token"
    """At the entry node, until its organisation has a token."""

    PLACED = "placed"
    """At the entry node, until an attempt has a result."""

    QUEUED = "queued"
    """At the node of the endpoint, until a slot is free."""

    CONNECTING = "connecting"
    """At the node of the endpoint, until a connection is open."""

    RUNNING = "running"
    """At the endpoint."""

    STREAMING = "streaming"
    """On the way back, in parts."""
