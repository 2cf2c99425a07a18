"""Connection from a caller to an HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Protocol
from typing import cast

import orjson

from .disconnect_detector import DisconnectDetector
from .exchange import Exchange
from .http_head import ProtocolError
from .http_head import RequestHead
from .http_message import MAX_EVENTS_PER_TURN
from .http_message import Headers
from .http_message import HttpRequest
from .http_message import encode_message_head
from .http_message import status_line
from .memory_budget import LARGE_BYTES
from .memory_budget import UNCOUNTED_BYTES
from .memory_budget import MemoryBudget
from .memory_budget import body_memory_bytes
from .message_reader import RequestReader
from .server_limits import ServerLimits
from .streamed_response import StreamedResponse

MAX_PIPELINED_BYTES = 64 * 1024
"""Size of buffered pipelined requests above which reading from the caller pauses."""

MAX_READ_PAUSE_S = 0.25
"""Maximum time for which reading from a caller pauses. Its end of stream is not detected meanwhile,
so this is half of the time within which work for a disconnected caller should end."""

CONTINUE_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"

UNREAD_OUTPUT_TIMEOUT_S = 5.0
"""Time within which a caller must read something of the last output on its connection; endpoints
abort a response that stays unread for about as long."""

REJECTION_LINGER_S = 1.0
"""Time for which the rest of a rejected request is read and discarded."""

RESPONSE_LINGER_S = 5.0
"""Time after the last response on a connection in which the caller closes it; further input is read
and discarded until then."""

FIELD_BYTES = 250
"""Approximate memory of a parsed header field in addition to its name and value."""

MAX_UNSENT_BYTES = 16 * 1024
"""Unsent output above which no further response is written."""

GROWTH_BYTES = 16 * 1024
"""Least memory that is reserved together for a body whose size is not known."""

MIN_PROGRESS_BYTES = 16 * 1024
"""Bytes that a caller sends or reads between two checks, unless it makes no progress."""

STALLED_CHECKS = 2
"""Number of checks without progress after which a request is rejected if memory is short."""

REJECTION_RETRY_AFTER_S = 1
"""Delay in seconds after which a request for whose body there was no memory may be sent again."""

Handler = Callable[[Exchange], None]


class ConnectionOwner(Protocol):
    """Interface of the server that its connections use."""

    handler: Handler
    limits: ServerLimits
    memory_budget: MemoryBudget
    draining: bool

    def track_connection(self, connection: ServerConnection) -> None:
        """Add an open connection and check it for timeouts until it closes."""

    def forget_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""


class ServerConnection(asyncio.Protocol):
    """One connection from a caller; handles one request at a time."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._limits = server.limits
        self._reader = RequestReader(self._limits.head_bytes)
        self._expires_at: float | None = None
        self._on_expiry: Callable[[], None] = self.close
        self._transport: asyncio.Transport | None = None
        self._disconnect_detector: DisconnectDetector | None = None
        self._request: RequestHead | None = None
        self._body = bytearray()
        self._body_reservation_bytes = 0
        self._request_bytes = 0
        self._reserved_bytes = 0
        self._received_bytes = 0
        self._written_bytes = 0
        self._progress_bytes = 0
        self._awaits_drain = False
        self._checks_without_progress = 0
        self._awaits_continue = False
        self._stays_open = False
        self._request_version = b"1.1"
        self._streamed_response: StreamedResponse | None = None
        self._exchange: Exchange | None = None
        self._received_eof = False
        self._pause_timer: asyncio.TimerHandle | None = None
        self._continuation: asyncio.Handle | None = None
        self._discarding_input = False
        self._is_ending = False
        self._idle_since: float | None = None
        self._has_served = False
        self.writing_paused = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or processed."""
        return self._exchange is None and self._request is None

    @property
    def replacement_rank(self) -> int | None:
        """Order in which connections are closed for a new one, or None if this one must stay.

        Callers send a request again if its connection closes before it was read.
        """
        if self._exchange is not None:
            return None
        if self._unsent_bytes:
            return 4
        if self._is_ending:
            return 2
        if self._request is not None:
            return 3
        return 1 if self._has_served else 0

    @property
    def idle_since(self) -> float:
        """When the connection became idle, in monotonic time; 0 if it is not."""
        return self._idle_since or 0.0

    @property
    def has_unsent_output(self) -> bool:
        """Whether the caller may have still to read a part of a response."""
        if self._transport is None:
            return False
        return self._is_ending or self._unsent_bytes > 0

    @property
    def _unsent_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        if self._limits.cancel_on_eof:
            self._disconnect_detector = DisconnectDetector(self._transport)
        self._server.track_connection(self)
        self._begin_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._set_expiry(None, self.close)
        self._stop_pause_timer()
        if self._continuation is not None:
            self._continuation.cancel()
        self._server.forget_connection(self)
        self._drop_input()
        self._cancel_exchange()

    def _drop_input(self) -> None:
        """Give the memory of received bytes back without a garbage collection."""
        self._reader.discard()
        self._request = None
        self._body = bytearray()
        self._body_reservation_bytes = self._request_bytes = 0
        self._update_reservation()

    def _cancel_exchange(self) -> None:
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            exchange.cancel()

    def pause_writing(self) -> None:
        self.writing_paused = True
        # The caller could make no progress while its request was processed.
        self._checks_without_progress = 0

    def resume_writing(self) -> None:
        self.writing_paused = False
        self._update_reservation()
        if self._awaits_drain:
            self._awaits_drain = False
            self._await_next_request()
        elif self._exchange is not None and self._exchange.on_drained is not None:
            self._exchange.on_drained()

    def data_received(self, data: bytes) -> None:
        if self._discarding_input:
            return
        self._received_bytes += len(data)
        self._reader.receive(data)
        if self._exchange is None and not self._awaits_drain:
            if self._request is None:
                if self._idle_since is not None:
                    self._set_expiry(self._limits.head_timeout_s, self._on_head_timeout)
            else:
                self._set_expiry(self._limits.idle_timeout_s, self._on_body_timeout)
            self._process_events()
        elif self._transport and self._reader.pending_bytes > MAX_PIPELINED_BYTES:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._pause_timer = loop.call_later(MAX_READ_PAUSE_S, self._discard_further_input)
        if self._reader.pending_bytes > UNCOUNTED_BYTES:
            self._reserve_pending_input()

    def _reserve_pending_input(self) -> None:
        if self._update_reservation():
            return
        if self._exchange is None and not self._awaits_drain:
            self._reject_for_memory()
            return
        # The caller may send the later requests again, as the connection closes before them.
        self._reader.discard()
        self._discard_further_input()
        self._update_reservation()

    def _discard_further_input(self) -> None:
        """Resume reading and discard the data, only to detect that the caller disconnects.

        The connection closes after the requests that are already buffered. Later requests are not
        processed, so the caller may send them again.
        """
        self._discarding_input = True
        if self._transport is not None:
            self._transport.resume_reading()

    def _stop_pause_timer(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    def _begin_idle(self) -> None:
        self._set_expiry(None, self.close)
        self._idle_since = monotonic()

    def _set_expiry(self, delay_s: float | None, callback: Callable[[], None]) -> None:
        # The server checks all connections together, as a timer for each costs more than a request.
        self._idle_since = None
        self._expires_at = None if delay_s is None else monotonic() + delay_s
        self._on_expiry = callback

    def check_expiry(self, now: float) -> None:
        """Run the expiry callback if the connection has timed out at `now`, in monotonic time."""
        idle_timeout_s = self._limits.idle_timeout_s
        if self._idle_since is not None and idle_timeout_s is not None:
            # Calculated here, because the limits may have changed since the connection became idle.
            if now >= self._idle_since + idle_timeout_s:
                self.close()
        elif self._expires_at is not None and now >= self._expires_at:
            self._expires_at = None
            self._on_expiry()

    def _on_head_timeout(self) -> None:
        if self.is_idle:
            self.reject(408, "the head of the request took too long")

    def _on_body_timeout(self) -> None:
        if self._request is not None:
            self.reject(408, "the body of the request stopped to arrive")

    def eof_received(self) -> bool:
        self._received_eof = True
        if self._limits.cancel_on_eof and (self._exchange is not None or self._awaits_drain):
            # The connection closes only after the caller has read the buffered output.
            self._cancel_exchange()
            self._expect_reading(UNREAD_OUTPUT_TIMEOUT_S)
            return False
        if not self._discarding_input:
            self._reader.receive_eof()
        self._process_events()
        # A caller may close its sending side and still wait for its responses.
        return self._exchange is not None or self._awaits_drain

    def _process_events(self) -> None:
        """Process the bytes received so far; other callbacks run in between if they are many."""
        if self._continuation is not None:
            return
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._process_event():
                return
        self._continuation = asyncio.get_running_loop().call_soon(self._continue)
        if self._transport is not None:
            self._transport.pause_reading()

    def _continue(self) -> None:
        self._continuation = None
        self._process_events()
        if self._continuation is None and self._is_open and self._transport is not None:
            self._transport.resume_reading()

    def _process_event(self) -> bool:
        """Process one event; return whether there may be another one."""
        is_busy = self._exchange is not None or self._awaits_drain
        if is_busy or not self._is_open or self._is_ending:
            return False
        self._reader.limit_fields(self._limits.head_bytes)
        try:
            event = self._reader.next_event()
        except ProtocolError as error:
            self.reject(error.status, str(error))
            return False
        if event is None:
            self._await_request_data()
            return False
        if isinstance(event, RequestHead):
            self._begin_request(event)
        elif not self._add_to_body(event):
            return False
        if self._is_ending:
            return False
        if self._reader.is_message_complete:
            self._dispatch_request()
        return True

    def _await_request_data(self) -> None:
        if self._discarding_input or self._received_eof:
            self._close_after_response()
        elif self._awaits_continue:
            self._awaits_continue = False
            self.write(CONTINUE_HEAD)
        elif self._request is None and not self._reader.pending_bytes:
            # Only empty lines have arrived; no request has begun.
            self._begin_idle()

    def _begin_request(self, head: RequestHead) -> None:
        self._set_expiry(None, self.close)
        if not self._reader.is_message_complete:
            self._set_expiry(self._limits.idle_timeout_s, self._on_body_timeout)
        self._request = head
        self._awaits_continue = head.expects_continue
        if self._check_body_size(head.length):
            self._reserve_request(head)

    def _check_body_size(self, size: int) -> bool:
        """Reject the request if its body is too large; return whether it is not."""
        limit = self._limits.body_bytes
        if size > limit:
            self.reject(413, f"the body is larger than {limit} bytes; send less")
            return False
        return True

    def _reserve_request(self, head: RequestHead) -> None:
        """Reserve memory for the head and the body that it announces, or reject the request."""
        self._checks_without_progress = 0
        self._request_bytes = self._reader.head_bytes + FIELD_BYTES * len(head.headers)
        self._body_reservation_bytes = body_memory_bytes(max(0, head.length))
        size = self._request_bytes + self._body_reservation_bytes
        if size > UNCOUNTED_BYTES and not self._update_reservation():
            self._reject_for_memory()

    def _add_to_body(self, data: bytes) -> bool:
        self._awaits_continue = False
        size = len(self._body) + len(data)
        if not self._check_body_size(size):
            return False
        if body_memory_bytes(size) > self._body_reservation_bytes:
            size += max(size // 4, GROWTH_BYTES)
            self._body_reservation_bytes = body_memory_bytes(size)
            if not self._update_reservation():
                self._reject_for_memory()
                return False
        self._body += data
        return True

    def _reject_for_memory(self) -> None:
        self.reject(503, "no memory for the request; send it again later", "overloaded")

    def _update_reservation(self) -> bool:
        """Reserve what the connection holds now; return False if there is no memory for it."""
        size = self._request_bytes + self._body_reservation_bytes
        if self.writing_paused:
            size += self._unsent_bytes
        if self._exchange is not None or self._awaits_drain:
            size += self._reader.pending_bytes
        else:
            # Bytes that have not been read belong to the body.
            received_bytes = len(self._body) + self._reader.pending_bytes
            size += max(0, received_bytes - self._body_reservation_bytes)
        if size <= UNCOUNTED_BYTES:
            size = 0
        if not self._server.memory_budget.try_resize(self._reserved_bytes, size):
            return False
        self._reserved_bytes = size
        return True

    def check_progress(self) -> None:
        """Note whether the caller has sent or read bytes since the last check."""
        previous_bytes = self._progress_bytes
        self._progress_bytes = self._received_bytes + self._written_bytes - self._unsent_bytes
        if not self._reserved_bytes or self._progress_bytes - previous_bytes >= MIN_PROGRESS_BYTES:
            self._checks_without_progress = 0
        else:
            self._checks_without_progress += 1

    def end_if_stalled(self) -> None:
        """End a request or response that takes memory and whose caller makes no progress."""
        if not self._reserved_bytes or self._checks_without_progress < STALLED_CHECKS:
            return
        if self.writing_paused:
            self.abort()
        elif self._exchange is None:
            self._reject_for_memory()

    def _dispatch_request(self) -> None:
        head = self._request
        assert head is not None
        # A large body is not copied, as the copy would double its memory.
        body: bytes | bytearray = self._body
        if len(body) <= LARGE_BYTES:
            body = bytes(body)
        self._request = None
        self._set_expiry(None, self.close)
        if body:
            self._body = bytearray()
        self._stays_open = head.stays_open
        self._request_version = head.version
        if self._disconnect_detector is not None and self._disconnect_detector.has_disconnected:
            # The request was read late, and its caller has disconnected.
            self.abort()
            return
        request = HttpRequest(head.method.decode(), head.target, head.headers, body)
        exchange = Exchange(self, request)
        self._exchange = exchange
        self._server.handler(exchange)

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a streamed response; `headers` must be valid."""
        assert self._exchange is not None
        response = StreamedResponse(
            self._exchange.request.method,
            self._request_version,
            stays_open=self._stays_open and not self._server.draining,
        )
        self._streamed_response = response
        return response.encode_head(status, headers)

    def encode_data(self, data: bytes) -> bytes:
        """Encode a part of the body of a streamed response."""
        assert self._streamed_response is not None
        return self._streamed_response.encode_data(data)

    def encode_end(self) -> bytes:
        """Encode the end of the body of a streamed response."""
        assert self._streamed_response is not None
        return self._streamed_response.encode_end()

    def write(self, data: bytes) -> None:
        """Write to the caller, or drop the data if the connection is lost."""
        if self._transport is None or not data:
            return
        self._written_bytes += len(data)
        self._transport.write(data)
        if self.writing_paused and not self._update_reservation():
            self.abort()

    def respond(self, status: int, fields: Headers, body: bytes) -> None:
        """Send a complete response with header fields that are valid; accept the next request."""
        close_after_response = self._server.draining or not self._stays_open
        if close_after_response:
            fields.append((b"connection", b"close"))
        head = encode_message_head(status_line(status), fields)
        if len(body) > MAX_UNSENT_BYTES:
            # A copy would take as much memory again.
            self.write(head)
            self.write(body)
        else:
            self.write(head + body)
        self._exchange = None
        if close_after_response:
            self._close_after_response()
            return
        self._await_next_request()

    def finish_cycle(self) -> None:
        """Prepare the connection for the next request, or close it."""
        self._exchange = None
        response, self._streamed_response = self._streamed_response, None
        if response is None or not response.stays_open:
            self._close_after_response()
            return
        self._await_next_request()

    def _await_next_request(self) -> None:
        if self._transport is None:
            return
        self._body_reservation_bytes = self._request_bytes = 0
        if self._reserved_bytes:
            self._update_reservation()
        if self.writing_paused:
            # The next response would take memory while this one has not been read.
            self._awaits_drain = True
            self._expect_reading(self._limits.idle_timeout_s)
            return
        self._has_served = True
        self._reader.start_next()
        has_data = self._reader.pending_bytes > 0
        if (self._received_eof or self._discarding_input) and not has_data:
            self._close_after_response()
            return
        self._stop_pause_timer()
        if not self._received_eof:
            self._transport.resume_reading()
        self._begin_idle()
        if has_data:
            # A new iteration of the event loop bounds the stack depth for pipelined requests.
            asyncio.get_running_loop().call_soon(self._process_events)

    def reject(self, status: int, detail: str, reason: str = "bad-request") -> None:
        """Respond to a request that is not accepted and close the connection."""
        body = orjson.dumps({"reason": reason, "detail": detail})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"pollenglade-outcome", b"not-run"),
            (b"pollenglade-reason", reason.encode()),
            (b"connection", b"close"),
        ]
        if status == 503:
            headers.append((b"retry-after", b"%d" % REJECTION_RETRY_AFTER_S))
        self.write(encode_message_head(status_line(status), headers) + body)
        self._discard_until_close(REJECTION_LINGER_S, self.abort)

    def _close_after_response(self) -> None:
        if self._received_eof:
            self.close()
        else:
            self._discard_until_close(RESPONSE_LINGER_S, self.close)

    def _discard_until_close(self, limit_s: float, on_expiry: Callable[[], None]) -> None:
        """Close the sending side, and the connection once the caller has read the response.

        Closing it while unread data arrives would reset it, and the caller could lose the response.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._is_ending = self._discarding_input = True
        self._drop_input()
        self._stop_pause_timer()
        self._set_expiry(limit_s, on_expiry)
        self._transport.resume_reading()
        self._transport.write_eof()

    def _expect_reading(self, limit_s: float | None) -> None:
        """Abort the connection when its caller reads nothing of the output for `limit_s`."""
        unsent_bytes = self._unsent_bytes

        def abort_unless_reading() -> None:
            if self._unsent_bytes >= unsent_bytes:
                self.abort()
            else:
                self._expect_reading(limit_s)

        self._set_expiry(limit_s, abort_unless_reading)

    def close(self) -> None:
        """Close the connection after unsent data has been written."""
        if self._transport is None:
            return
        self._transport.close()
        if self._unsent_bytes:
            self._expect_reading(UNREAD_OUTPUT_TIMEOUT_S)

    def abort(self) -> None:
        """Close immediately and drop unsent data."""
        if self._transport is not None:
            self._transport.abort()
