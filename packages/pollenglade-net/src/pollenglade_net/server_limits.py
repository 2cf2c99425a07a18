"""Size limits and timeouts of an HTTP server."""

from __future__ import annotations

from dataclasses import dataclass

from .http_message import MAX_BODY_BYTES
from .http_message import MAX_HEAD_BYTES

DEFAULT_MAX_CONNECTIONS = 2048


@dataclass(slots=True)
class ServerLimits:
    """Size limits of requests in bytes, and timeouts in seconds; None means no timeout.

    `head_timeout_s` limits the time to receive the head of a request, `idle_timeout_s` the time
    between requests. `cancel_on_eof` means that a caller that closes its sending side is treated as
    disconnected, and its request is cancelled. `max_connections` is the number of connections above
    which others are closed for a new one.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    head_timeout_s: float | None = None
    idle_timeout_s: float | None = None
    cancel_on_eof: bool = False
    max_connections: int = DEFAULT_MAX_CONNECTIONS


def control_limits() -> ServerLimits:
    """Return the limits of a port that only the platform and the local endpoint use."""
    return ServerLimits(
        body_bytes=64 * 1024, head_timeout_s=5.0, idle_timeout_s=60.0, max_connections=64
    )
