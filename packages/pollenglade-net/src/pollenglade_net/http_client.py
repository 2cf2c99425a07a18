"""Requests whose responses are collected as a whole."""

from __future__ import annotations

import asyncio

from .address import Address
from .client_connection import CONNECT_TIMEOUT_S
from .client_connection import MAX_IDLE_S
from .client_connection import ConnectionPool
from .http_message import FailureReason
from .http_message import Headers
from .http_message import HttpFailure
from .http_message import HttpResponse

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class _Collector:
    """Sink that collects a whole response into a future."""

    def __init__(self, limit_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[HttpResponse | HttpFailure] = loop.create_future()
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._bytes = 0
        self._limit = limit_bytes

    def on_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        self._bytes += len(data)
        if self._bytes <= self._limit:
            self._parts.append(data)

    def on_end(self) -> None:
        if self._bytes > self._limit:
            self.on_failure(HttpFailure(FailureReason.TOO_LARGE, True))
        elif not self.result.done():
            body = b"".join(self._parts)
            self.result.set_result(HttpResponse(self._status, self._headers, body))

    def on_failure(self, failure: HttpFailure) -> None:
        if not self.result.done():
            self.result.set_result(failure)


class HttpClient:
    """Sends requests whose responses are collected as a whole."""

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self._pool = pool or ConnectionPool()

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = 2.0,
        limit_bytes: int = MAX_RESPONSE_BYTES,
        max_idle_s: float = MAX_IDLE_S,
        host: str | None = None,
    ) -> HttpResponse | HttpFailure:
        """Send one request; `timeout_s` covers connecting and the whole response.

        `host` takes the place of the address in the Host field.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self._pool.take(address, max_idle_s)
        if connection is None:
            opened = await self._pool.connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
            if isinstance(opened, HttpFailure):
                return opened
            connection = opened
        collector = _Collector(limit_bytes)
        fields = [(b"host", (host or str(address)).encode()), *(headers or [])]
        remaining = max(deadline - loop.time(), 0.001)
        connection.send(method, target.encode(), fields, body, collector, remaining)
        try:
            return await collector.result
        except asyncio.CancelledError:
            connection.cancel(collector)
            raise

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
