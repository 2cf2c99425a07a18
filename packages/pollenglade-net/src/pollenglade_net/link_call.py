"""Sending and receiving end of one call on a link."""

from __future__ import annotations

from typing import Protocol

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Refusal

from .attempt import Attempt
from .attempt import AttemptSink
from .http_message import Headers
from .http_message import HttpRequest
from .link_message import BODY_PART_BYTES
from .link_message import Feedback
from .link_message import Kind
from .link_message import LinkError
from .link_message import pack
from .link_message import pack_body
from .link_message import pack_refusal
from .link_message import pack_response


class CallLink(Protocol):
    """Interface of the link that its calls use."""

    def send(self, data: bytes) -> None:
        """Queue an encoded message."""

    def cancel_call(self, stream: int) -> None:
        """Cancel a call that this end sent."""

    def withdraw_call(self, stream: int) -> bool:
        """Cancel a call if none of its bytes have been written; return whether that is so."""

    def end_incoming_call(self, stream: int) -> None:
        """Remove a call from the peer whose final message is being sent."""


class OutgoingCall:
    """A call that this end sent to the peer.

    `send_position` is the flush of the link in which the call is sent and its index in the queue.
    """

    __slots__ = ("_link", "_stream", "send_position", "sink", "started")

    def __init__(self, link: CallLink, stream: int, sink: AttemptSink) -> None:
        self._link = link
        self._stream = stream
        self.send_position = (0, 0)
        self.sink = sink
        self.started = False

    def cancel(self) -> None:
        self._link.cancel_call(self._stream)

    def withdraw(self) -> bool:
        return self._link.withdraw_call(self._stream)

    def credit(self, credit_bytes: int) -> None:
        self._link.send(pack([Kind.WINDOW, self._stream, credit_bytes]))


class UnsentBody:
    """The part of a request body that has still to be sent to the peer."""

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes | bytearray) -> None:
        self._data = data
        self._position = 0

    @property
    def is_sent(self) -> bool:
        """Whether the whole body has been taken."""
        return self._position >= len(self._data)

    def take_part(self) -> bytes | bytearray:
        """Return the next part."""
        start = self._position
        self._position = start + BODY_PART_BYTES
        return self._data[start : self._position]


class PartialCall:
    """A call from the peer of which a part of the body is missing; `size` is that of the body."""

    __slots__ = ("_body", "_missing_bytes", "context", "request", "size")

    def __init__(self, context: CallContext, request: HttpRequest, size: int) -> None:
        self.context = context
        self.request = request
        self.size = size
        self._missing_bytes = size
        self._body = bytearray()

    def add_part(self, data: bytes) -> bool:
        """Add a part and return whether the request is complete; raise LinkError if too large."""
        self._missing_bytes -= len(data)
        if self._missing_bytes < 0:
            raise LinkError("the parts of a request body exceed its size")
        self._body += data
        if self._missing_bytes:
            return False
        self.request.body, self._body = self._body, bytearray()
        return True


class IncomingCall:
    """A call received from the peer; sends the result back over the link."""

    __slots__ = ("_link", "_stream", "attempt")

    def __init__(self, link: CallLink, stream: int) -> None:
        self._link = link
        self._stream = stream
        self.attempt: Attempt | None = None

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self._link.end_incoming_call(self._stream)
        self._link.send(pack_response(self._stream, status, headers, body, True, feedback))

    def on_head(self, status: int, headers: Headers) -> None:
        self._link.send(pack_response(self._stream, status, headers, b"", False, Feedback()))

    def on_data(self, data: bytes) -> None:
        self._link.send(pack_body(self._stream, data, False, Feedback()))

    def on_end(self, feedback: Feedback) -> None:
        self._link.end_incoming_call(self._stream)
        self._link.send(pack_body(self._stream, b"", True, feedback))

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self._link.end_incoming_call(self._stream)
        self._link.send(pack_refusal(Kind.REFUSED, self._stream, refusal, feedback))

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self._link.end_incoming_call(self._stream)
        self._link.send(pack_refusal(Kind.FAILED, self._stream, refusal, feedback))

    def credit(self, credit_bytes: int) -> None:
        if self.attempt is not None:
            self.attempt.credit(credit_bytes)
