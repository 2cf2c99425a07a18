"""Token bucket that counts granted tokens until they are settled or expire."""

from __future__ import annotations

from dataclasses import dataclass

from .quota_messages import GRANT_LIFETIME_S

TICKS_PER_S = 1 << 30
"""Resolution of accrual; whole ticks prevent rounding errors from accumulating in a bucket."""

PREFETCH_MIN_BURST = 16
"""Smallest burst from which tokens are granted in advance.

In a smaller bucket, one token at an idle borrower is a large fraction of the burst: with prefetch,
3 % of the calls within the rate were refused at rate 20 and burst 5. Without prefetch, every call
of such a contract waits for a round trip.
"""

GRANT_AHEAD_S = 0.025
"""Time in seconds before a token accrues at which it is granted to waiting calls.

A token in transit delays accrual by a round trip, about 3 ms between zones, so a call within the
rate may arrive some round trips before its token. It is far below the 0.25 s after which borrowers
consider a request lost.
"""

GRANT_LIFETIME_TICKS = int(GRANT_LIFETIME_S * TICKS_PER_S)


def to_ticks(now: float) -> int:
    """Return a time in whole ticks; the multiplication by a power of two is exact."""
    return int(now * TICKS_PER_S)


@dataclass(slots=True)
class _Grant:
    tokens: int
    expires_ticks: int
    spent: int = 0
    returned: int = 0

    @property
    def unsettled_tokens(self) -> int:
        return self.tokens - self.spent - self.returned


class GrantingBucket:
    """Token bucket with `level + outstanding <= burst`; it is empty at its creation at `now`.

    Tokens of a grant are outstanding until the borrower reports them as spent or returned, or until
    1 s after the grant. Expired tokens are not added back to the level, because they may have been
    spent. Therefore at most `burst + rate x t` tokens can be spent in any window of t seconds.
    """

    def __init__(self, rate_per_s: int, burst: int, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level_ticks = 0  # tokens x TICKS_PER_S
        self._ticks = to_ticks(now)
        self._grants_by_id: dict[str, _Grant] = {}
        self._outstanding = 0

    @property
    def outstanding(self) -> int:
        """Granted tokens that borrowers may still spend."""
        return self._outstanding

    @property
    def level(self) -> float:
        """Tokens available for grants at the last update; negative after a grant ahead."""
        return self._level_ticks / TICKS_PER_S

    def grant(self, request_id: str, needed: int, wanted: int, now: float) -> int:
        """Grant tokens and return their number; 0 if none are available or the id was used.

        Tokens beyond `needed` are granted only from the upper half of a bucket with a burst of at
        least `PREFETCH_MIN_BURST`, so that prefetch by one borrower does not delay calls at others.
        """
        self.advance(now)
        tokens = min(max(needed, 0), self._level_ticks // TICKS_PER_S)
        spare_ticks = self._level_ticks - tokens * TICKS_PER_S - self.burst * TICKS_PER_S // 2
        if self.burst >= PREFETCH_MIN_BURST:
            tokens += min(max(wanted - needed, 0), max(spare_ticks // TICKS_PER_S, 0))
        if tokens < 1 or request_id in self._grants_by_id:
            return 0
        self._add_grant(request_id, tokens)
        return tokens

    def grant_ahead(self, request_id: str, needed: int, now: float) -> tuple[int, float]:
        """Grant tokens that accrue within `GRANT_AHEAD_S`; return their number and the wait.

        The tokens must not be spent before the wait in seconds has passed. Returns 0 tokens if none
        accrue in time or the id was used. The level is negative until the tokens have accrued.
        """
        self.advance(now)
        if request_id in self._grants_by_id or self.rate_per_s < 1:
            return 0, 0.0
        accruing_ticks = int(GRANT_AHEAD_S * TICKS_PER_S) * self.rate_per_s
        accrued = (self._level_ticks + accruing_ticks) // TICKS_PER_S
        tokens = min(needed, accrued, self.burst - self._outstanding)
        if tokens < 1:
            return 0, 0.0
        self._add_grant(request_id, tokens)
        return tokens, max(0, -self._level_ticks) / self.rate_per_s / TICKS_PER_S

    def _add_grant(self, request_id: str, tokens: int) -> None:
        self._level_ticks -= tokens * TICKS_PER_S
        self._outstanding += tokens
        self._grants_by_id[request_id] = _Grant(tokens, self._ticks + GRANT_LIFETIME_TICKS)

    def settle(self, request_id: str, spent: int, returned: int, now: float) -> None:
        """Apply cumulative counts of spent and returned tokens, unless unknown or invalid."""
        self.advance(now)
        grant = self._grants_by_id.get(request_id)
        if grant is None or min(spent, returned) < 0 or spent + returned > grant.tokens:
            return
        unsettled_before, returned_before = grant.unsettled_tokens, grant.returned
        spent, returned = max(spent, grant.spent), max(returned, grant.returned)
        if spent + returned > grant.tokens:
            return
        grant.spent, grant.returned = spent, returned
        self._outstanding -= unsettled_before - grant.unsettled_tokens
        self._level_ticks += (grant.returned - returned_before) * TICKS_PER_S
        self._cap_level()

    def change(self, rate_per_s: int, burst: int, now: float) -> None:
        """Set rate and burst. A larger burst adds no tokens; a smaller one removes them at once.

        Tokens granted under a larger burst remain valid, so a smaller burst is effective after 1 s.
        """
        self.advance(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._cap_level()

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until one token may be available, at most the grant lifetime."""
        self.advance(now)
        if self.burst - self._outstanding < 1:
            oldest_grant = next(iter(self._grants_by_id.values()), None)
            expires_ticks = (
                oldest_grant.expires_ticks if oldest_grant else self._ticks + GRANT_LIFETIME_TICKS
            )
            return (expires_ticks - self._ticks) / TICKS_PER_S
        if self.rate_per_s < 1:
            return GRANT_LIFETIME_S
        missing_ticks = max(0, TICKS_PER_S - self._level_ticks)
        return min(GRANT_LIFETIME_S, missing_ticks / TICKS_PER_S / self.rate_per_s)

    def advance(self, now: float) -> None:
        """Accrue tokens and drop expired grants up to `now`; an earlier time has no effect."""
        ticks = to_ticks(now)
        while self._grants_by_id:
            request_id, grant = next(iter(self._grants_by_id.items()))
            if grant.expires_ticks > ticks:
                break
            # The grant limits accrual until it expires; later accrual may use its room.
            self._accrue(grant.expires_ticks)
            self._outstanding -= grant.unsettled_tokens
            del self._grants_by_id[request_id]
        self._accrue(ticks)

    def _accrue(self, ticks: int) -> None:
        self._level_ticks += self.rate_per_s * max(0, ticks - self._ticks)
        self._ticks = max(ticks, self._ticks)
        self._cap_level()

    def _cap_level(self) -> None:
        room = max(0, self.burst - self._outstanding)
        self._level_ticks = min(self._level_ticks, room * TICKS_PER_S)
