"""Interfaces through which entry node, link and serving node handle one attempt of a call."""

from __future__ import annotations

from typing import Protocol

from pollenglade_core.calls.outcome import Refusal

from .http_message import Headers
from .link_message import Feedback


class AttemptSink(Protocol):
    """Receives the result of one attempt.

    A complete response is a single `on_response`, a refusal a single `on_refusal`. A streamed
    response is `on_head`, any number of `on_data`, and finally `on_end` or `on_failure`.
    """

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Handle a complete response."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the head of a streamed response."""

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body of a streamed response."""

    def on_end(self, feedback: Feedback) -> None:
        """Handle the end of a streamed response."""

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Handle a refusal, which is sent in place of a response."""

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        """Handle the failure of a streamed response that had already started."""


class Attempt(Protocol):
    """One attempt in progress."""

    def cancel(self) -> None:
        """Cancel the attempt; the sink receives nothing more."""

    def withdraw(self) -> bool:
        """Cancel the attempt if it is certain that it has reached no endpoint and never will.

        Returns whether it is certain; otherwise the attempt goes on.
        """

    def credit(self, credit_bytes: int) -> None:
        """Allow `credit_bytes` more bytes of a streamed body to be sent."""
