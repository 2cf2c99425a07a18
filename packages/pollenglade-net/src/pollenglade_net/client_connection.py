"""HTTP/1.1 client client connections."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from .address import Address
from .body_buffer import BodyBuffer
from .http_head import ProtocolError
from .http_head import ResponseHead
from .http_head import check_request
from .http_message import MAX_EVENTS_PER_TURN
from .http_message import FailureReason
from .http_message import Headers
from .http_message import HttpFailure
from .http_message import encode_message_head
from .message_reader import ResponseReader

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool

MAX_IDLE_S = 30.0
KEEP_ALIVE_MARGIN_S = 0.5
"""A connection is not reused within this time of the idle timeout that its server announced."""

MAX_COPIED_BODY_BYTES = 64 * 1024
"""Size of a request body up to which it is copied, so that it is sent together with its head."""

MAX_EARLIER_TAGS = 64
"""Number of earlier request tags that a connection remembers to detect late duplicate responses."""

MAX_INTERIM_RESPONSES = 16
"""Number of informational responses to one request; a server needs at most a few."""

MAX_DISCARDED_RESPONSES = 16
"""Number of late duplicate responses that are discarded before the response to a request."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Size of the bodies of late duplicate responses that are read before a response."""

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)

LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes `close` send a TCP reset."""


class ResponseSink(Protocol):
    """Receives one response; the last event is either `on_end` or `on_failure`."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the status and header fields."""

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, failure: HttpFailure) -> None:
        """Handle the failure that left the response missing or incomplete."""


class ClientConnection(asyncio.Protocol):
    """One connection to a server; carries one request at a time."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self._pool = pool
        self.address = address
        self._reader = ResponseReader()
        self._stays_open = True
        self._transport: asyncio.Transport | None = None
        self._sink: ResponseSink | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tag = b""
        self._tag_field = b""
        self._earlier_tags: OrderedDict[bytes, None] = OrderedDict()
        self._discarding_response = False
        self._interim_responses = 0
        self._discarded_responses = 0
        self._discarded_bytes = 0
        self._undelivered_body: BodyBuffer | None = None
        self._sink_paused = False
        self._reading_paused = False
        self._continuation: asyncio.Handle | None = None
        self._lost = False
        self._loss: Exception | None = None
        self.idle_since = 0.0
        self.idle_limit_s = MAX_IDLE_S

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and can send a request."""
        return self._transport is not None and not self._transport.is_closing()

    def has_carried(self, tag: bytes) -> bool:
        """Whether one of the latest requests on the connection had this tag."""
        return tag in self._earlier_tags

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._pool.discard(self)
        self._lost, self._loss = True, exc
        if self._continuation is None:
            self._end_after_loss()

    def _end_after_loss(self) -> None:
        """End the response once all bytes that arrived before the loss have been processed."""
        if self._sink is None:
            return
        if self._loss is None:
            # A body without a length ends only with an orderly close, not with an error.
            self._reader.receive_eof()
            while self._process_event():
                pass
        if self._undelivered_body is not None:
            self._deliver_body()
        detail = str(self._loss or "connection closed by the server")
        self._fail_response(FailureReason.CLOSED, detail)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes received without a request would be parsed as the response to the next one.
            self.abort()
            return
        self._reader.receive(data)
        if self._continuation is None:
            self._process_events()

    def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
        sink: ResponseSink,
        timeout_s: float,
        fields_validated: bool = False,
        tag_field: bytes = b"",
        tag: bytes = b"",
    ) -> None:
        """Send a request; `sink` receives the response or a failure.

        `timeout_s` limits the time until the end of the response. `fields_validated` means that the
        header fields are constants or were checked before, so they are not checked again. If
        the server returns the request's `tag` in the response field `tag_field`, a response that
        has the tag of an earlier request is discarded and the connection waits for the next
        response.
        """
        assert self._transport is not None and self._sink is None
        self._sink = sink
        self._interim_responses = self._discarded_responses = self._discarded_bytes = 0
        fields = headers
        if body or method in ("POST", "PUT", "PATCH"):
            fields = [*headers, (b"content-length", b"%d" % len(body))]
        self._tag_field, self._tag = tag_field, tag
        self._reader.method = method
        self._stays_open = True
        if not fields_validated:
            try:
                self._stays_open = check_request(method.encode(), target, fields)
            except ProtocolError as error:
                self._sink = None
                self.abort()
                sink.on_failure(HttpFailure(FailureReason.PROTOCOL, False, str(error)))
                return
        first_line = b"%b %b HTTP/1.1\r\n" % (method.encode(), target)
        head = encode_message_head(first_line, fields)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            timeout_s, self._fail_response, FailureReason.TIMEOUT, "no response"
        )
        if len(body) > MAX_COPIED_BODY_BYTES:
            self._transport.write(head)
            self._transport.write(body)
        else:
            self._transport.write(head + body)

    def _process_events(self) -> None:
        """Process the bytes received so far; other callbacks run in between if they are many."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._process_event():
                if self._undelivered_body is not None:
                    self._deliver_body()
                return
        if self._undelivered_body is not None:
            self._deliver_body()
        self._continuation = asyncio.get_running_loop().call_soon(self._continue)
        self._update_reading()

    def _continue(self) -> None:
        self._continuation = None
        self._process_events()
        if self._continuation is None:
            self._update_reading()
            if self._lost:
                self._end_after_loss()

    def _process_event(self) -> bool:
        """Process one event; return whether there may be another one."""
        sink = self._sink
        if sink is None:
            return False
        try:
            event = self._reader.next_event()
        except ProtocolError as error:
            if self._undelivered_body is not None:
                self._deliver_body()
            self._fail_response(FailureReason.PROTOCOL, str(error))
            return False
        if event is None:
            return False
        if not isinstance(event, ResponseHead):
            if event:
                self._on_body(event, sink)
        elif event.status < 200:
            self._on_interim_response()
        else:
            self._on_response_head(event, sink)
        if self._reader.is_message_complete:
            if self._undelivered_body is not None:
                self._deliver_body()
            # The sink may have cancelled the request.
            if self._sink is not None:
                self._on_response_end()
        return True

    def _on_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fail_response(FailureReason.PROTOCOL, "too many informational responses")

    def _on_response_head(self, event: ResponseHead, sink: ResponseSink) -> None:
        headers = event.headers
        self._stays_open = self._stays_open and event.stays_open
        self._update_idle_limit(headers)
        self._discarding_response = self._answers_earlier_request(headers)
        if not self._discarding_response:
            sink.on_head(event.status, headers)
            return
        self._discarded_responses += 1
        if self._discarded_responses > MAX_DISCARDED_RESPONSES:
            self._fail_response(FailureReason.PROTOCOL, "too many late duplicate responses")

    def _deliver_body(self) -> None:
        """Hand the parts of the body that were read in this turn to the sink as one."""
        body, self._undelivered_body = self._undelivered_body, None
        if body is not None and self._sink is not None:
            self._sink.on_data(body.take())

    def _on_body(self, data: bytes, sink: ResponseSink) -> None:
        if not self._discarding_response:
            if self._undelivered_body is None:
                if self._reader.is_message_complete or not self._reader.pending_bytes:
                    sink.on_data(data)
                    return
                self._undelivered_body = BodyBuffer()
            self._undelivered_body.append(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail_response(FailureReason.PROTOCOL, "a late duplicate response is too large")

    def _on_response_end(self) -> None:
        if self._discarding_response:
            self._await_next_response()
        else:
            self._complete_response()

    def _answers_earlier_request(self, headers: Headers) -> bool:
        if not self._tag_field or not self._earlier_tags:
            return False
        tag = next((value for key, value in headers if key == self._tag_field), self._tag)
        return tag != self._tag and tag in self._earlier_tags

    def _await_next_response(self) -> None:
        """Prepare for the response that follows a discarded one."""
        self._discarding_response = False
        self._reader.start_next()

    def _update_idle_limit(self, headers: Headers) -> None:
        """Set the idle limit from the timeout in the `Keep-Alive` field of a response."""
        for name, value in headers:
            if name != b"keep-alive":
                continue
            match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
            if match is not None:
                server_timeout_s = float(match[1])
                self.idle_limit_s = min(
                    MAX_IDLE_S, max(0.0, server_timeout_s - KEEP_ALIVE_MARGIN_S)
                )

    def _complete_response(self) -> None:
        sink, self._sink = self._sink, None
        self._stop_timer()
        if self._tag:
            self._earlier_tags[self._tag] = None
            if len(self._earlier_tags) > MAX_EARLIER_TAGS:
                self._earlier_tags.popitem(last=False)
        reusable = self._stays_open and not self._reader.pending_bytes and self.is_open
        if reusable:
            # The response may have ended while its sink had reading paused.
            self.resume()
            self._reader.start_next()
            self._pool.release(self)
        else:
            self.abort()
        assert sink is not None
        sink.on_end()

    def _fail_response(self, reason: FailureReason, detail: str) -> None:
        sink, self._sink = self._sink, None
        self._undelivered_body = None
        self._stop_timer()
        self._close_with_reset()
        if sink is not None:
            sink.on_failure(HttpFailure(reason, True, detail))

    def cancel(self, sink: ResponseSink) -> None:
        """Cancel the request of `sink` and close the connection.

        Does nothing after the response has ended, because the connection may already carry another
        request.
        """
        if self._sink is not sink:
            return
        self._sink = None
        self._undelivered_body = None
        self._stop_timer()
        self._close_with_reset()

    def retire(self) -> None:
        """Close the connection after the current response instead of using it again.

        For responses that do not name their request: a late duplicate of one could not be told from
        the response to a later request.
        """
        self._stays_open = False

    def pause(self) -> None:
        """Pause reading from the server until `resume` is called."""
        self._sink_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Resume reading from the server."""
        self._sink_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read from the server unless the sink is paused or received bytes await processing."""
        paused = self._sink_paused or self._continuation is not None
        if self._transport is None or paused is self._reading_paused:
            return
        if paused:
            self._transport.pause_reading()
        elif self._transport.is_closing():
            return
        else:
            self._transport.resume_reading()
        self._reading_paused = paused

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_with_reset(self) -> None:
        """Close with a TCP reset to signal that the response is no longer needed.

        To the server, an ordinary close looks like a half-closed connection whose client still
        waits for the response, so the server would complete the work.
        """
        if self._transport is not None and not self._transport.is_closing():
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
        self.abort()

    def abort(self) -> None:
        """Close immediately and drop unsent data."""
        self._pool.discard(self)
        if self._transport is not None:
            self._transport.abort()
