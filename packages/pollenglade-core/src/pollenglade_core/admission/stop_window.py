"""Acceptance of requests by a node that stops at a known time.

A stopping node may break off a request at which an endpoint is at work only if the request arrived
early in the stop, and only near the end of the grace period. Later requests must end before the
process does. The usual time of a route does not ensure that, nor does a deadline that the node
shortens, because an endpoint need not keep it; the deadline of the caller does.
"""

from __future__ import annotations

from dataclasses import dataclass

STOP_RESERVE = 2.0
"""Multiple of the usual time of a request of a client that must be left before the process ends."""


@dataclass(frozen=True, slots=True)
class StopWindow:
    """The rest of the life of a process that stops.

    All times are in seconds on the monotonic clock. New requests of clients are refused from
    `refuses_from` on. From `late_from` on, which is not earlier, no request is accepted that may be
    open at `ends_at`, when the process ends all that are.
    """

    refuses_from: float
    late_from: float
    ends_at: float

    def accepts(self, now: float, usual_s: float | None) -> bool:
        """Whether a new request of a client may start.

        `usual_s` is the time in seconds that requests of its route usually take, None if that is
        unknown. One that takes longer may be open at the end, as it is not late.
        """
        usual_end = now + STOP_RESERVE * (usual_s or 0.0)
        return now < self.refuses_from and usual_end < self.ends_at

    def accepts_nested(self, now: float, deadline: float) -> bool:
        """Whether a request that a run of the local endpoint makes may start.

        The run fails without it, so it is accepted until the end of the process if its deadline,
        which no response exceeds, lies before that.
        """
        return now < self.late_from or deadline <= self.ends_at
