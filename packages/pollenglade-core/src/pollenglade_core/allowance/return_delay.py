"""When a request beyond its organisation's rate should come back.

Answers a surge of one organisation that lasts longer than its burst: tokens keep coming, and more
requests than tokens compete for them. A request that returns within its latency objective has the
same chance as one that returns later, and its caller still gets a useful answer. The more requests
compete for one token, the longer is the delay, so that retries do not crowd the node.
"""

from __future__ import annotations

from math import exp

AVERAGE_S = 1.0
"""Time constant in seconds of the averages; a few returns of one request."""

OBJECTIVE_PART = 0.16
"""Part of the latency objective that passes before a return, before jitter; with jitter up to twice
that, two returns take two thirds of the objective at most and leave the rest for the work."""

EASY_RATIO = 3.0
"""Requests for each token, returns included, up to which the delay does not grow."""

MIN_DELAY_S = 0.05
MAX_DELAY_S = 1.5
"""Bounds in seconds on the delay before jitter: a new connection and a request take a few
milliseconds, and clients wait for a third of their deadline at most."""


class TokenDemand:
    """Requests for one organisation's tokens at one node, and how many of them got one."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._granted = 0.0
        self._updated_at = 0.0

    def on_request(self, granted: bool, now: float) -> None:
        """Count a request."""
        kept = self._kept(now)
        self._updated_at = now
        self._requests = self._requests * kept + 1.0
        self._granted = self._granted * kept + (1.0 if granted else 0.0)

    def rate_per_s(self, now: float) -> float:
        """Return the recent requests per second."""
        return self._requests * self._kept(now) / AVERAGE_S

    def _kept(self, now: float) -> float:
        return exp(min(0.0, self._updated_at - now) / AVERAGE_S)

    def delay_s(self, objective_s: float) -> float:
        """Return after how many seconds a refused request should come back, before jitter."""
        ratio = self._requests / max(self._granted, 1.0)
        delay_s = objective_s * OBJECTIVE_PART * max(1.0, ratio / EASY_RATIO)
        return min(MAX_DELAY_S, max(MIN_DELAY_S, delay_s))
