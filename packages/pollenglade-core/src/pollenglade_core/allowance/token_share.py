"""The part of one organisation's rate limit that one node may spend."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_S = 5.0
"""Length in seconds of the window over which the platform sums up an organisation's requests."""

OVERAGE = 0.1
"""Part by which the sum over all nodes may exceed the limit within a window."""

OVERAGE_SLACK = 20.0
"""Requests by which the sum may exceed the limit besides."""

TOKENS_PER_HOLDER = 4.0
"""Burst below which a share is too small to be useful; fewer nodes then hold larger shares."""

MIN_HOLDERS = 3
"""Holders of a small limit; the loss of one leaves most of the limit in use."""


RESERVE_BY_PRIORITY = (0.0, 0.15, 0.3)
"""Part of the bucket that requests of a priority leave to more important ones."""


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """Bounds of the platform on the sum over all nodes; times in seconds, slack in requests."""

    window_s: float = WINDOW_S
    overage: float = OVERAGE
    slack: float = OVERAGE_SLACK


PAID_OVERAGE = 0.7
PAID_SLACK = 0.5
"""Parts of the overage and of the slack that the shares use in steady state; the rest covers nodes
that restart without memory and requests in flight while shares change."""

KEPT_BURST = 0.7
"""Part of the burst that may be spent at once; the rest is spread over the window, as a sum over a
window allows a higher sustained rate than a bucket with the full burst does."""


@dataclass(frozen=True, slots=True)
class BucketSize:
    """Rate and burst of the bucket that all nodes together keep."""

    rate_per_s: float
    burst: float

    @classmethod
    def of(cls, rate_per_s: float, burst: float, bounds: AllowanceBounds) -> BucketSize:
        """Return the largest bucket that keeps the sum in each window with a margin."""
        limit = rate_per_s * bounds.window_s + burst
        total = limit * (1.0 + PAID_OVERAGE * bounds.overage) + PAID_SLACK * bounds.slack
        bucket_burst = KEPT_BURST * burst + PAID_SLACK * bounds.slack
        return cls((total - bucket_burst) / bounds.window_s, bucket_burst)


def restart_margin(rate_per_s: float, burst: float, bounds: AllowanceBounds) -> float:
    """Return what nodes that remember nothing may spend at once, summed over all of them."""
    limit = rate_per_s * bounds.window_s + burst
    return (1.0 - PAID_OVERAGE) * bounds.overage * limit + (1.0 - PAID_SLACK) * bounds.slack


class TokenShare:
    """Token bucket of one node for one organisation.

    All nodes together never admit more than their common bucket, because their shares sum up to 1
    and a loan is debited before it is credited. Nodes that restart start with their part of the
    restart margin instead of a full bucket: what they admitted before is not known any more.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        share: float,
        now: float,
        bounds: AllowanceBounds | None = None,
    ) -> None:
        self._bounds = bounds or AllowanceBounds()
        self._limit = (rate_per_s, burst)
        self._size = BucketSize.of(rate_per_s, burst, self._bounds)
        self._share = share
        self._tokens = 0.0
        self._updated_at = now

    @property
    def share(self) -> float:
        """Part of the limit between 0 and 1 that accrues at this node."""
        return self._share

    @property
    def capacity(self) -> float:
        """Tokens that the bucket holds at most."""
        return self._size.burst * self._share

    def fill(self) -> None:
        """Fill the bucket, as when the whole system starts for the first time."""
        self._tokens = self.capacity

    def fill_after_restart(self) -> None:
        """Fill the bucket with the node's part of the restart margin, at most to its capacity."""
        self._tokens = min(self.capacity, restart_margin(*self._limit, self._bounds) * self._share)

    def change(self, rate_per_s: float, burst: float, share: float, now: float) -> None:
        """Apply another limit or share; a smaller bucket drops what it cannot hold."""
        self.tokens(now)
        self._limit = (rate_per_s, burst)
        self._size = BucketSize.of(rate_per_s, burst, self._bounds)
        self._share = share
        self._tokens = min(self._tokens, self._ceiling())

    def tokens(self, now: float) -> float:
        """Return the tokens at present."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        ceiling = self._ceiling()
        if self._tokens < ceiling:
            accrued = elapsed_s * self._size.rate_per_s * self._share
            self._tokens = min(ceiling, self._tokens + accrued)
        return self._tokens

    def take(self, now: float, priority: int = 0) -> bool:
        """Spend one token; return False where none is left for requests of a priority.

        The last part of the bucket is kept for more important requests, so that an organisation
        beyond its limit loses its least important requests first.
        """
        kept = RESERVE_BY_PRIORITY[min(max(priority, 0), len(RESERVE_BY_PRIORITY) - 1)]
        if self.tokens(now) < 1.0 + kept * self.capacity:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Credit the token of a request that was not sent to any endpoint."""
        self._tokens = min(self._tokens + 1.0, max(self._ceiling(), 1.0))

    def lend(self, wanted: float, now: float) -> float:
        """Debit and return up to `wanted` tokens, at most half of what is left."""
        amount = min(wanted, self.tokens(now) / 2)
        if amount <= 0.0:
            return 0.0
        self._tokens -= amount
        return amount

    def borrow(self, amount: float) -> None:
        """Credit tokens that another node has debited."""
        self._tokens += max(0.0, amount)

    def _ceiling(self) -> float:
        # A share below one token has to be able to collect a whole one.
        return max(self.capacity, 1.0) if self._share > 0.0 else 0.0


def holder_count(burst: float, nodes: int) -> int:
    """Return how many of the nodes hold a share of a limit."""
    return max(1, min(nodes, max(MIN_HOLDERS, int(burst / TOKENS_PER_HOLDER))))
