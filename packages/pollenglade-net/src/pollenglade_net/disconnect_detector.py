"""Detects that a peer has closed its connection, even if some of its bytes are still unread."""

from __future__ import annotations

import asyncio
import select


class DisconnectDetector:
    """Polls the socket of one connection, as a transport reports the end only after reading."""

    __slots__ = ("_poll", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poll = select.poll()
        # Resets and errors are always reported and need no flag.
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)

    @property
    def has_disconnected(self) -> bool:
        """Whether the peer has closed its sending side or the connection is broken."""
        return self._transport.is_closing() or bool(self._poll.poll(0))
