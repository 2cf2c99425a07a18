"""Bounds the requests per second that are sent to an endpoint with a rate limit."""

from __future__ import annotations

from math import inf

BURST_S = 0.25
"""Time in seconds for which an unused rate accumulates. A short time keeps every window of a few
seconds close to the limit; a shorter one loses more of the rate where requests arrive unevenly."""


class RequestRate:
    """Token bucket that holds one token for each request that may be sent now."""

    def __init__(self) -> None:
        self._per_s: float | None = None
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def per_s(self) -> float | None:
        """Limit in requests per second, None if there is none."""
        return self._per_s

    def set_limit(self, per_s: float | None, now: float) -> None:
        """Set the limit in requests per second; a new limit starts without tokens."""
        self._refill(now)
        if self._per_s is None or per_s is None:
            self._tokens = 0.0
        self._per_s = per_s
        self._tokens = min(self._tokens, self._burst)

    def can_send(self, now: float) -> bool:
        """Whether a request may be sent now."""
        self._refill(now)
        return self._per_s is None or self._tokens >= 1.0

    def on_sent(self, now: float) -> None:
        """Count a request; one that was sent regardless of the limit delays the next ones."""
        self._refill(now)
        if self._per_s is not None:
            self._tokens -= 1.0

    def wait_s(self, requests_ahead: int, now: float) -> float:
        """Return the time in seconds until a request with others ahead of it may be sent."""
        self._refill(now)
        missing_tokens = requests_ahead + 1 - self._tokens
        if self._per_s is None or missing_tokens <= 0.0:
            return 0.0
        return missing_tokens / self._per_s if self._per_s > 0.0 else inf

    @property
    def _burst(self) -> float:
        return max(1.0, (self._per_s or 0.0) * BURST_S)

    def _refill(self, now: float) -> None:
        age_s, self._updated_at = max(0.0, now - self._updated_at), now
        if self._per_s is not None:
            self._tokens = min(self._burst, self._tokens + age_s * self._per_s)
