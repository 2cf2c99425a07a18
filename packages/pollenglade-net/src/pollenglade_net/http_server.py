"""An HTTP/1.1 server by h11 that hands whole requests to a synchronous handler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import cast

import h11
import orjson

from .exchange import Exchange
from .http_message import END_OF_MESSAGE
from .http_message import Headers
from .http_message import HttpRequest
from .http_message import encode_fields
from .http_message import fields_of
from .http_message import status_line
from .http_message import valid_headers
from .peer_watch import PeerWatch
from .server_limits import ServerLimits

PIPELINE_LIMIT_BYTES = 64 * 1024
"""Bytes of pipelined requests that are buffered before reading pauses."""

PAUSE_LIMIT_S = 0.25
"""Time in seconds without reading from a caller, whose end of the stream cannot be seen meanwhile;
half of the time in which work for a caller that has left should end."""

BODYLESS_METHODS = frozenset({b"GET", b"HEAD"})
FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding", b"connection", b"expect"})
"""Fields that say that a body follows or how the connection goes on."""

LISTEN_BACKLOG = 1024

UNREAD_TIMEOUT_S = 5.0
"""Time in seconds in which a caller that has closed its sending side must take what was written;
endpoints cut off a response that stays unread for a time like this."""

EXPIRY_INTERVAL_S = 0.5
"""Time in seconds between looks for connections whose time is up."""


Handler = Callable[[Exchange], None]


class ServerConnection(asyncio.Protocol):
    """One connection from a caller."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits
        self._h11 = self._new_parser()
        self._expires_at: float | None = None
        self._on_expiry: Callable[[], None] = self.close
        self._transport: asyncio.Transport | None = None
        self._peer: PeerWatch | None = None
        self._request: h11.Request | None = None
        self._fields: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_whole = False
        self._exchange: Exchange | None = None
        self._eof = False
        self._pause: asyncio.TimerHandle | None = None
        self._discarding = False
        self.congested = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or answered."""
        return self._exchange is None and self._request is None

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        if self._limits.cancel_on_eof:
            self._peer = PeerWatch(self._transport)
        self._server.add(self)
        self._set_timer(self._limits.idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._set_timer(None, self.close)
        self._stop_pause()
        self._server.connections.discard(self)
        self._cancel_exchange()

    def _cancel_exchange(self) -> None:
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.cancel()

    def pause_writing(self) -> None:
        self.congested = True

    def resume_writing(self) -> None:
        self.congested = False
        if self._exchange is not None and self._exchange.on_drained is not None:
            self._exchange.on_drained()

    def data_received(self, data: bytes) -> None:
        if self._discarding:
            return
        self._h11.receive_data(data)
        if self._exchange is None:
            if self._request is None:
                self._set_timer(self._limits.head_timeout_s, self._on_slow_head)
            self._advance()
        elif self._transport and len(self._h11.trailing_data[0]) > PIPELINE_LIMIT_BYTES:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._pause = loop.call_later(PAUSE_LIMIT_S, self._discard_further)

    def _discard_further(self) -> None:
        """Read on, only to see when the caller leaves.

        The connection closes after the requests that were read; those behind them were not, so the
        caller may send them again.
        """
        self._discarding = True
        if self._transport is not None:
            self._transport.resume_reading()

    def _stop_pause(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _set_timer(self, delay_s: float | None, callback: Callable[[], None]) -> None:
        # The server looks at all connections together; a timer each costs more than a request.
        self._expires_at = None if delay_s is None else monotonic() + delay_s
        self._on_expiry = callback

    def check_expiry(self, now: float) -> None:
        """Close or reject a connection whose time is up."""
        if self._expires_at is not None and now >= self._expires_at:
            self._expires_at = None
            self._on_expiry()

    def _on_slow_head(self) -> None:
        if self.is_idle:
            self.reject(408, "the head of the request took too long")

    def eof_received(self) -> bool:
        self._eof = True
        if self._limits.cancel_on_eof and self._exchange is not None:
            # The connection closes only after the caller has read what is buffered.
            self._cancel_exchange()
            self._set_timer(UNREAD_TIMEOUT_S, self.abort)
            return False
        if not self._discarding:
            self._h11.receive_data(b"")
        self._advance()
        # A caller may close its sending side and still wait for responses.
        return self._exchange is not None

    def _advance(self) -> None:
        while self._exchange is None and self._is_open:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self.reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA:
                if self._discarding:
                    self.close()
                elif self._h11.they_are_waiting_for_100_continue:
                    continue_head = h11.InformationalResponse(status_code=100, headers=[])
                    self.write(self.encode(continue_head))
                return
            if event is h11.PAUSED:
                return
            if not self._handle(event):
                return

    def _handle(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            return self._begin(event)
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > self._limits.body_bytes:
                limit = self._limits.body_bytes
                self.reject(413, f"the body is larger than {limit} bytes; send less")
                return False
            self._body.append(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._dispatch()
            return True
        self.close()
        return False

    def _begin(self, event: h11.Request) -> bool:
        limit = self._limits.head_bytes
        self._fields = fields_of(event.headers)
        if sum([len(key) + len(value) for key, value in self._fields]) > limit:
            # h11 limits a head only while it is incomplete.
            self.reject(431, f"the head is larger than {limit} bytes; send less")
            return False
        names = {key for key, _ in self._fields}
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two framings of one body let a request hide behind another.
            self.reject(400, "send either Content-Length or Transfer-Encoding, not both")
            return False
        self._set_timer(None, self.close)
        self._request = event
        self._body = []
        self._body_bytes = 0
        self._is_whole = (
            event.method in BODYLESS_METHODS
            and event.http_version == b"1.1"
            and FRAMING_FIELDS.isdisjoint(names)
        )
        if self._is_whole:
            # Saves a turn of the parser, which knows only after its next event.
            self._dispatch()
        return True

    def _dispatch(self) -> None:
        event = self._request
        assert event is not None
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._request = None
        self._body = []
        if self._peer is not None and self._peer.has_left:
            # The request was read late, and its caller has given it up.
            self.abort()
            return
        request = HttpRequest(event.method.decode(), event.target, self._fields, body)
        exchange = Exchange(self, request)
        self._exchange = exchange
        self._server.handler(exchange)

    def head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response."""
        if self._is_whole:
            self._h11.next_event()
        if self._server.draining:
            headers = [*headers, (b"connection", b"close")]
        return self.encode(h11.Response(status_code=status, headers=valid_headers(headers)))

    def encode(self, event: h11.Event) -> bytes:
        """Encode one event; raise h11.LocalProtocolError where it does not fit the framing."""
        return self._h11.send(event) or b""

    def write(self, data: bytes) -> None:
        """Write to the caller; data for a lost connection is dropped."""
        if self._transport is not None and data:
            self._transport.write(data)

    def respond(self, status: int, fields: Headers, body: bytes) -> None:
        """Send a whole response whose fields need no check, and take the next request.

        The framing is a length, so h11 only parses here; its states for sending cost as much as
        the parsing of the request.
        """
        is_reusable = self._is_whole or self._h11.their_state is h11.DONE
        closing = self._server.draining or not is_reusable
        if closing:
            fields.append((b"connection", b"close"))
        self.write(encode_fields(status_line(status), fields) + body)
        self._exchange = None
        if closing:
            self.close()
            return
        following, _ = self._h11.trailing_data
        self._h11 = self._new_parser()
        if following:
            self._h11.receive_data(following)
        self._await_request(bool(following))

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)

    def finish_cycle(self) -> None:
        """Make the connection ready for the next request, or close it."""
        self._exchange = None
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.close()
            return
        self._h11.start_next_cycle()
        self._await_request(bool(self._h11.trailing_data[0]))

    def _await_request(self, has_data: bool) -> None:
        if self._transport is None:
            return
        if (self._eof or self._discarding) and not has_data:
            self.close()
            return
        self._stop_pause()
        if not self._eof:
            self._transport.resume_reading()
        self._set_timer(self._limits.idle_timeout_s, self.close)
        if has_data:
            # A fresh turn of the loop bounds the stack depth of pipelined requests.
            asyncio.get_running_loop().call_soon(self._advance)

    def reject(self, status: int, detail: str) -> None:
        """Answer a request that cannot be understood and close the connection."""
        body = orjson.dumps({"reason": "bad-request", "detail": detail})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"pollenglade-outcome", b"not-run"),
            (b"pollenglade-reason", b"bad-request"),
            (b"connection", b"close"),
        ]
        try:
            head = self.encode(h11.Response(status_code=status, headers=headers))
            data = self.encode(h11.Data(data=body))
            self.write(head + data + self.encode(END_OF_MESSAGE))
        except h11.LocalProtocolError:
            self.abort()
            return
        self.close()

    def close(self) -> None:
        """Close after pending data has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close without writing pending data."""
        if self._transport is not None:
            self._transport.abort()


class HttpServer:
    """Listens on one address and hands requests to a handler."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.draining = False
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; port 0 lets the operating system choose."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        return int(self._server.sockets[0].getsockname()[1])

    def add(self, connection: ServerConnection) -> None:
        """Own a connection, and look after its times from now on."""
        self.connections.add(connection)
        if self._sweep is None:
            self._sweep_later()

    def _sweep_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(EXPIRY_INTERVAL_S, self._check_expiry)

    def _check_expiry(self) -> None:
        self._sweep = None
        now = monotonic()
        for connection in list(self.connections):
            connection.check_expiry(now)
        if self.connections:
            self._sweep_later()

    def drain(self) -> None:
        """Let each connection close after its next response."""
        self.draining = True

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close all connections after pending data has been written."""
        self.stop_listening()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self.connections):
            connection.close()
        await asyncio.sleep(0)
