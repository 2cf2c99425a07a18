"""What an endpoint states about itself in its responses, and how long a statement holds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

UNKNOWN_INCARNATION = -1
"""Incarnation of an endpoint that was found by a health check and has sent no heartbeat yet."""

UNKNOWN_INCARNATION_DEPARTURE_S = 30.0
"""Time in seconds for which a departure applies to every incarnation of the endpoint, if its own
incarnation is unknown. A leaving endpoint has ended by then; a later one may have its id."""

CHECKS_TO_LIFT = 2
"""Consecutive health checks without a rate limit that lift it; see `RateLimitStatement`."""


MIN_PACE = 0.05
"""Lowest pace that is taken for one; an endpoint at a lower one would get all requests."""

MAX_PACE = 100.0
"""Highest pace that is taken for one; at a higher one no request would meet its deadline."""


PACE_VALIDITY_S = 2.0
"""Age in seconds at which a stated pace no longer counts; most slow phases last less."""


def checked_pace(pace: float) -> float | None:
    """Return a pace, None if it is out of range or no number."""
    return pace if MIN_PACE <= pace <= MAX_PACE else None


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """One start of an endpoint; a restart has the same id at most, and a higher incarnation."""

    endpoint_id: str = ""
    incarnation: int = UNKNOWN_INCARNATION


@dataclass(frozen=True, slots=True)
class EndpointStatement:
    """What one response states about its endpoint.

    `rate_limit` is the limit in requests per second, None if the response names none. It has no
    meaning if the response names a limit that is not `legible`. `warm_up_left_s` is the time in
    seconds for which the endpoint stays cold, `pace` how long work takes now relative to the usual
    time; both are None if the response does not state them.
    """

    rate_limit: float | None = None
    leaving: bool = False
    legible: bool = True
    warm_up_left_s: float | None = None
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that is leaving or has left, and when that became known."""

    endpoint: EndpointIdentity
    at: float

    def covers(self, endpoint: EndpointIdentity, now: float) -> bool:
        """Whether an endpoint is the one that is leaving."""
        if endpoint.endpoint_id != self.endpoint.endpoint_id:
            return False
        if endpoint.incarnation == self.endpoint.incarnation:
            return True
        return (
            UNKNOWN_INCARNATION in (endpoint.incarnation, self.endpoint.incarnation)
            and now < self.at + UNKNOWN_INCARNATION_DEPARTURE_S
        )


class RateLimitStatement:
    """The rate limit of one incarnation of an endpoint according to its responses.

    Responses overtake each other. A lower limit applies at once; a higher one or none applies only
    if the request of the response was sent after the limit was last named. A health check may be
    answered without the fields of other responses, so that only several of them lift a limit.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._named_at = -inf
        self._checks_without_limit = 0

    def apply(self, statement: EndpointStatement, sent_at: float, now: float) -> None:
        """Apply a response to a request that was sent at `sent_at`, in seconds."""
        if not statement.legible:
            return
        self._checks_without_limit = 0
        self._set(statement.rate_limit, sent_at, now)

    def apply_health_check(self, statement: EndpointStatement, sent_at: float, now: float) -> None:
        """Apply the response to a health check that was sent at `sent_at`, in seconds."""
        if statement.rate_limit is not None or not statement.legible:
            self.apply(statement, sent_at, now)
            return
        self._checks_without_limit += 1
        if self._checks_without_limit >= CHECKS_TO_LIFT:
            self._set(None, sent_at, now)

    def _set(self, per_s: float | None, sent_at: float, now: float) -> None:
        is_lower = per_s is not None and (self.per_s is None or per_s <= self.per_s)
        if not is_lower and sent_at <= self._named_at:
            return
        self.per_s = per_s
        if per_s is not None:
            self._named_at = now
