"""Acceptance of requests by a node that stops at a known time."""

from __future__ import annotations

from dataclasses import dataclass

STOP_RESERVE = 2.0
"""Multiple of the usual time of a request that must be left before the process ends."""

RESPONSE_RESERVE_S = 0.2
"""Time in seconds before the end of the process by which an endpoint must have responded to a
request that is accepted late."""


@dataclass(frozen=True, slots=True)
class StopWindow:
    """The rest of the life of a process that stops.

    All times are in seconds on the monotonic clock. New requests of clients are refused from
    `refuses_from` on; at `ends_at` the process cuts off what is still open.
    """

    refuses_from: float
    ends_at: float

    def accepts(self, now: float, usual_s: float | None) -> bool:
        """Whether a new request of a client may start.

        `usual_s` is the time in seconds that requests of its route usually take, None if that is
        unknown.
        """
        return now < self.refuses_from and self._usually_finishes(now, usual_s or 0.0)

    def accepts_nested(self, now: float, usual_s: float | None, deadline: float) -> bool:
        """Whether a request that a run of the local endpoint makes may start.

        The run fails without it, so it is also accepted late if it ends in time.
        """
        if not self.is_late(now) or deadline <= self.ends_at:
            return True
        return usual_s is not None and self._usually_finishes(now, usual_s)

    def is_late(self, now: float) -> bool:
        """Whether only requests that end before the process does are accepted."""
        return now >= self.refuses_from

    def endpoint_deadline(self, deadline: float) -> float:
        """Return the deadline that an endpoint gets with a request that is accepted late.

        The endpoint then ends a request that takes unusually long itself, and its response arrives
        before the process ends.
        """
        return min(deadline, self.ends_at - RESPONSE_RESERVE_S)

    def _usually_finishes(self, now: float, usual_s: float) -> bool:
        return now < self.ends_at - STOP_RESERVE * usual_s
