"""One multiplexed msgpack stream between two nodes."""

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
from .http_message import HttpRequest
from .link_call import OpenCall
from .link_call import PeerCall
from .link_message import Feedback
from .link_message import Hello
from .link_message import Kind
from .link_message import LinkError
from .link_message import new_unpacker
from .link_message import pack
from .link_message import pack_request
from .link_message import unpack_feedback
from .link_message import unpack_headers
from .link_message import unpack_refusal
from .link_message import unpack_request
from .peer_watch import PeerWatch

WINDOW_BYTES = 256 * 1024
"""Bytes of one streamed body that may be on the way to the entry node."""

SILENCE_S = 0.25
"""A link with open calls that received nothing for this time is probed."""

PONG_TIMEOUT_S = 0.5

Runner = Callable[[CallContext, HttpRequest, AttemptSink], Attempt]
AskHandler = Callable[[str, object, Callable[[object], None]], None]


class LinkOwner(Protocol):
    """The node as seen from a link."""

    @property
    def hello(self) -> Hello:
        """First message of this node."""

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Run a call that a peer sent."""

    def ask(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        """Answer a question of a peer."""

    def on_link_open(self, link: Link) -> None:
        """Take a link whose handshake is complete."""

    def on_link_drain(self, link: Link) -> None:
        """Take the notice that the peer is leaving."""

    def on_link_closed(self, link: Link) -> None:
        """Take a link that is closed."""


class Link(asyncio.Protocol):
    """One end of a link; both ends may send calls and questions.

    `is_accepted` says that the peer has opened it.
    """

    def __init__(self, owner: LinkOwner, is_accepted: bool = False) -> None:
        self._owner = owner
        self.is_accepted = is_accepted
        self._loop = asyncio.get_running_loop()
        self._unpacker = new_unpacker()
        self._transport: asyncio.Transport | None = None
        self._watch: PeerWatch | None = None
        self._pending: list[bytes] = []
        self._turn = 0
        self._withdrawn: frozenset[int] = frozenset()
        self._next_stream = 1
        self._open_by_stream: dict[int, OpenCall] = {}
        self._peer_by_stream: dict[int, PeerCall] = {}
        self._asked_by_stream: dict[int, Callable[[object], None]] = {}
        self._last_received = monotonic()
        self._ping_sent: float | None = None
        self._pinged_at = 0.0
        self._cancelled_at: float | None = None
        self.peer: Hello | None = None
        self.ready: asyncio.Future[None] = self._loop.create_future()
        self.peer_draining = False

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent."""
        return (
            self.peer is not None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def silent_s(self) -> float:
        """Time in seconds since something was received."""
        return monotonic() - self._last_received

    @property
    def has_work_at_peer(self) -> bool:
        """Whether the peer may work on calls of this end, those that were given up included."""
        return bool(self._open_by_stream) or self._cancelled_at is not None

    @property
    def is_busy(self) -> bool:
        """Whether calls are open in either direction."""
        return bool(self._open_by_stream or self._peer_by_stream)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._watch = PeerWatch(self._transport)
        self.send(self._owner.hello.to_wire())

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._close_calls("link closed")
        if not self.ready.done():
            self.ready.set_exception(ConnectionError("link closed before the handshake"))
            self.ready.exception()
        self._owner.on_link_closed(self)

    def data_received(self, data: bytes) -> None:
        self._last_received = monotonic()
        try:
            self._unpacker.feed(data)
            messages = list(self._unpacker)
            self._withdrawn = cancelled_streams(messages)
            for message in messages:
                self._receive(message)
        except (
            LinkError,
            ValueError,
            TypeError,
            msgpack.exceptions.UnpackException,
        ) as error:
            self.close(f"malformed message: {error}")

    def _receive(self, message: object) -> None:
        if not isinstance(message, list) or not message or not isinstance(message[0], int):
            raise LinkError("a message is not an array that starts with its kind")
        kind = message[0]
        if self.peer is None:
            if kind != Kind.HELLO:
                raise LinkError("the first message is not hello")
            self._greet(Hello.from_wire(message))
            return
        if kind == Kind.DRAIN:
            self.peer_draining = True
            self._owner.on_link_drain(self)
            return
        if kind > Kind.ANSWER:
            return
        if len(message) < 2 or not isinstance(message[1], int):
            raise LinkError(f"message of kind {kind} has no stream number")
        self._receive_for_stream(kind, message[1], message)

    def _greet(self, hello: Hello) -> None:
        if self._owner.hello.version_with(hello) is None:
            raise LinkError(f"no common version with {hello.node}: {hello.lowest}-{hello.highest}")
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
        elif kind == Kind.CANCEL:
            peer_call = self._peer_by_stream.pop(stream, None)
            if peer_call is not None and peer_call.attempt is not None:
                peer_call.attempt.cancel()
        elif kind == Kind.WINDOW:
            self._receive_window(stream, message)
        elif kind == Kind.PING:
            self.send(pack([Kind.PONG, stream]))
        elif kind == Kind.PONG:
            self._ping_sent = None
            if self._cancelled_at is not None and self._cancelled_at < self._pinged_at:
                # Messages arrive in order, so the peer has the cancellations before the ping.
                self._cancelled_at = None
        else:
            self._receive_question(kind, stream, message)

    def _receive_request(self, stream: int, message: Sequence[object]) -> None:
        context, request = unpack_request(message, monotonic())
        if stream in self._peer_by_stream:
            raise LinkError(f"stream {stream} is already open")
        if stream in self._withdrawn or (self._watch is not None and self._watch.has_left):
            # It was read late, and nobody waits for it any more.
            return
        peer_call = PeerCall(self, stream)
        self._peer_by_stream[stream] = peer_call
        attempt = self._owner.run(context, request, peer_call)
        peer_call.attempt = attempt

    def _receive_response(self, stream: int, message: Sequence[object]) -> None:
        call = self._open_by_stream.get(stream)
        if call is None:
            return
        if len(message) < 6 or not isinstance(message[2], int) or not isinstance(message[4], bytes):
            raise LinkError("a response lacks its status, head or body")
        headers = unpack_headers(message[3])
        if message[5] is True:
            del self._open_by_stream[stream]
            feedback = unpack_feedback(message, 6)
            call.sink.on_response(message[2], headers, message[4], feedback)
            return
        call.started = True
        call.sink.on_head(message[2], headers)
        if message[4]:
            call.sink.on_data(message[4])

    def _receive_body(self, stream: int, message: Sequence[object]) -> None:
        call = self._open_by_stream.get(stream)
        if call is None:
            return
        if len(message) < 4 or not isinstance(message[2], bytes) or not call.started:
            raise LinkError("a part of a body lacks its data or its head")
        if message[2]:
            call.sink.on_data(message[2])
        if message[3] is True and self._open_by_stream.pop(stream, None) is not None:
            call.sink.on_end(unpack_feedback(message, 4))

    def _receive_refusal(self, stream: int, message: Sequence[object]) -> None:
        refusal, feedback = unpack_refusal(message)
        call = self._open_by_stream.pop(stream, None)
        if call is None:
            return
        if call.started:
            call.sink.on_failure(refusal, feedback)
        else:
            call.sink.on_refusal(refusal, feedback)

    def _receive_window(self, stream: int, message: Sequence[object]) -> None:
        peer_call = self._peer_by_stream.get(stream)
        count = message[2] if len(message) > 2 else None
        if not isinstance(count, int) or count < 0:
            raise LinkError("a window message lacks its count")
        if peer_call is not None:
            peer_call.credit(count)

    def _receive_question(self, kind: int, stream: int, message: Sequence[object]) -> None:
        if kind == Kind.ANSWER:
            callback = self._asked_by_stream.pop(stream, None)
            if callback is not None:
                callback(message[2] if len(message) > 2 else None)
            return
        if len(message) < 4 or not isinstance(message[2], str):
            raise LinkError("a question lacks its topic")
        self._owner.ask(
            message[2], message[3], lambda payload: self.send(pack([Kind.ANSWER, stream, payload]))
        )

    def call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Send a call; the link must be open."""
        stream = self._take_stream()
        call = OpenCall(self, stream, sink)
        self._open_by_stream[stream] = call
        self.send(pack_request(stream, context, request, monotonic()))
        call.place = (self._turn, len(self._pending) - 1)
        return call

    def ask(self, topic: str, payload: object, callback: Callable[[object], None]) -> None:
        """Send a question; `callback` gets the answer, or None where the link closes first."""
        stream = self._take_stream()
        self._asked_by_stream[stream] = callback
        self.send(pack([Kind.ASK, stream, topic, payload]))

    def _take_stream(self) -> int:
        stream = self._next_stream
        self._next_stream += 1
        return stream

    def cancel_call(self, stream: int) -> None:
        """Give up on a call that was sent."""
        call = self._open_by_stream.pop(stream, None)
        if call is None:
            return
        turn, index = call.place
        if turn == self._turn:
            # Not sent yet; the peer need not know.
            self._pending[index] = b""
            return
        self._cancelled_at = monotonic()
        self.send(pack([Kind.CANCEL, stream]))

    def end_peer_call(self, stream: int) -> None:
        """Forget a call of the peer whose result is on its way."""
        self._peer_by_stream.pop(stream, None)

    def send_drain(self) -> None:
        """Tell the peer that this node takes no further calls."""
        self.send(pack([Kind.DRAIN]))

    def send(self, data: bytes) -> None:
        """Queue an encoded message; messages of one turn of the loop go out in one write."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(data)

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        self._turn += 1
        data = pending[0] if len(pending) == 1 else b"".join(pending)
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def check(self, now: float) -> bool:
        """Probe a silent link on which something is awaited.

        Return whether it was closed because no answer came.
        """
        if self._ping_sent is not None:
            if now - self._ping_sent > PONG_TIMEOUT_S and self._last_received < self._ping_sent:
                self.close("no answer to a ping", abort=True)
                return True
            if self._last_received >= self._ping_sent:
                self._ping_sent = None
            return False
        waiting = self.has_work_at_peer or self._asked_by_stream
        if waiting and now - self._last_received > SILENCE_S:
            self._ping_sent = self._pinged_at = now
            self.send(pack([Kind.PING, 0]))
        return False

    def close(self, reason: str, abort: bool = False) -> None:
        """Close the link; open calls end with outcome unknown."""
        self._close_calls(reason)
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
            return
        if self._pending:
            self._flush()
        self._transport.close()

    def _close_calls(self, reason: str) -> None:
        open_calls, self._open_by_stream = self._open_by_stream, {}
        peer_calls, self._peer_by_stream = self._peer_by_stream, {}
        asked, self._asked_by_stream = self._asked_by_stream, {}
        refusal = Refusal(Reason.LINK_FAILED, Outcome.UNKNOWN, None, reason)
        for call in open_calls.values():
            if call.started:
                call.sink.on_failure(refusal, Feedback())
            else:
                call.sink.on_refusal(refusal, Feedback())
        for peer_call in peer_calls.values():
            if peer_call.attempt is not None:
                peer_call.attempt.cancel()
        for callback in asked.values():
            callback(None)


def cancelled_streams(messages: Sequence[object]) -> frozenset[int]:
    """Return the streams that messages which were read together cancel."""
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
