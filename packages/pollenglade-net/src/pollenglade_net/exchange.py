"""One request that a server received and its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .http_head import STATUSES_WITHOUT_BODY
from .http_head import ProtocolError
from .http_message import Headers
from .http_message import HttpRequest


class ResponseChannel(Protocol):
    """Connection that a response is written to."""

    writing_paused: bool

    def respond(self, status: int, fields: Headers, body: bytes) -> None:
        """Send a complete response with header fields that are valid; accept the next request."""

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response."""

    def encode_data(self, data: bytes) -> bytes:
        """Encode a part of the body; raise ProtocolError if it exceeds the announced length."""

    def encode_end(self) -> bytes:
        """Encode the end of the body; raise ProtocolError if a part of it is missing."""

    def write(self, data: bytes) -> None:
        """Write to the caller, or drop the data if the connection is lost."""

    def finish_cycle(self) -> None:
        """Prepare the connection for the next request, or close it."""

    def abort(self) -> None:
        """Close immediately and drop unsent data."""


class Exchange:
    """One request and the response to it.

    `on_cancel` is called when the caller disconnects, `on_drained` when the write buffer has room
    again.
    """

    __slots__ = ("_connection", "_method", "_omits_body", "on_cancel", "on_drained", "request")

    def __init__(self, connection: ResponseChannel, request: HttpRequest) -> None:
        self._connection: ResponseChannel | None = connection
        self.request = request
        self._method = request.method
        self._omits_body = False
        self.on_cancel: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the caller is connected and the response is not complete."""
        return self._connection is not None

    @property
    def is_write_buffer_full(self) -> bool:
        """Whether the write buffer of the caller's connection is full."""
        return self._connection is not None and self._connection.writing_paused

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write."""
        connection = self._connection
        if connection is None:
            return
        fields = [field for field in headers if field[0] != b"content-length"]
        if status not in STATUSES_WITHOUT_BODY:
            fields.append((b"content-length", b"%d" % len(body)))
        if self._method == "HEAD" or status in STATUSES_WITHOUT_BODY:
            body = b""
        self._connection = None
        connection.respond(status, fields, body)

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        if self._connection is None:
            return
        self._omits_body = self._method == "HEAD" or status in STATUSES_WITHOUT_BODY
        self._connection.write(self._connection.encode_head(status, headers))

    def write_chunk(self, data: bytes) -> None:
        """Send a chunk of the body of a streamed response."""
        if self._connection is None or self._omits_body or not data:
            return
        self._connection.write(self._connection.encode_data(data))

    def end_response(self) -> None:
        """End a streamed response; abort the connection if the body is shorter than its length."""
        connection = self._connection
        if connection is None:
            return
        try:
            end_bytes = connection.encode_end()
        except ProtocolError:
            self.abort()
            return
        self._finish_response(connection, end_bytes)

    def abort(self) -> None:
        """Abort the connection so that the caller detects the incomplete response."""
        if self._connection is not None:
            self._connection.abort()

    def _finish_response(self, connection: ResponseChannel, data: bytes) -> None:
        self._connection = None
        connection.write(data)
        connection.finish_cycle()

    def cancel(self) -> None:
        """Notify the handler that the caller has disconnected."""
        self._connection = None
        if self.on_cancel is not None:
            self.on_cancel()
