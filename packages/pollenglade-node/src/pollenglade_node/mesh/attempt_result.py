"""The result of one attempt of a request, on its way to the request."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_net.http_message import Headers
from pollenglade_net.link_message import Feedback

LOAD_FIELDS = 5


class AttemptedCall(Protocol):
    """The request as seen from one of its attempts."""

    current: AttemptResult | None
    is_done: bool

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Take a whole response."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the head of a large response."""

    def on_data(self, data: bytes) -> None:
        """Take a part of a large response."""

    def on_end(self, feedback: Feedback) -> None:
        """Take the end of a large response."""

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Take the reason why there is no response."""

    def on_stream_failure(self, refusal: Refusal) -> None:
        """Take the reason why a large response broke off."""


class AttemptResult:
    """Sink of one attempt; a result of an attempt that was given up has no effect."""

    __slots__ = ("_call", "peer")

    def __init__(self, call: AttemptedCall, peer: Peer) -> None:
        self._call = call
        self.peer = peer

    def _is_current(self) -> bool:
        return self._call.current is self and not self._call.is_done

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self._note(feedback)
        if self._is_current():
            self._call.on_response(status, headers, body, feedback)

    def on_head(self, status: int, headers: Headers) -> None:
        if self._is_current():
            self._call.on_head(status, headers)

    def on_data(self, data: bytes) -> None:
        if self._is_current():
            self._call.on_data(data)

    def on_end(self, feedback: Feedback) -> None:
        self._note(feedback)
        if self._is_current():
            self._call.on_end(feedback)

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self._note(feedback)
        if self._is_current():
            self._call.on_refusal(refusal, feedback)

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self._note(feedback)
        if self._is_current():
            self._call.on_stream_failure(refusal)

    def _note(self, feedback: Feedback) -> None:
        if len(feedback.load) >= LOAD_FIELDS:
            running, waiting, limit, expected_s, failure_rate = feedback.load[:LOAD_FIELDS]
            load = EndpointLoad(
                int(running), int(waiting), max(1, int(limit)), expected_s, failure_rate
            )
            self.peer.report(load, monotonic())
