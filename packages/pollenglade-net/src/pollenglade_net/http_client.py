"""HTTP client that buffers each response completely."""

from __future__ import annotations

import asyncio

from .address import Address
from .body_buffer import BodyBuffer
from .client_connection import MAX_IDLE_S
from .client_connection import ClientConnection
from .connection_pool import CONNECT_TIMEOUT_S
from .connection_pool import ConnectionPool
from .http_message import FailureReason
from .http_message import Headers
from .http_message import HttpFailure
from .http_message import HttpResponse

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class _ResponseCollector:
    """Response sink that sets the result of a future to the complete response.

    A body above the limit ends the request and its connection at once.
    """

    def __init__(self, connection: ClientConnection, limit_bytes: int) -> None:
        self._connection = connection
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[HttpResponse | HttpFailure] = loop.create_future()
        self._status = 0
        self._headers: Headers = []
        self._body = BodyBuffer()
        self._limit_bytes = limit_bytes

    def on_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        if len(self._body) + len(data) <= self._limit_bytes:
            self._body.append(data)
            return
        detail = f"the body is larger than {self._limit_bytes} bytes"
        self.on_failure(HttpFailure(FailureReason.TOO_LARGE, True, detail))
        self._connection.cancel(self)

    def on_end(self) -> None:
        if not self.result.done():
            self.result.set_result(HttpResponse(self._status, self._headers, self._body.take()))

    def on_failure(self, failure: HttpFailure) -> None:
        if not self.result.done():
            self.result.set_result(failure)


class HttpClient:
    """Sends requests over pooled connections and buffers each response completely."""

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self._pool = pool or ConnectionPool()

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes | bytearray = b"",
        timeout_s: float = 2.0,
        limit_bytes: int = MAX_RESPONSE_BYTES,
        max_idle_s: float = MAX_IDLE_S,
        host: str | None = None,
    ) -> HttpResponse | HttpFailure:
        """Send one request and return its response, or an HttpFailure.

        `timeout_s` limits the time for connecting and for the complete response, `limit_bytes` the
        size of the response body. A pooled connection is reused only if it has been idle for at
        most `max_idle_s`. `host` replaces the address in the Host field.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self._pool.acquire(address, max_idle_s)
        if connection is None:
            connect_result = await self._pool.connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
            if isinstance(connect_result, HttpFailure):
                return connect_result
            connection = connect_result
        collector = _ResponseCollector(connection, limit_bytes)
        fields = [(b"host", (host or str(address)).encode()), *(headers or [])]
        remaining_s = max(deadline - loop.time(), 0.001)
        connection.send(method, target.encode(), fields, body, collector, remaining_s)
        try:
            return await collector.result
        except asyncio.CancelledError:
            connection.cancel(collector)
            raise

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
