"""Token bucket that counts granted tokens until they can no longer be spent."""

from __future__ import annotations

from dataclasses import dataclass

from .quota_messages import GRANT_LIFETIME_S

TICKS_PER_S = 1 << 30
"""Resolution of accrual. Whole ticks keep rounding from adding up over the life of a bucket."""

PREFETCH_MIN_BURST = 16
"""A smaller bucket grants nothing in advance.

One token held by an idle borrower is a large part of it: at rate 20 and burst 5 prefetch refused
3 % of the calls within the rate. Without it every call of such a contract waits for a round trip.
"""

LIFETIME_TICKS = int(GRANT_LIFETIME_S * TICKS_PER_S)


def to_ticks(now: float) -> int:
    """Return a time in whole ticks; multiplication by a power of two adds no rounding."""
    return int(now * TICKS_PER_S)


@dataclass(slots=True)
class _Grant:
    tokens: int
    expires_ticks: int
    spent: int = 0
    returned: int = 0

    @property
    def open_tokens(self) -> int:
        return self.tokens - self.spent - self.returned


class GrantingBucket:
    """A token bucket with `level + outstanding <= burst`; starts empty at `now`.

    Tokens of a grant are outstanding until the borrower reports them as spent or returned, or until
    1 s after the grant. Expired tokens do not come back to the level, because they may have been
    spent. In any window of t seconds at most `burst + rate x t` tokens can therefore be spent.
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
        """Tokens that borrowers may still spend."""
        return self._outstanding

    @property
    def level(self) -> float:
        """Tokens that can be granted, as of the last event."""
        return self._level_ticks / TICKS_PER_S

    def grant(self, request_id: str, needed: int, wanted: int, now: float) -> int:
        """Return the number of tokens granted; 0 where none are available.

        Tokens beyond `needed` are granted only from the upper half of a bucket that is not small,
        so that prefetch by one borrower does not make calls at another wait.
        """
        self.advance(now)
        tokens = min(max(needed, 0), self._level_ticks // TICKS_PER_S)
        spare_ticks = self._level_ticks - tokens * TICKS_PER_S - self.burst * TICKS_PER_S // 2
        if self.burst >= PREFETCH_MIN_BURST:
            tokens += min(max(wanted - needed, 0), max(spare_ticks // TICKS_PER_S, 0))
        if tokens < 1 or request_id in self._grants_by_id:
            return 0
        self._level_ticks -= tokens * TICKS_PER_S
        self._outstanding += tokens
        self._grants_by_id[request_id] = _Grant(tokens, self._ticks + LIFETIME_TICKS)
        return tokens

    def settle(self, request_id: str, spent: int, returned: int, now: float) -> None:
        """Count tokens as spent or returned; unknown grants and impossible counts are ignored."""
        self.advance(now)
        grant = self._grants_by_id.get(request_id)
        if grant is None or min(spent, returned) < 0 or spent + returned > grant.tokens:
            return
        before, back = grant.open_tokens, grant.returned
        spent, returned = max(spent, grant.spent), max(returned, grant.returned)
        if spent + returned > grant.tokens:
            return
        grant.spent, grant.returned = spent, returned
        self._outstanding -= before - grant.open_tokens
        self._level_ticks += (grant.returned - back) * TICKS_PER_S
        self._cap()

    def change(self, rate_per_s: int, burst: int, now: float) -> None:
        """Apply new figures. A larger burst adds no tokens; a smaller one removes them at once.

        Tokens granted under a larger burst remain valid, so a smaller burst binds 1 s later.
        """
        self.advance(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._cap()

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until a whole token may be available, at most the grant lifetime."""
        self.advance(now)
        if self.burst - self._outstanding < 1:
            oldest = next(iter(self._grants_by_id.values()), None)
            expires = oldest.expires_ticks if oldest else self._ticks + LIFETIME_TICKS
            return (expires - self._ticks) / TICKS_PER_S
        if self.rate_per_s < 1:
            return GRANT_LIFETIME_S
        missing = max(0, TICKS_PER_S - self._level_ticks)
        return min(GRANT_LIFETIME_S, missing / TICKS_PER_S / self.rate_per_s)

    def advance(self, now: float) -> None:
        """Accrue tokens and drop expired grants; a time in the past changes nothing."""
        ticks = to_ticks(now)
        while self._grants_by_id:
            request_id, grant = next(iter(self._grants_by_id.items()))
            if grant.expires_ticks > ticks:
                break
            # Up to its expiry the grant takes room; accrual after it may use that room.
            self._accrue(grant.expires_ticks)
            self._outstanding -= grant.open_tokens
            del self._grants_by_id[request_id]
        self._accrue(ticks)

    def _accrue(self, ticks: int) -> None:
        self._level_ticks += self.rate_per_s * max(0, ticks - self._ticks)
        self._ticks = max(ticks, self._ticks)
        self._cap()

    def _cap(self) -> None:
        room = max(0, self.burst - self._outstanding)
        self._level_ticks = min(self._level_ticks, room * TICKS_PER_S)
