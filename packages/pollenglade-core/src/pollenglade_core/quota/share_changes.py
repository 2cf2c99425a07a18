"""Changes of a contract's division over zones, and how long a share must wait before it grows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .zone_shares import ZoneShare

IN_FORCE_S = 7.0
"""An accepted configuration is in force at every node that can be reached within this time."""

GROWTH_DELAY_S = 2 * IN_FORCE_S + GRANT_LIFETIME_S
"""A share that other zones give up grows this long after its holder has applied the change.

By then every holder that can be reached has shrunk (7 s) and the grants that it made before have
expired (1 s). A holder misses a version only if the next one was accepted within 7 s, and that one
is in force everywhere 7 s later: within the delay, so the share of the missed version never grows.
"""

Shares = Mapping[str, ZoneShare]


@dataclass(slots=True)
class _Known:
    revision: int
    shares: Shares
    recent: list[tuple[float, Shares]] = field(default_factory=list)

    def replace(self, revision: int, shares: Shares, now: float) -> None:
        """Make a version current; the former one stays comparable while it may be in force."""
        self.recent = [item for item in self.recent if item[0] > now]
        self.recent.append((now + GROWTH_DELAY_S, self.shares))
        self.revision, self.shares = revision, shares


class ShareChanges:
    """Divisions that one node has had in force, by account.

    While zones apply a change at different times, each may act on the old or the new division.
    Where no share moves from one zone to another the sum stays within the larger total. Otherwise
    the shares that grow wait for those that shrink.
    """

    def __init__(self) -> None:
        self._known_by_account: dict[Account, _Known] = {}

    def growth_delay_s(
        self, account: Account, revision: int, shares: Shares, complete: bool, now: float
    ) -> float:
        """Record a division and return the seconds until a share of it may grow.

        `complete` says that this node knows every division that may still be in force elsewhere:
        the one before this, or for the first that there was none before.
        """
        known = self._known_by_account.get(account)
        if known is None:
            self._known_by_account[account] = _Known(revision, shares)
            return 0.0 if complete else GROWTH_DELAY_S
        if known.revision == revision:
            return 0.0
        known.replace(revision, shares, now)
        moves = any(_moves(before, shares) for _, before in known.recent)
        return GROWTH_DELAY_S if moves or not complete else 0.0


def _moves(before: Shares, after: Shares) -> bool:
    """Return whether one zone loses what another may gain."""
    none = ZoneShare(0, 0)
    pairs = [(before.get(zone, none), after.get(zone, none)) for zone in sorted({*before, *after})]
    rates = [new.rate_per_s - old.rate_per_s for old, new in pairs]
    bursts = [new.burst - old.burst for old, new in pairs]
    return any(min(deltas, default=0) < 0 < max(deltas, default=0) for deltas in (rates, bursts))
