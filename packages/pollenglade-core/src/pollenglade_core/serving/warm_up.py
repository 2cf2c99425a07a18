"""Bounds the requests per second that are sent to an endpoint while it is cold.

Answers the load of a zone that returns: a cold endpoint crashes under its usual share, restarts
cold and crashes again. All requests reach an endpoint through the node of its host, so that node
alone keeps the limit and nothing has to be agreed on between nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

REPORT_DELAY_S = 0.25
"""Time in seconds by which an endpoint may stay cold longer than its report says, because timers
of the endpoint and of the node fire late."""


@dataclass(frozen=True, slots=True)
class WarmUpRules:
    """How long an endpoint of a service is cold, in seconds, and what it takes while it is.

    `per_s` is in requests per second; 0 means that the service has no limit.
    """

    duration_s: float = 0.0
    per_s: float = 0.0


NO_WARM_UP = WarmUpRules()
"""Rules of a service whose cold endpoints have no limit."""


class WarmUp:
    """Whether the local endpoint is cold, from its reports and from events that make it cold."""

    def __init__(self) -> None:
        self.rules = NO_WARM_UP
        self._cold_until = -inf

    def on_report(self, left_s: float, now: float) -> None:
        """Apply the time in seconds for which the endpoint says that it stays cold."""
        self._cold_until = now + left_s + REPORT_DELAY_S if left_s > 0.0 else -inf

    def presume_cold(self, now: float) -> None:
        """Treat the endpoint as cold until its next report, and for its whole warm-up at most.

        Its report comes up to one heartbeat after an event that may have made it cold.
        """
        self._cold_until = max(self._cold_until, now + self.rules.duration_s)

    def rate_limit(self, now: float) -> float | None:
        """Return the requests per second that the endpoint takes now, None without a limit."""
        return self.rules.per_s if self.remaining_s(now) > 0.0 else None

    def remaining_s(self, now: float) -> float:
        """Return the time in seconds for which the limit of a cold endpoint still applies."""
        if self.rules.per_s <= 0.0:
            return 0.0
        return max(0.0, self._cold_until - now)


def lower_limit(first: float | None, second: float | None) -> float | None:
    """Return the lower of two rate limits, of which None means no limit."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)
