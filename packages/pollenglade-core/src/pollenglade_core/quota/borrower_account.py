"""Granted slices, waiting calls and recent demand of one account at one borrower."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import ceil
from math import exp

from .quota_messages import Settlement

ASK_TIMEOUT_S = 0.25
"""An ask without an answer goes to the next zone; a round trip between zones takes 3 ms."""

DEMAND_WINDOW_S = 0.5
"""Time constant of the demand estimate."""

PREFETCH_S = 0.25
"""Prefetch covers this much demand, so that most of a slice is spent within its 1 s."""

LOW_WATER_S = 0.1
"""Ask for more when what is left covers less than this; far above a round trip."""

PREFETCH_MIN_PER_S = 2.0
"""Below this demand a prefetched token would usually expire unspent."""

RETURN_BEFORE_S = 0.3
"""Unspent tokens go back this long before expiry; after expiry the holder cannot credit them."""


@dataclass(slots=True)
class Demand:
    """Exponentially weighted rate of calls."""

    weight: float = 0.0
    updated_at: float = 0.0

    def on_call(self, now: float) -> None:
        """Count one call."""
        self.weight = self._weight(now) + 1.0
        self.updated_at = now

    def per_s(self, now: float) -> float:
        """Return the calls per second in the recent past."""
        return self._weight(now) / DEMAND_WINDOW_S

    def _weight(self, now: float) -> float:
        return self.weight * exp(-max(0.0, now - self.updated_at) / DEMAND_WINDOW_S)


@dataclass(slots=True)
class Slice:
    """Tokens of one grant; they are valid before `expires_at`."""

    request_id: str
    zone: str
    tokens: int
    expires_at: float
    spent: int = 0
    returned: int = 0
    reported: tuple[int, int] = (0, 0)

    def left(self, now: float) -> int:
        """Return the tokens that may be spent now."""
        return self.tokens - self.spent - self.returned if now < self.expires_at else 0


@dataclass(slots=True)
class BorrowerAccount:
    """State of one account. At most one ask is open, and all waiting calls share it."""

    demand: Demand = field(default_factory=Demand)
    slices: list[Slice] = field(default_factory=list)
    waiting: dict[str, None] = field(default_factory=dict)
    open_ask: str | None = None
    asked_zones: set[str] = field(default_factory=set)
    denied_until_by_zone: dict[str, float] = field(default_factory=dict)
    prefetch_after: float = 0.0

    def spend(self, now: float) -> bool:
        """Spend one token of the slice that expires first."""
        for held in self.slices:
            if held.left(now) > 0:
                held.spent += 1
                return True
        return False

    def serve(self, now: float) -> list[str]:
        """Spend tokens on waiting calls in order of arrival and return their ids."""
        served: list[str] = []
        for call_id in list(self.waiting):
            if not self.spend(now):
                break
            del self.waiting[call_id]
            served.append(call_id)
        return served

    def close_ask(self, request_id: str) -> bool:
        """Mark an ask as answered; return whether it was the open one."""
        if self.open_ask != request_id:
            return False
        self.open_ask = None
        return True

    def denied_until(self, zone: str) -> float:
        """Return the time until which a zone is not asked."""
        return self.denied_until_by_zone.get(zone, 0.0)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until the first zone that denied may grant again."""
        times = [until - now for until in self.denied_until_by_zone.values() if until > now]
        return min(times, default=ASK_TIMEOUT_S)

    def prefetch_tokens(self, now: float) -> int:
        """Return the number of tokens worth holding for calls to come."""
        per_s = self.demand.per_s(now)
        return ceil(per_s * PREFETCH_S) if per_s >= PREFETCH_MIN_PER_S else 0

    def is_low(self, now: float) -> bool:
        """Return whether prefetch is due; tokens that soon expire do not count."""
        per_s = self.demand.per_s(now)
        left = sum(held.left(now + LOW_WATER_S) for held in self.slices)
        return per_s >= PREFETCH_MIN_PER_S and left <= per_s * LOW_WATER_S

    def return_idle(self, now: float) -> None:
        """Give up tokens that would expire soon, so that the holder can grant them again."""
        for held in self.slices:
            if now >= held.expires_at - RETURN_BEFORE_S:
                held.returned += held.left(now)

    def settlements(self, zone: str, now: float) -> tuple[Settlement, ...]:
        """Return the counts of the slices of a zone that changed since the last report."""
        items: list[Settlement] = []
        for held in self.slices:
            if held.zone == zone and held.reported != (held.spent, held.returned):
                held.reported = (held.spent, held.returned)
                items.append(Settlement(held.request_id, held.spent, held.returned))
        self.slices = [held for held in self.slices if now < held.expires_at]
        return tuple(items)

    def is_idle(self, now: float) -> bool:
        """Return whether the account holds nothing worth keeping."""
        busy = self.waiting or self.slices or self.open_ask
        return not busy and self.demand.per_s(now) < 0.01
