"""Changes of a contract's zone shares, and the delay before a share may grow."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .zone_shares import ZoneShare

MAX_ROLLOUT_S = 7.0
"""Time within which an accepted configuration is in force at every reachable node."""

GROWTH_DELAY_S = 2 * MAX_ROLLOUT_S + GRANT_LIFETIME_S
"""Delay between a holder's change of configuration and the growth of its share.

It applies if other zones lose what a share gains. By then every reachable holder has reduced its
share (7 s) and its earlier grants have expired (1 s). A holder misses a version only if the next
one was accepted within 7 s. That one is in force everywhere another 7 s later, which is within the
delay, so that the share of the missed version never grows.
"""

Shares = Mapping[str, ZoneShare]


@dataclass(slots=True)
class _AccountShares:
    revision: int
    shares: Shares
    recent_shares: list[tuple[float, Shares]] = field(default_factory=list)

    def replace(self, revision: int, shares: Shares, now: float) -> None:
        """Set the current version; retain the former one while other nodes may use it."""
        self.recent_shares = [entry for entry in self.recent_shares if entry[0] > now]
        self.recent_shares.append((now + GROWTH_DELAY_S, self.shares))
        self.revision, self.shares = revision, shares


class ShareChanges:
    """History of the zone shares that were in force at one node, by account.

    Zones apply a change at different times, so each may use the old or the new shares. If no share
    moves from one zone to another, the sum never exceeds the larger total. Otherwise growing shares
    wait until the others have shrunk.
    """

    def __init__(self) -> None:
        self._shares_by_account: dict[Account, _AccountShares] = {}

    def record_shares(
        self, account: Account, revision: int, shares: Shares, complete: bool, now: float
    ) -> float:
        """Record the shares of an account and return the seconds until a share may grow.

        `complete` is true if this node knows all shares that may still be in force elsewhere: it
        has seen the previous version, or knows that these shares are the first.
        """
        account_shares = self._shares_by_account.get(account)
        if account_shares is None:
            self._shares_by_account[account] = _AccountShares(revision, shares)
            return 0.0 if complete else GROWTH_DELAY_S
        if account_shares.revision == revision:
            return 0.0
        account_shares.replace(revision, shares, now)
        is_moved = any(_moves_share(before, shares) for _, before in account_shares.recent_shares)
        return GROWTH_DELAY_S if is_moved or not complete else 0.0


def _moves_share(before: Shares, after: Shares) -> bool:
    """Return whether the rate or burst of one zone falls while that of another rises."""
    no_share = ZoneShare(0, 0)
    pairs = [
        (before.get(zone, no_share), after.get(zone, no_share))
        for zone in sorted({*before, *after})
    ]
    rates = [new.rate_per_s - old.rate_per_s for old, new in pairs]
    bursts = [new.burst - old.burst for old, new in pairs]
    return any(min(deltas, default=0) < 0 < max(deltas, default=0) for deltas in (rates, bursts))
