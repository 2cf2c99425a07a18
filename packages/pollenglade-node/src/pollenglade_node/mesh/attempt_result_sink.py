"""Passes the result of one attempt on to its request."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_net.http_message import Headers
from pollenglade_net.link_message import Feedback

from .load_report import unpack_load


class AttemptedCall(Protocol):
    """Interface of a request that receives the results of its attempts."""

    current_sink: AttemptResultSink | None
    is_done: bool

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Handle a complete response."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the head of a streamed response."""

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body of a streamed response."""

    def on_end(self, feedback: Feedback) -> None:
        """Handle the end of a streamed response."""

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Handle an attempt that ended without a response."""

    def on_stream_failure(self, refusal: Refusal) -> None:
        """Handle a streamed response that ended before it was complete."""


class AttemptResultSink:
    """Sink of one attempt that forwards its result to the request.

    Results of an attempt that is no longer the current one of its request are dropped, except for
    the load in their feedback, which is always recorded at the peer.
    """

    __slots__ = ("_call", "_endpoint", "peer")

    def __init__(self, call: AttemptedCall, peer: Peer) -> None:
        self._call = call
        self._endpoint = peer.endpoint
        self.peer = peer

    def _is_current(self) -> bool:
        return self._call.current_sink is self and not self._call.is_done

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self._record_load(feedback)
        if self._is_current():
            self._call.on_response(status, headers, body, feedback)

    def on_head(self, status: int, headers: Headers) -> None:
        if self._is_current():
            self._call.on_head(status, headers)

    def on_data(self, data: bytes) -> None:
        if self._is_current():
            self._call.on_data(data)

    def on_end(self, feedback: Feedback) -> None:
        self._record_load(feedback)
        if self._is_current():
            self._call.on_end(feedback)

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self._record_load(feedback)
        if self._is_current():
            self._call.on_refusal(refusal, feedback)

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self._record_load(feedback)
        if self._is_current():
            self._call.on_stream_failure(refusal)

    def _record_load(self, feedback: Feedback) -> None:
        report = unpack_load(feedback.load_report)
        if report is None:
            return
        load, leaving = report
        now = monotonic()
        self.peer.apply_load_report(load, now)
        if leaving and self.peer.endpoint == self._endpoint:
            self.peer.mark_leaving(now)
