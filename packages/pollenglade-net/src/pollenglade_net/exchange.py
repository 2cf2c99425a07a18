"""One request to a server and its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import h11

from .http_message import END_OF_MESSAGE
from .http_message import Headers
from .http_message import HttpRequest

BODYLESS_STATUS = frozenset({204, 304})


class ResponseChannel(Protocol):
    """The connection over which a response goes out."""

    congested: bool

    def respond(self, status: int, fields: Headers, body: bytes) -> None:
        """Send a whole response whose fields need no check, and take the next request."""

    def head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response."""

    def encode(self, event: h11.Event) -> bytes:
        """Encode one event; raise h11.LocalProtocolError where it does not fit the framing."""

    def write(self, data: bytes) -> None:
        """Write to the caller; data for a lost connection is dropped."""

    def finish_cycle(self) -> None:
        """Make the connection ready for the next request, or close it."""

    def abort(self) -> None:
        """Close without writing pending data."""


class Exchange:
    """One request and the response that the handler gives to it."""

    __slots__ = ("_bodyless", "_connection", "_method", "on_cancel", "on_drained", "request")

    def __init__(self, connection: ResponseChannel, request: HttpRequest) -> None:
        self._connection: ResponseChannel | None = connection
        self.request = request
        self._method = request.method
        self._bodyless = False
        self.on_cancel: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the caller is still connected and waits for the response."""
        return self._connection is not None

    @property
    def is_congested(self) -> bool:
        """Whether the write buffer towards the caller is full."""
        return self._connection is not None and self._connection.congested

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response in one write."""
        connection = self._connection
        if connection is None:
            return
        fields = [item for item in headers if item[0] != b"content-length"]
        if status not in BODYLESS_STATUS:
            fields.append((b"content-length", b"%d" % len(body)))
        if self._method == "HEAD" or status in BODYLESS_STATUS:
            body = b""
        self._connection = None
        connection.respond(status, fields, body)

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        if self._connection is None:
            return
        self._bodyless = self._method == "HEAD" or status in BODYLESS_STATUS
        self._connection.write(self._connection.head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a part of the body of a streamed response."""
        if self._connection is None or self._bodyless or not data:
            return
        self._connection.write(self._connection.encode(h11.Data(data=data)))

    def end(self) -> None:
        """End a streamed response; break the connection where the body is too short."""
        connection = self._connection
        if connection is None:
            return
        try:
            tail = connection.encode(END_OF_MESSAGE)
        except h11.LocalProtocolError:
            self.abort()
            return
        self._finish(connection, tail)

    def abort(self) -> None:
        """Break the connection so that the caller sees that the response is incomplete."""
        if self._connection is not None:
            self._connection.abort()

    def _finish(self, connection: ResponseChannel, data: bytes) -> None:
        self._connection = None
        connection.write(data)
        connection.finish_cycle()

    def cancel(self) -> None:
        """Tell the handler that the caller has gone."""
        self._connection = None
        if self.on_cancel is not None:
            self.on_cancel()
