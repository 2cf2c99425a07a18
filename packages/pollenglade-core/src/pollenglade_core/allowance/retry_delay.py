"""Retry delay of requests that are refused because their organisation exceeds its rate.

It applies when a surge of an organisation continues after its burst is spent: tokens still accrue,
but more requests compete for them. A request that is repeated within its latency objective is as
likely to get a token as a later one, and its response is still useful to the client. The delay
increases with the number of requests per token, so that repeats do not overload the node.
"""

from __future__ import annotations

from math import exp

AVERAGE_TIME_CONSTANT_S = 1.0
"""Time constant of the averages, in seconds; covers a few repeats of one request."""

DELAY_OBJECTIVE_FRACTION = 0.16
"""Fraction of the latency objective that is the delay before jitter.

Jitter at most doubles the delay, so two repeats take at most two thirds of the objective and leave
the rest for the work.
"""

BACKOFF_REQUESTS_PER_TOKEN = 3.0
"""Number of requests per token, including repeats, above which the delay increases."""

MIN_DELAY_S = 0.05
"""Lower bound of the delay before jitter; a new connection and request take a few milliseconds."""

MAX_DELAY_S = 1.5
"""Upper bound of the delay before jitter; clients wait for at most a third of their deadline."""


class TokenDemand:
    """Decaying counts of requests for one organisation's tokens and of tokens granted at a node."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._granted = 0.0
        self._updated_at = 0.0

    def on_request(self, granted: bool, now: float) -> None:
        """Count a request; `granted` says whether it got a token."""
        decay_factor = self._decay_factor(now)
        self._updated_at = now
        self._requests = self._requests * decay_factor + 1.0
        self._granted = self._granted * decay_factor + (1.0 if granted else 0.0)

    def rate_per_s(self, now: float) -> float:
        """Return the recent number of requests per second."""
        return self._requests * self._decay_factor(now) / AVERAGE_TIME_CONSTANT_S

    def _decay_factor(self, now: float) -> float:
        return exp(min(0.0, self._updated_at - now) / AVERAGE_TIME_CONSTANT_S)

    def delay_s(self, objective_s: float) -> float:
        """Return the delay before jitter, in seconds, after which to repeat a refused request."""
        requests_per_token = self._requests / max(self._granted, 1.0)
        delay_s = (
            objective_s
            * DELAY_OBJECTIVE_FRACTION
            * max(1.0, requests_per_token / BACKOFF_REQUESTS_PER_TOKEN)
        )
        return min(MAX_DELAY_S, max(MIN_DELAY_S, delay_s))
