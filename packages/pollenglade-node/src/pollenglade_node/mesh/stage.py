"""Progress of a request or an attempt, for logs and metrics."""

from __future__ import annotations

from enum import StrEnum


class Stage(StrEnum):
    """Where a request or an attempt currently waits or runs."""

    TOKEN = "token"
    """At the entry node, waiting for a token of its organisation."""

    PLACED = "placed"
    """At the entry node, waiting for the result of an attempt."""

    QUEUED = "queued"
    """At the serving node, waiting for a free slot."""

    CONNECTING = "connecting"
    """At the serving node, waiting for a connection to the endpoint."""

    RUNNING = "running"
    """At the endpoint, which has not completed its response."""

    STREAMING = "streaming"
    """The response is being streamed back in chunks."""
