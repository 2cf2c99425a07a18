"""HTTP/1.1 server that passes complete requests to a synchronous handler."""

from __future__ import annotations

import asyncio
from time import monotonic

from .memory_budget import MemoryBudget
from .server_connection import Handler
from .server_connection import ServerConnection
from .server_limits import ServerLimits

MAX_LISTEN_BACKLOG = 1024
"""Largest number of connections that wait to be accepted; all may be accepted in one turn of the
event loop, so that it also depends on the limit on connections."""

MIN_LISTEN_BACKLOG = 16

MIN_REPLACED_FRACTION = 1 / 32
"""Part of the connections that are closed together for new ones, as their search takes time."""

EXPIRY_CHECK_INTERVAL_S = 0.5
"""Interval between checks for connections that have timed out."""


def listen_backlog(max_connections: int) -> int:
    """Return how many connections may wait to be accepted on a port with this limit."""
    return min(MAX_LISTEN_BACKLOG, max(MIN_LISTEN_BACKLOG, max_connections // 2))


class HttpServer:
    """Listens on one address and passes requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.memory_budget = memory_budget or MemoryBudget()
        self.memory_budget.reclaimers.append(self._end_stalled_requests)
        # In the order in which they were accepted.
        self.connections: dict[ServerConnection, None] = {}
        self.draining = False
        self._server: asyncio.Server | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port; with port 0 the operating system chooses one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=listen_backlog(self.limits.max_connections),
        )
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def has_unsent_output(self) -> bool:
        """Whether a caller has still to read a part of a response that has been written."""
        return any(connection.has_unsent_output for connection in self.connections)

    def track_connection(self, connection: ServerConnection) -> None:
        """Add an open connection and check it for timeouts until it closes."""
        if len(self.connections) >= self.limits.max_connections and not self._make_room():
            connection.abort()
            return
        self.connections[connection] = None
        if self._expiry_timer is None:
            self._schedule_expiry_check()

    def forget_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)

    def _make_room(self) -> bool:
        """Close connections without a request in progress; return whether there were any."""
        ranked = [
            (rank, connection.idle_since, connection)
            for connection in self.connections
            if (rank := connection.replacement_rank) is not None
        ]
        ranked.sort(key=lambda item: item[:2])
        count = max(1, int(self.limits.max_connections * MIN_REPLACED_FRACTION))
        for _, _, connection in ranked[:count]:
            del self.connections[connection]
            connection.abort()
        return bool(ranked)

    def _schedule_expiry_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._check_connections)

    def _check_connections(self) -> None:
        self._expiry_timer = None
        now = monotonic()
        try:
            for connection in list(self.connections):
                connection.check_expiry(now)
                connection.check_progress()
        finally:
            if self.connections:
                self._schedule_expiry_check()

    def _end_stalled_requests(self) -> None:
        for connection in list(self.connections):
            connection.end_if_stalled()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def stop_listening(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close all connections after their unsent data has been written."""
        self.stop_listening()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        for connection in list(self.connections):
            connection.close()
        await asyncio.sleep(0)
