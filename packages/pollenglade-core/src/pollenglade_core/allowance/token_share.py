"""A node's local share of the rate limit of an organisation."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_WINDOW_S = 5.0
"""Length in seconds of the window in which the platform sums the requests of an organisation."""

DEFAULT_OVERAGE_FRACTION = 0.1
"""Fraction by which the sum over all nodes may exceed the limit within a window."""

DEFAULT_SLACK_REQUESTS = 20.0
"""Number of requests by which the sum may exceed the limit in addition."""

MIN_BURST_PER_HOLDER = 4.0
"""Smallest useful burst of a share; for a lower burst, fewer nodes hold larger shares."""

MIN_HOLDER_COUNT = 3
"""Number of holders of a small limit; most of the limit remains usable if one is lost."""


RESERVED_FRACTION_BY_PRIORITY = (0.0, 0.15, 0.3)
"""Fraction of the bucket that requests of a priority must leave to more important requests."""


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """Platform bounds on the sum over all nodes: window, overage fraction and slack in requests."""

    window_s: float = DEFAULT_WINDOW_S
    overage: float = DEFAULT_OVERAGE_FRACTION
    slack: float = DEFAULT_SLACK_REQUESTS


STEADY_OVERAGE_FRACTION = 0.7
"""Fraction of the overage that the shares use in steady state.

The rest covers nodes that restart without state and requests in flight while shares change.
"""

STEADY_SLACK_FRACTION = 0.5
"""Fraction of the slack that the shares use in steady state; the rest covers the same cases."""

IMMEDIATE_BURST_FRACTION = 0.7
"""Fraction of the burst that may be spent at once.

The rest is spread over the window, because a limit on the sum over a window allows a higher
sustained rate than a bucket with the full burst.
"""


@dataclass(frozen=True, slots=True)
class BucketSize:
    """Rate and burst of the bucket that all nodes share."""

    rate_per_s: float
    burst: float

    @classmethod
    def of(cls, rate_per_s: float, burst: float, bounds: AllowanceBounds) -> BucketSize:
        """Return the largest bucket that keeps each window below the platform bound by a margin."""
        limit = rate_per_s * bounds.window_s + burst
        window_total = (
            limit * (1.0 + STEADY_OVERAGE_FRACTION * bounds.overage)
            + STEADY_SLACK_FRACTION * bounds.slack
        )
        bucket_burst = IMMEDIATE_BURST_FRACTION * burst + STEADY_SLACK_FRACTION * bounds.slack
        return cls((window_total - bucket_burst) / bounds.window_s, bucket_burst)


def restart_margin(rate_per_s: float, burst: float, bounds: AllowanceBounds) -> float:
    """Return the tokens that all restarted nodes without state may together spend at once."""
    limit = rate_per_s * bounds.window_s + burst
    return (1.0 - STEADY_OVERAGE_FRACTION) * bounds.overage * limit + (
        1.0 - STEADY_SLACK_FRACTION
    ) * bounds.slack


class TokenShare:
    """Token bucket of one node for one organisation.

    The nodes together never admit more than their common bucket, because their shares sum to 1 and
    a loan is debited at the lender before it is credited. A restarted node starts with its share of
    the restart margin instead of a full bucket, because it no longer knows what it has admitted.
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
        self._bucket_size = BucketSize.of(rate_per_s, burst, self._bounds)
        self._share = share
        self._tokens = 0.0
        self._updated_at = now

    @property
    def share(self) -> float:
        """Fraction of the limit, from 0 to 1, that accrues at this node."""
        return self._share

    @property
    def capacity(self) -> float:
        """Largest number of tokens from this node's share of the burst."""
        return self._bucket_size.burst * self._share

    def fill(self) -> None:
        """Fill the bucket to its capacity, for the first start of the whole system."""
        self._tokens = self.capacity

    def fill_after_restart(self) -> None:
        """Fill the bucket with this node's share of the restart margin, up to its capacity."""
        self._tokens = min(self.capacity, restart_margin(*self._limit, self._bounds) * self._share)

    def change(self, rate_per_s: float, burst: float, share: float, now: float) -> None:
        """Set the limit and the share; tokens that exceed a smaller bucket are dropped."""
        self.tokens(now)
        self._limit = (rate_per_s, burst)
        self._bucket_size = BucketSize.of(rate_per_s, burst, self._bounds)
        self._share = share
        self._tokens = min(self._tokens, self._max_tokens())

    def tokens(self, now: float) -> float:
        """Accrue tokens up to `now` and return their number."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        max_tokens = self._max_tokens()
        if self._tokens < max_tokens:
            accrued = elapsed_s * self._bucket_size.rate_per_s * self._share
            self._tokens = min(max_tokens, self._tokens + accrued)
        return self._tokens

    def try_spend(self, now: float, priority: int = 0) -> bool:
        """Spend one token; return False if none is available to this priority (0 is the highest).

        A fraction of the bucket is reserved for more important requests, so that an organisation
        above its limit has its least important requests refused first.
        """
        reserved_fraction = RESERVED_FRACTION_BY_PRIORITY[
            min(max(priority, 0), len(RESERVED_FRACTION_BY_PRIORITY) - 1)
        ]
        if self.tokens(now) < 1.0 + reserved_fraction * self.capacity:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Credit the token of a request that was not sent to an endpoint."""
        self._tokens = min(self._tokens + 1.0, max(self._max_tokens(), 1.0))

    def lend(self, wanted: float, now: float) -> float:
        """Debit up to `wanted` tokens, at most half of those available, and return the amount."""
        amount = min(wanted, self.tokens(now) / 2)
        if amount <= 0.0:
            return 0.0
        self._tokens -= amount
        return amount

    def borrow(self, amount: float) -> None:
        """Credit tokens that another node has debited in `lend`."""
        self._tokens += max(0.0, amount)

    def _max_tokens(self) -> float:
        # A share with a capacity below one token must still be able to accrue a whole token.
        return max(self.capacity, 1.0) if self._share > 0.0 else 0.0


def holder_count(burst: float, node_count: int) -> int:
    """Return the number of nodes that hold a share of a limit with the given burst."""
    return max(1, min(node_count, max(MIN_HOLDER_COUNT, int(burst / MIN_BURST_PER_HOLDER))))
