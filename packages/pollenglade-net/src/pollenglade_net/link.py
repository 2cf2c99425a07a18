"""Link between two nodes: one connection that multiplexes msgpack messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from time import monotonic
from typing import Protocol
from typing import cast

import msgpack

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal

from .attempt import Attempt
from .attempt import AttemptSink
from .disconnect_detector import DisconnectDetector
from .http_head import is_final_status
from .http_message import HttpRequest
from .link_call import IncomingCall
from .link_call import OutgoingCall
from .link_call import PartialCall
from .link_call import UnsentBody
from .link_message import BODY_PART_BYTES
from .link_message import BODY_PARTS_VERSION
from .link_message import MAX_LINK_BODY_BYTES
from .link_message import Feedback
from .link_message import Hello
from .link_message import Kind
from .link_message import LinkError
from .link_message import pack
from .link_message import pack_refusal
from .link_message import pack_request
from .link_message import pack_request_body
from .link_message import unpack_body_size
from .link_message import unpack_feedback
from .link_message import unpack_headers
from .link_message import unpack_refusal
from .link_message import unpack_request
from .memory_budget import UNCOUNTED_BYTES
from .memory_budget import MemoryBudget
from .memory_budget import body_memory_bytes
from .message_decoder import MessageDecoder

STREAM_WINDOW_BYTES = 256 * 1024
"""Flow-control window: maximum bytes of one streamed body in transit to the entry node."""

PING_AFTER_IDLE_S = 0.25
"""A link that awaits calls or replies is pinged after it has received nothing for this time."""

PONG_TIMEOUT_S = 0.5
"""A link is closed if it receives nothing for this time after a ping."""


MAX_HANDSHAKE_BYTES = 4 * 1024
"""Size of an incomplete message above which a link without a handshake is closed."""

MAX_STRANGER_MESSAGE_BYTES = 512 * 1024
"""Size of an incomplete message above which a link to a node that is no member is closed.

Members send larger ones; a node becomes a member by small messages."""


class LinkOwner(Protocol):
    """Interface of the node that a link uses."""

    @property
    def hello(self) -> Hello:
        """First message that this node sends on a link."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """Bound on the memory for request bodies that arrive in parts."""

    def run_call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Run a call received from a peer; `sink` receives its result."""

    def handle_query(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        """Handle a query from a peer; `answer` sends the reply."""

    def is_member(self, link: Link) -> bool:
        """Whether the peer of a link is a known node of the mesh."""

    def on_link_accepted(self, link: Link) -> None:
        """Handle a connection that a peer has opened, before its handshake."""

    def on_link_open(self, link: Link) -> None:
        """Handle a link that has completed its handshake."""

    def on_link_drain(self, link: Link) -> None:
        """Handle the notice that the peer is draining."""

    def on_link_closed(self, link: Link) -> None:
        """Handle a link that has closed."""


class Link(asyncio.Protocol):
    """One end of a link; both ends may send calls and queries.

    A stream is one call or query with all messages that belong to it. The end that sends the call
    or query chooses the stream's number, so that each end has its own sequence of numbers.

    `is_accepted` is True on the end that accepted the connection. `ready` is done when the
    handshake is complete, and raises ConnectionError if the link closes before.
    """

    def __init__(self, owner: LinkOwner, is_accepted: bool = False) -> None:
        self._owner = owner
        self.is_accepted = is_accepted
        self._loop = asyncio.get_running_loop()
        self._decoder = MessageDecoder()
        self._transport: asyncio.Transport | None = None
        self._disconnect_detector: DisconnectDetector | None = None
        self._pending_messages: list[bytes] = []
        self._flush_count = 0
        self._streams_cancelled_in_batch: frozenset[int] = frozenset()
        self._next_stream = 1
        self._outgoing_call_by_stream: dict[int, OutgoingCall] = {}
        self._incoming_call_by_stream: dict[int, IncomingCall] = {}
        self._unsent_body_by_stream: dict[int, UnsentBody] = {}
        self._partial_call_by_stream: dict[int, PartialCall] = {}
        self._body_bytes_by_stream: dict[int, int] = {}
        self._writing_paused = False
        self._is_finishing = False
        self._reply_callback_by_stream: dict[int, Callable[[object], None]] = {}
        self._last_received_at = monotonic()
        self._pending_ping_at: float | None = None
        self._last_ping_at = 0.0
        self._last_cancel_at: float | None = None
        self.peer: Hello | None = None
        self.ready: asyncio.Future[None] = self._loop.create_future()
        self.peer_draining = False

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and calls can be sent."""
        return (
            self.peer is not None
            and self._transport is not None
            and not self._is_finishing
            and not self._transport.is_closing()
        )

    @property
    def receive_idle_s(self) -> float:
        """Time in seconds since data was last received."""
        return monotonic() - self._last_received_at

    @property
    def is_ping_unanswered(self) -> bool:
        """Whether nothing has been received since the latest ping."""
        pinged_at = self._pending_ping_at
        return pinged_at is not None and self._last_received_at < pinged_at

    @property
    def has_calls_at_peer(self) -> bool:
        """Whether the peer may be running calls from this end, including cancelled ones."""
        return bool(self._outgoing_call_by_stream) or self._last_cancel_at is not None

    @property
    def has_unsent_output(self) -> bool:
        """Whether a part of a message has not been passed to the operating system yet."""
        if self._transport is None:
            return False
        return bool(self._pending_messages) or self._transport.get_write_buffer_size() > 0

    @property
    def is_busy(self) -> bool:
        """Whether any call is open in either direction."""
        return bool(self._outgoing_call_by_stream or self._incoming_call_by_stream)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._disconnect_detector = DisconnectDetector(self._transport)
        self.send(self._owner.hello.to_wire())
        if self.is_accepted:
            self._owner.on_link_accepted(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._close_calls("link closed")
        if not self.ready.done():
            self.ready.set_exception(ConnectionError("link closed before the handshake"))
            self.ready.exception()
        self._owner.on_link_closed(self)

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._queue_body_part()

    def data_received(self, data: bytes) -> None:
        self._last_received_at = monotonic()
        if self._is_finishing:
            return
        try:
            messages = self._decoder.feed(data)
            self._streams_cancelled_in_batch = cancelled_streams(messages)
            for message in messages:
                self._receive(message)
            self._check_incomplete_message()
        except (
            LinkError,
            ValueError,
            TypeError,
            OverflowError,
            msgpack.exceptions.UnpackException,
        ) as error:
            self.close(f"malformed message: {error}")

    def _check_incomplete_message(self) -> None:
        """Raise LinkError if an unknown peer makes this end hold a large incomplete message."""
        size = self._decoder.undecoded_bytes
        if size <= MAX_HANDSHAKE_BYTES:
            return
        if self.peer is None:
            raise LinkError("the first message is too large")
        if size > MAX_STRANGER_MESSAGE_BYTES and not self._owner.is_member(self):
            raise LinkError(f"a message of {self.peer.node}, which is no member, is too large")

    def _receive(self, message: object) -> None:
        if not isinstance(message, list) or not message or not isinstance(message[0], int):
            raise LinkError("a message is not an array that starts with its kind")
        kind = message[0]
        if self.peer is None:
            if kind != Kind.HELLO:
                raise LinkError("the first message is not hello")
            self._complete_handshake(Hello.from_wire(message))
            return
        if kind == Kind.DRAIN:
            self.peer_draining = True
            self._owner.on_link_drain(self)
            return
        if kind > Kind.REQUEST_BODY:
            return
        if len(message) < 2 or not isinstance(message[1], int):
            raise LinkError(f"message of kind {kind} has no stream number")
        self._receive_for_stream(kind, message[1], message)

    def _complete_handshake(self, hello: Hello) -> None:
        if self._owner.hello.highest_common_version(hello) is None:
            raise LinkError(
                f"no common version with {hello.node}: "
                f"{hello.lowest_version}-{hello.highest_version}"
            )
        self.peer = hello
        self._owner.on_link_open(self)
        if not self.ready.done():
            self.ready.set_result(None)

    def _receive_for_stream(self, kind: int, stream: int, message: Sequence[object]) -> None:
        if kind == Kind.REQUEST:
            self._receive_request(stream, message)
        elif kind == Kind.RESPONSE:
            self._receive_response(stream, message)
        elif kind == Kind.BODY:
            self._receive_body(stream, message)
        elif kind in (Kind.REFUSED, Kind.FAILED):
            self._receive_refusal(stream, message)
        elif kind == Kind.REQUEST_BODY:
            self._receive_request_body(stream, message)
        elif kind == Kind.CANCEL:
            self._partial_call_by_stream.pop(stream, None)
            self._release_body(stream)
            incoming_call = self._incoming_call_by_stream.pop(stream, None)
            if incoming_call is not None and incoming_call.attempt is not None:
                incoming_call.attempt.cancel()
        elif kind == Kind.WINDOW:
            self._receive_window(stream, message)
        elif kind == Kind.PING:
            self.send(pack([Kind.PONG, stream]))
        elif kind == Kind.PONG:
            self._pending_ping_at = None
            if self._last_cancel_at is not None and self._last_cancel_at < self._last_ping_at:
                # Messages arrive in order, so the peer received the cancellations before this ping.
                self._last_cancel_at = None
        else:
            self._receive_query(kind, stream, message)

    def _receive_request(self, stream: int, message: Sequence[object]) -> None:
        context, request = unpack_request(message, monotonic())
        if stream in self._incoming_call_by_stream or stream in self._partial_call_by_stream:
            raise LinkError(f"stream {stream} is already open")
        if stream in self._streams_cancelled_in_batch or (
            self._disconnect_detector is not None and self._disconnect_detector.has_disconnected
        ):
            # The request was read late, after it was cancelled or the peer disconnected.
            return
        size = unpack_body_size(message)
        if not self._reserve_body(stream, body_memory_bytes(size or len(request.body))):
            refusal = Refusal(Reason.OVERLOADED, detail="no memory for the body of the request")
            self.send(pack_refusal(Kind.REFUSED, stream, refusal, Feedback()))
        elif size:
            self._partial_call_by_stream[stream] = PartialCall(context, request, size)
        else:
            self._run_call(stream, context, request)

    def _reserve_body(self, stream: int, size: int) -> bool:
        """Reserve memory for the body of a call, until the call ends."""
        if size <= UNCOUNTED_BYTES:
            return True
        if not self._owner.memory_budget.try_resize(0, size):
            return False
        self._body_bytes_by_stream[stream] = size
        return True

    def _receive_request_body(self, stream: int, message: Sequence[object]) -> None:
        call = self._partial_call_by_stream.get(stream)
        if call is None:
            # The call was refused or cancelled.
            return
        if len(message) < 3 or not isinstance(message[2], bytes):
            raise LinkError("a part of a request body lacks its data")
        if call.add_part(message[2]):
            del self._partial_call_by_stream[stream]
            self._run_call(stream, call.context, call.request)

    def _run_call(self, stream: int, context: CallContext, request: HttpRequest) -> None:
        incoming_call = IncomingCall(self, stream)
        self._incoming_call_by_stream[stream] = incoming_call
        attempt = self._owner.run_call(context, request, incoming_call)
        incoming_call.attempt = attempt

    def _receive_response(self, stream: int, message: Sequence[object]) -> None:
        call = self._outgoing_call_by_stream.get(stream)
        if call is None:
            return
        if len(message) < 6 or not isinstance(message[2], int) or not isinstance(message[4], bytes):
            raise LinkError("a response lacks its status, head or body")
        headers = unpack_headers(message[3])
        if not is_final_status(message[2]):
            # The caller would get it as the status of a response.
            self.cancel_call(stream)
            detail = f"the peer sent {message[2]!r} as the status of a response"
            refusal = Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, detail)
            call.sink.on_refusal(refusal, Feedback())
            return
        if message[5] is True:
            del self._outgoing_call_by_stream[stream]
            feedback = unpack_feedback(message, 6)
            call.sink.on_response(message[2], headers, message[4], feedback)
            return
        call.started = True
        call.sink.on_head(message[2], headers)
        if message[4]:
            call.sink.on_data(message[4])

    def _receive_body(self, stream: int, message: Sequence[object]) -> None:
        call = self._outgoing_call_by_stream.get(stream)
        if call is None:
            return
        if len(message) < 4 or not isinstance(message[2], bytes) or not call.started:
            raise LinkError("a part of a body lacks its data or its head")
        if message[2]:
            call.sink.on_data(message[2])
        if message[3] is True and self._outgoing_call_by_stream.pop(stream, None) is not None:
            call.sink.on_end(unpack_feedback(message, 4))

    def _receive_refusal(self, stream: int, message: Sequence[object]) -> None:
        refusal, feedback = unpack_refusal(message)
        self._unsent_body_by_stream.pop(stream, None)
        call = self._outgoing_call_by_stream.pop(stream, None)
        if call is None:
            return
        if call.started:
            call.sink.on_failure(refusal, feedback)
        else:
            call.sink.on_refusal(refusal, feedback)

    def _receive_window(self, stream: int, message: Sequence[object]) -> None:
        incoming_call = self._incoming_call_by_stream.get(stream)
        credit_bytes = message[2] if len(message) > 2 else None
        if not isinstance(credit_bytes, int) or credit_bytes < 0:
            raise LinkError("a window message lacks its count")
        if incoming_call is not None:
            incoming_call.credit(credit_bytes)

    def _receive_query(self, kind: int, stream: int, message: Sequence[object]) -> None:
        if kind == Kind.ANSWER:
            callback = self._reply_callback_by_stream.pop(stream, None)
            if callback is not None:
                self._call_reply_callback(callback, message[2] if len(message) > 2 else None)
            return
        if len(message) < 4 or not isinstance(message[2], str):
            raise LinkError("a question lacks its topic")
        self._owner.handle_query(
            message[2], message[3], lambda payload: self.send(pack([Kind.ANSWER, stream, payload]))
        )

    def _call_reply_callback(self, callback: Callable[[object], None], reply: object) -> None:
        try:
            callback(reply)
        except Exception as error:
            # A reply that cannot be handled is no reason to end the calls on the link.
            message = "a reply could not be handled"
            self._loop.call_exception_handler({"message": message, "exception": error})

    def call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Send a call, whose result `sink` receives; the link must be open."""
        stream = self._allocate_stream()
        call = OutgoingCall(self, stream, sink)
        if len(request.body) > MAX_LINK_BODY_BYTES and not self._accepts_body_parts:
            # A peer of an earlier release closes the link on a larger message.
            refusal = Refusal(Reason.OVERLOADED, detail="the peer accepts no body of this size")
            sink.on_refusal(refusal, Feedback(context.allowance.remaining))
            return call
        self._outgoing_call_by_stream[stream] = call
        sends_parts = len(request.body) > BODY_PART_BYTES and self._accepts_body_parts
        self.send(pack_request(stream, context, request, monotonic(), sends_parts))
        if sends_parts:
            # The first part follows with the next flush, after the request.
            self._unsent_body_by_stream[stream] = UnsentBody(request.body)
        call.send_position = (self._flush_count, len(self._pending_messages) - 1)
        return call

    @property
    def _accepts_body_parts(self) -> bool:
        return self.peer is not None and self.peer.highest_version >= BODY_PARTS_VERSION

    def _queue_body_part(self) -> None:
        """Queue a part of the body that has waited longest, unless the peer reads too slowly."""
        if not self._unsent_body_by_stream or self._writing_paused:
            return
        stream = next(iter(self._unsent_body_by_stream))
        body = self._unsent_body_by_stream.pop(stream)
        self.send(pack_request_body(stream, body.take_part()))
        if not body.is_sent:
            self._unsent_body_by_stream[stream] = body

    def query(self, topic: str, payload: object, callback: Callable[[object], None]) -> None:
        """Send a query; `callback` gets the reply, or None if the link closes first."""
        if not self.is_open:
            # It may have closed since it was opened; its close does not end later queries.
            callback(None)
            return
        stream = self._allocate_stream()
        self._reply_callback_by_stream[stream] = callback
        self.send(pack([Kind.ASK, stream, topic, payload]))

    def _allocate_stream(self) -> int:
        stream = self._next_stream
        self._next_stream += 1
        return stream

    def cancel_call(self, stream: int) -> None:
        """Cancel a call that this end sent; does nothing if the call has ended."""
        if self.withdraw_call(stream):
            return
        if self._outgoing_call_by_stream.pop(stream, None) is None:
            return
        self._last_cancel_at = monotonic()
        self.send(pack([Kind.CANCEL, stream]))

    def withdraw_call(self, stream: int) -> bool:
        """Remove a call that is still queued, so that the peer never runs it.

        Returns False if its whole message has been written or the call has ended.
        """
        call = self._outgoing_call_by_stream.get(stream)
        if call is None:
            return False
        unsent_body = self._unsent_body_by_stream.pop(stream, None)
        flush_count, index = call.send_position
        if flush_count == self._flush_count:
            del self._outgoing_call_by_stream[stream]
            self._pending_messages[index] = b""
            return True
        if unsent_body is None:
            return False
        # The peer runs a call only with its whole body.
        del self._outgoing_call_by_stream[stream]
        self.send(pack([Kind.CANCEL, stream]))
        return True

    def end_incoming_call(self, stream: int) -> None:
        """Remove a call from the peer whose final message is being sent."""
        self._incoming_call_by_stream.pop(stream, None)
        self._release_body(stream)

    def _release_body(self, stream: int) -> None:
        size = self._body_bytes_by_stream.pop(stream, 0)
        if size:
            self._owner.memory_budget.try_resize(size, 0)

    def send_drain(self) -> None:
        """Notify the peer that this node is draining and accepts no further calls."""
        self.send(pack([Kind.DRAIN]))

    def send(self, data: bytes) -> None:
        """Queue an encoded message; one write sends all messages of an event loop iteration."""
        if not self._pending_messages:
            self._loop.call_soon(self._flush)
        self._pending_messages.append(data)

    def _flush(self) -> None:
        pending_messages, self._pending_messages = self._pending_messages, []
        self._flush_count += 1
        data = pending_messages[0] if len(pending_messages) == 1 else b"".join(pending_messages)
        is_writable = self._transport is not None and not self._transport.is_closing()
        if data and self._transport is not None and is_writable and not self._is_finishing:
            self._transport.write(data)
        self._queue_body_part()

    def check_liveness(self, now: float) -> bool:
        """Ping the peer if it owes results or replies and has sent nothing for `PING_AFTER_IDLE_S`.

        Calls of which a part of the body is missing at their deadline are dropped.

        `now` is in monotonic time. Return True if the link was closed because nothing was received
        within `PONG_TIMEOUT_S` after an earlier ping.
        """
        if self._partial_call_by_stream:
            self._drop_expired_partial_calls(now)
        if self._pending_ping_at is not None:
            if not self.is_ping_unanswered:
                self._pending_ping_at = None
            elif now - self._pending_ping_at > PONG_TIMEOUT_S:
                self.close("no answer to a ping", abort=True)
                return True
            return False
        awaits_peer = self.has_calls_at_peer or self._reply_callback_by_stream
        if awaits_peer and now - self._last_received_at > PING_AFTER_IDLE_S:
            self._pending_ping_at = self._last_ping_at = now
            self.send(pack([Kind.PING, 0]))
        return False

    def _drop_expired_partial_calls(self, now: float) -> None:
        for stream, call in list(self._partial_call_by_stream.items()):
            if now > call.context.deadline:
                del self._partial_call_by_stream[stream]
                self._release_body(stream)

    def close(self, reason: str, abort: bool = False) -> None:
        """Close the link; open calls end with `reason` as detail.

        Their outcome is unknown, except for calls of which nothing has been written.
        """
        self._close_calls(reason)
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
            return
        if self._pending_messages:
            self._flush()
        self._transport.close()

    def finish(self, reason: str) -> None:
        """End open calls as `close` does, and the sending side; the peer closes the link.

        What arrives until then is discarded. After a close it would reset the connection, and the
        peer could lose what it has not read yet.
        """
        if not self.is_open or self._transport is None:
            self.close(reason)
            return
        self._close_calls(reason)
        if self._pending_messages:
            self._flush()
        self._is_finishing = True
        self._transport.write_eof()

    def _close_calls(self, reason: str) -> None:
        outgoing_calls, self._outgoing_call_by_stream = self._outgoing_call_by_stream, {}
        incoming_calls, self._incoming_call_by_stream = self._incoming_call_by_stream, {}
        reply_callbacks, self._reply_callback_by_stream = self._reply_callback_by_stream, {}
        unsent_bodies, self._unsent_body_by_stream = self._unsent_body_by_stream, {}
        self._partial_call_by_stream.clear()
        for stream in list(self._body_bytes_by_stream):
            self._release_body(stream)
        refusal = Refusal(Reason.LINK_FAILED, Outcome.UNKNOWN, None, reason)
        unsent = Refusal(Reason.LINK_FAILED, Outcome.NOT_RUN, None, reason)
        for stream, call in outgoing_calls.items():
            flush_count, index = call.send_position
            if flush_count == self._flush_count:
                # None of its bytes have been written, and they must not be written by the close.
                self._pending_messages[index] = b""
                call.sink.on_refusal(unsent, Feedback())
            elif stream in unsent_bodies:
                # The peer runs a call only with its whole body.
                call.sink.on_refusal(unsent, Feedback())
            elif call.started:
                call.sink.on_failure(refusal, Feedback())
            else:
                call.sink.on_refusal(refusal, Feedback())
        for incoming_call in incoming_calls.values():
            if incoming_call.attempt is not None:
                incoming_call.attempt.cancel()
        for callback in reply_callbacks.values():
            callback(None)


def cancelled_streams(messages: Sequence[object]) -> frozenset[int]:
    """Return the streams that are cancelled within one batch of messages read together."""
    if len(messages) < 2:
        return frozenset()
    return frozenset(
        message[1]
        for message in messages
        if isinstance(message, list)
        and len(message) > 1
        and message[0] == Kind.CANCEL
        and isinstance(message[1], int)
    )
