"""Interfaces between the entry role, the link and the serving role for one attempt of a call."""

from __future__ import annotations

from typing import Protocol

from pollenglade_core.calls.outcome import Refusal

from .http_message import Headers
from .link_message import Feedback


class AttemptSink(Protocol):
    """Receives the result of one attempt.

    Either `on_response` comes alone, or `on_refusal` alone, or `on_head` comes first, then any
    number of `on_data`, then one of `on_end` and `on_failure`.
    """

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Take a whole response."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the head of a streamed response."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the body of a streamed response."""

    def on_end(self, feedback: Feedback) -> None:
        """Take the end of a streamed response."""

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Take the reason why there is no response."""

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        """Take the reason why a streamed response broke off."""


class Attempt(Protocol):
    """One attempt that is under way."""

    def cancel(self) -> None:
        """Give the attempt up; the sink gets nothing more."""

    def credit(self, count: int) -> None:
        """Allow `count` further bytes of a streamed body."""
