"""Token grants, waiting calls and recent demand of one account at one borrower."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import ceil
from math import exp

from .quota_messages import Settlement

TOKEN_REQUEST_TIMEOUT_S = 0.25
"""Time to wait for a reply before the next zone is tried; a round trip between zones takes 3 ms."""

DEMAND_TIME_CONSTANT_S = 0.5
"""Time constant of the exponentially weighted demand estimate."""

PREFETCH_HORIZON_S = 0.25
"""Demand that a prefetch covers; short enough to spend most of a grant within its 1 s."""

LOW_WATER_MARK_S = 0.1
"""Prefetch starts when the remaining tokens cover less demand than this; far above a round trip."""

PREFETCH_MIN_DEMAND_PER_S = 2.0
"""Smallest demand that is prefetched; below it a prefetched token would usually expire unspent."""

RETURN_BEFORE_EXPIRY_S = 0.3
"""Time before expiry when unspent tokens are returned; a holder cannot credit expired ones."""


@dataclass(slots=True)
class DemandEstimate:
    """Exponentially weighted estimate of the call rate."""

    decayed_calls: float = 0.0
    updated_at: float = 0.0

    def on_call(self, now: float) -> None:
        """Count one call that arrives at `now`."""
        self.decayed_calls = self._decayed_calls_at(now) + 1.0
        self.updated_at = now

    def calls_per_s(self, now: float) -> float:
        """Return the estimated calls per second."""
        return self._decayed_calls_at(now) / DEMAND_TIME_CONSTANT_S

    def _decayed_calls_at(self, now: float) -> float:
        return self.decayed_calls * exp(-max(0.0, now - self.updated_at) / DEMAND_TIME_CONSTANT_S)


@dataclass(slots=True)
class BorrowedGrant:
    """Tokens of one grant with their counts; they may be spent before `expires_at`."""

    request_id: str
    zone: str
    tokens: int
    expires_at: float
    spent: int = 0
    returned: int = 0
    reported_counts: tuple[int, int] = (0, 0)

    def remaining(self, now: float) -> int:
        """Return the number of tokens that may still be spent at `now`."""
        return self.tokens - self.spent - self.returned if now < self.expires_at else 0


@dataclass(slots=True)
class BorrowerAccount:
    """State of one account; at most one token request is open, on behalf of all waiting calls."""

    demand: DemandEstimate = field(default_factory=DemandEstimate)
    grants: list[BorrowedGrant] = field(default_factory=list)
    waiting_calls: dict[str, None] = field(default_factory=dict)
    open_request_id: str | None = None
    tried_zones: set[str] = field(default_factory=set)
    denied_until_by_zone: dict[str, float] = field(default_factory=dict)
    prefetch_after: float = 0.0

    def spend(self, now: float) -> bool:
        """Spend one token of the oldest usable grant; return whether there was one."""
        for grant in self.grants:
            if grant.remaining(now) > 0:
                grant.spent += 1
                return True
        return False

    def spend_on_waiting_calls(self, now: float) -> list[str]:
        """Spend tokens on waiting calls in order of arrival; return the ids of the calls served."""
        call_ids: list[str] = []
        for call_id in list(self.waiting_calls):
            if not self.spend(now):
                break
            del self.waiting_calls[call_id]
            call_ids.append(call_id)
        return call_ids

    def close_request(self, request_id: str) -> bool:
        """Close the open token request if it has this id; return whether it had."""
        if self.open_request_id != request_id:
            return False
        self.open_request_id = None
        return True

    def denied_until(self, zone: str) -> float:
        """Return the time before which no token request is sent to a zone."""
        return self.denied_until_by_zone.get(zone, 0.0)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until the first zone that denied tokens may grant again."""
        waits_s = [until - now for until in self.denied_until_by_zone.values() if until > now]
        return min(waits_s, default=TOKEN_REQUEST_TIMEOUT_S)

    def prefetch_tokens(self, now: float) -> int:
        """Return the number of tokens to prefetch for expected calls; 0 at low demand."""
        demand_per_s = self.demand.calls_per_s(now)
        return (
            ceil(demand_per_s * PREFETCH_HORIZON_S)
            if demand_per_s >= PREFETCH_MIN_DEMAND_PER_S
            else 0
        )

    def needs_prefetch(self, now: float) -> bool:
        """Return whether a prefetch is due; tokens that soon expire do not count as available."""
        demand_per_s = self.demand.calls_per_s(now)
        remaining = sum(grant.remaining(now + LOW_WATER_MARK_S) for grant in self.grants)
        return (
            demand_per_s >= PREFETCH_MIN_DEMAND_PER_S
            and remaining <= demand_per_s * LOW_WATER_MARK_S
        )

    def return_unspent(self, now: float) -> None:
        """Return unspent tokens shortly before they expire, so that the holder can reuse them."""
        for grant in self.grants:
            if now >= grant.expires_at - RETURN_BEFORE_EXPIRY_S:
                grant.returned += grant.remaining(now)

    def collect_settlements(self, zone: str, now: float) -> tuple[Settlement, ...]:
        """Return the changed counts of grants from a zone, and drop all expired grants."""
        settlements: list[Settlement] = []
        for grant in self.grants:
            if grant.zone == zone and grant.reported_counts != (grant.spent, grant.returned):
                grant.reported_counts = (grant.spent, grant.returned)
                settlements.append(Settlement(grant.request_id, grant.spent, grant.returned))
        self.grants = [grant for grant in self.grants if now < grant.expires_at]
        return tuple(settlements)

    def is_idle(self, now: float) -> bool:
        """Return whether the account has no calls, grants, open request or notable demand."""
        busy = self.waiting_calls or self.grants or self.open_request_id
        return not busy and self.demand.calls_per_s(now) < 0.01
