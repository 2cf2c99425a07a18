"""Whether a peer has closed its connection, also where its last bytes have not been read."""

from __future__ import annotations

import asyncio
import select


class PeerWatch:
    """Asks the operating system about one connection; a transport tells it only after reading."""

    __slots__ = ("_poll", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poll = select.poll()
        # A reset and an error are always reported.
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)

    @property
    def has_left(self) -> bool:
        """Whether the peer has closed its sending side or the connection is broken."""
        return self._transport.is_closing() or bool(self._poll.poll(0))
