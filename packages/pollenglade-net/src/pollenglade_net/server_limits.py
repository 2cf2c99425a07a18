"""What callers of a server may send, and how long they may take."""

from __future__ import annotations

from dataclasses import dataclass

from .http_message import MAX_BODY_BYTES
from .http_message import MAX_HEAD_BYTES


@dataclass(slots=True)
class ServerLimits:
    """Bounds on what a caller may send and how long it may take, in bytes and seconds.

    A time of None is not limited. `cancel_on_eof` says that a caller which closes its sending side
    does not wait for its response.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    head_timeout_s: float | None = None
    idle_timeout_s: float | None = None
    cancel_on_eof: bool = False
