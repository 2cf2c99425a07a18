"""HTTP/1.1 connections to servers by h11, pooled for each address."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections import deque
from typing import Protocol
from typing import cast

import h11

from .address import Address
from .http_message import END_OF_MESSAGE
from .http_message import MAX_HEAD_BYTES
from .http_message import FailureReason
from .http_message import Headers
from .http_message import HttpFailure
from .http_message import encode_fields
from .http_message import fields_of

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 30.0
FRESH_IDLE_S = 1.0
"""A connection idle for longer is not used for a call that must not be repeated."""

MAX_IDLE_CONNECTIONS = 64

IDLE_MARGIN_S = 0.5
"""Time in seconds before the end of a stated idle time from which a connection is not used."""

EARLIER_TAGS = 16
"""Tags of earlier requests by which a late extra response is recognised."""

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing sends a reset."""


def _bare_request(method: str) -> h11.Request:
    return h11.Request(method=method, target=b"/", headers=[(b"host", b"-")])


BARE_REQUESTS = {method: _bare_request(method) for method in ("GET", "HEAD", "POST", "PUT")}
"""The state of the parser depends on the method of the request only."""


class ResponseSink(Protocol):
    """Receives the parts of one response; exactly one of `on_end` and `on_failure` comes last."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the status and header fields."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Take the end of a whole response."""

    def on_failure(self, failure: HttpFailure) -> None:
        """Take the reason why the response is missing or incomplete."""


class ClientConnection(asyncio.Protocol):
    """One connection to a server; runs one request at a time."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self._pool = pool
        self.address = address
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._sink: ResponseSink | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._method = ""
        self._tag = b""
        self._tag_field = b""
        self._earlier_tags: deque[bytes] = deque(maxlen=EARLIER_TAGS)
        self._discarding = False
        self._paused = False
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._pool.forget(self)
        if self._sink is not None:
            if exc is None:
                # Only an orderly close ends a body without a length.
                self._h11.receive_data(b"")
                self._advance()
            self._fail(FailureReason.CLOSED, str(exc or "connection closed by the server"))

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes without a request would be taken for the response to the next request.
            self.abort()
            return
        self._h11.receive_data(data)
        self._advance()

    def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        sink: ResponseSink,
        timeout_s: float,
        validated: bool = False,
        tag_field: bytes = b"",
        tag: bytes = b"",
    ) -> None:
        """Send a request; the sink gets the response or the failure.

        `validated` says that h11 has parsed the fields before or that they are constants. Where the
        server repeats a tag of the request in `tag_field`, a response with the tag of an earlier
        request is discarded and the next one awaited.
        """
        assert self._transport is not None and self._sink is None
        self._sink = sink
        fields = headers
        if body or method in ("POST", "PUT", "PATCH"):
            fields = [*headers, (b"content-length", b"%d" % len(body))]
        self._tag_field, self._tag = tag_field, tag
        self._method = method
        try:
            if validated:
                first_line = b"%b %b HTTP/1.1\r\n" % (method.encode(), target)
                data = encode_fields(first_line, fields) + body
                self._expect_response()
            else:
                data = self._encode(h11.Request(method=method, target=target, headers=fields), body)
        except h11.LocalProtocolError as error:
            self._sink = None
            self.abort()
            sink.on_failure(HttpFailure(FailureReason.PROTOCOL, False, str(error)))
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, self._fail, FailureReason.TIMEOUT, "no response")
        self._transport.write(data)

    def _encode(self, head: h11.Request, body: bytes) -> bytes:
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(END_OF_MESSAGE))
        return b"".join(part for part in parts if part)

    def _expect_response(self) -> None:
        """Bring the parser to the response of a request that is written without it."""
        bare = BARE_REQUESTS.get(self._method) or _bare_request(self._method)
        self._h11.send(bare)
        self._h11.send(END_OF_MESSAGE)

    def _advance(self) -> None:
        while self._sink is not None:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(FailureReason.PROTOCOL, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                headers = fields_of(event.headers)
                self._note_idle_limit(headers)
                self._discarding = self._is_late_extra(headers)
                if not self._discarding:
                    self._sink.on_head(event.status_code, headers)
            elif isinstance(event, h11.Data):
                if not self._discarding:
                    self._sink.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if not self._discarding:
                    self._complete()
                    return
                self._await_next()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _is_late_extra(self, headers: Headers) -> bool:
        if not self._tag_field or not self._earlier_tags:
            return False
        tag = next((value for key, value in headers if key == self._tag_field), self._tag)
        # A rejected request may have been sent again on the same connection.
        return tag != self._tag and tag in self._earlier_tags

    def _await_next(self) -> None:
        """Wait for the response that follows a discarded one."""
        following, closed = self._h11.trailing_data
        self._discarding = False
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._expect_response()
        if following:
            self._h11.receive_data(following)
        if closed:
            self._h11.receive_data(b"")

    def _note_idle_limit(self, headers: Headers) -> None:
        """Learn from `Keep-Alive` how long the server keeps an idle connection open."""
        for name, value in headers:
            if name != b"keep-alive":
                continue
            match = KEEP_ALIVE_TIMEOUT.search(value)
            if match is not None:
                stated_s = float(match[1])
                self.idle_limit_s = min(MAX_IDLE_S, max(0.0, stated_s - IDLE_MARGIN_S))

    def _complete(self) -> None:
        sink, self._sink = self._sink, None
        self._stop_timer()
        if self._tag:
            self._earlier_tags.append(self._tag)
        reusable = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and self.is_open
        )
        if reusable:
            # The response may have ended while its receiver had paused it.
            self.resume()
            self._h11.start_next_cycle()
            self._pool.give_back(self)
        else:
            self.abort()
        assert sink is not None
        sink.on_end()

    def _fail(self, reason: FailureReason, detail: str) -> None:
        sink, self._sink = self._sink, None
        self._stop_timer()
        self._reset()
        if sink is not None:
            sink.on_failure(HttpFailure(reason, True, detail))

    def cancel(self, sink: ResponseSink) -> None:
        """Give up on the response that `sink` waits for and close the connection.

        Has no effect once that response has ended: the connection may serve another request.
        """
        if self._sink is not sink:
            return
        self._sink = None
        self._stop_timer()
        self._reset()

    def pause(self) -> None:
        """Stop reading from the server until `resume`."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading from the server."""
        if self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reset(self) -> None:
        """Close so that the server sees that the response is not wanted.

        A plain close looks like a caller that has closed its sending side and waits for the
        response, and the server would complete the work.
        """
        if self._transport is not None and not self._transport.is_closing():
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def abort(self) -> None:
        """Close at once."""
        self._pool.forget(self)
        if self._transport is not None:
            self._transport.abort()


class ConnectionPool:
    """Open connections by address; the most recently used one is taken first.

    Connections come from `source_host` where it is set.
    """

    def __init__(
        self, max_idle: int = MAX_IDLE_CONNECTIONS, source_host: str | None = None
    ) -> None:
        self._local_address = (source_host, 0) if source_host else None
        self._idle_by_address: dict[Address, deque[ClientConnection]] = {}
        self._max_idle = max_idle
        self._open: set[ClientConnection] = set()

    def take(self, address: Address, max_idle_s: float = MAX_IDLE_S) -> ClientConnection | None:
        """Return an idle connection that was used within `max_idle_s`, or None."""
        idle = self._idle_by_address.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if connection.is_open and now - connection.idle_since <= limit_s:
                return connection
            connection.abort()
        return None

    async def connect(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection | HttpFailure:
        """Open a new connection."""
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
        self._open.add(connection)
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle_by_address.setdefault(connection.address, deque())
        if len(idle) >= self._max_idle:
            idle.popleft().abort()
        idle.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self._open.discard(connection)
        idle = self._idle_by_address.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def drop_address(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in list(self._idle_by_address.pop(address, ())):
            connection.abort()

    async def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.abort()
        self._idle_by_address.clear()
        await asyncio.sleep(0)
