"""Both ends of one call on a link."""

from __future__ import annotations

from typing import Protocol

from pollenglade_core.calls.outcome import Refusal

from .attempt import Attempt
from .attempt import AttemptSink
from .http_message import Headers
from .link_message import Feedback
from .link_message import Kind
from .link_message import pack
from .link_message import pack_body
from .link_message import pack_refusal
from .link_message import pack_response


class CallLink(Protocol):
    """The link as seen from one of its calls."""

    def send(self, data: bytes) -> None:
        """Queue an encoded message."""

    def cancel_call(self, stream: int) -> None:
        """Give up on a call that was sent."""

    def end_peer_call(self, stream: int) -> None:
        """Forget a call of the peer whose result is on its way."""


class OpenCall:
    """A call that was sent to the peer."""

    __slots__ = ("_link", "_stream", "place", "sink", "started")

    def __init__(self, link: CallLink, stream: int, sink: AttemptSink) -> None:
        self._link = link
        self._stream = stream
        self.place = (0, 0)
        self.sink = sink
        self.started = False

    def cancel(self) -> None:
        self._link.cancel_call(self._stream)

    def credit(self, count: int) -> None:
        self._link.send(pack([Kind.WINDOW, self._stream, count]))


class PeerCall:
    """A call that the peer sent; encodes its result."""

    __slots__ = ("_link", "_outstanding", "_stream", "attempt")

    def __init__(self, link: CallLink, stream: int) -> None:
        self._link = link
        self._stream = stream
        self._outstanding = 0
        self.attempt: Attempt | None = None

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self._link.end_peer_call(self._stream)
        self._link.send(pack_response(self._stream, status, headers, body, True, feedback))

    def on_head(self, status: int, headers: Headers) -> None:
        self._link.send(pack_response(self._stream, status, headers, b"", False, Feedback()))

    def on_data(self, data: bytes) -> None:
        self._outstanding += len(data)
        self._link.send(pack_body(self._stream, data, False, Feedback()))

    def on_end(self, feedback: Feedback) -> None:
        self._link.end_peer_call(self._stream)
        self._link.send(pack_body(self._stream, b"", True, feedback))

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self._link.end_peer_call(self._stream)
        self._link.send(pack_refusal(Kind.REFUSED, self._stream, refusal, feedback))

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self._link.end_peer_call(self._stream)
        self._link.send(pack_refusal(Kind.FAILED, self._stream, refusal, feedback))

    def credit(self, count: int) -> None:
        self._outstanding -= count
        if self.attempt is not None:
            self.attempt.credit(count)
