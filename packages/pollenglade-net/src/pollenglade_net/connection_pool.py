"""Client connections that wait for their next request, by server address."""

from __future__ import annotations

import asyncio
from collections import deque

from .address import Address
from .client_connection import MAX_IDLE_S
from .client_connection import ClientConnection
from .http_message import FailureReason
from .http_message import HttpFailure

CONNECT_TIMEOUT_S = 1.0
NON_RETRYABLE_MAX_IDLE_S = 1.0
"""Maximum idle time of a connection that is used for a call that must not be retried."""

MAX_IDLE_CONNECTIONS = 64


class ConnectionPool:
    """Pool of client connections by server address; the most recently used is reused first.

    `max_idle` is the maximum number of idle connections per address. `source_host`, if set, is the
    local address that connections are opened from.
    """

    def __init__(
        self, max_idle: int = MAX_IDLE_CONNECTIONS, source_host: str | None = None
    ) -> None:
        self._local_address = (source_host, 0) if source_host else None
        self._idle_by_address: dict[Address, deque[ClientConnection]] = {}
        self._max_idle = max_idle
        self._open_connections: set[ClientConnection] = set()

    def acquire(
        self, address: Address, max_idle_s: float = MAX_IDLE_S, tag: bytes = b""
    ) -> ClientConnection | None:
        """Remove and return an idle connection last used within `max_idle_s`, or return None.

        A connection that has carried a request with the same `tag` is not returned, because a late
        duplicate of the response to it would be taken for the response to the next one.
        """
        idle_connections = self._idle_by_address.get(address)
        now = asyncio.get_running_loop().time()
        for connection in reversed(list(idle_connections or ())):
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if not connection.is_open or now - connection.idle_since > limit_s:
                connection.abort()
            elif not tag or not connection.has_carried(tag):
                assert idle_connections is not None
                idle_connections.remove(connection)
                return connection
        return None

    async def connect(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection | HttpFailure:
        """Open a new connection; return an HttpFailure if it cannot be opened in time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self, address),
                    address.host,
                    address.port,
                    local_addr=self._local_address,
                )
        except TimeoutError:
            return HttpFailure(FailureReason.CONNECT, False, f"{address}: connect timed out")
        except OSError as error:
            return HttpFailure(FailureReason.CONNECT, False, f"{address}: {error}")
        self._open_connections.add(connection)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return an idle connection to the pool, and close the oldest one if there are too many."""
        connection.idle_since = asyncio.get_running_loop().time()
        idle_connections = self._idle_by_address.setdefault(connection.address, deque())
        if len(idle_connections) >= self._max_idle:
            idle_connections.popleft().abort()
        idle_connections.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open_connections.discard(connection)
        idle_connections = self._idle_by_address.get(connection.address)
        if idle_connections and connection in idle_connections:
            idle_connections.remove(connection)

    def close_idle(self, address: Address) -> None:
        """Close all idle connections to `address`."""
        for connection in list(self._idle_by_address.pop(address, ())):
            connection.abort()

    async def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open_connections):
            connection.abort()
        self._idle_by_address.clear()
        await asyncio.sleep(0)
