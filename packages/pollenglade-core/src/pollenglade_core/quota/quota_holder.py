"""Holder of quota slots: grants tokens to the organisations that hash to them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from .granting_bucket import GrantingBucket
from .lease_rows import slot_of
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import Settlement
from .quota_messages import TokenRequest
from .quota_messages import TokensDenied
from .quota_messages import TokensGranted
from .zone_shares import ZoneShare

REPLY_RETENTION_S = 5.0
"""How long a reply is retained for repeated requests; a grant is useless after 1 s."""


@dataclass(frozen=True, slots=True)
class GrantingRight:
    """The right to grant from a slot under one epoch; tokens accrue from the time `since`."""

    epoch: int
    since: float


class SlotAuthority(Protocol):
    """Decides which slots this node may grant from."""

    def granting_right(self, slot: int, now: float) -> GrantingRight | None:
        """Return the granting right for a slot; None while the node must not grant from it."""


@dataclass(slots=True)
class _ShareState:
    """Share that is in effect, and `next_share`, which replaces it at `grows_at`."""

    current: ZoneShare
    since: float
    next_share: ZoneShare
    grows_at: float

    def change(self, next_share: ZoneShare, grows_at: float) -> None:
        """Set the next share. Decreases apply at once, increases once all delays have passed."""
        self.next_share = next_share
        self.grows_at = max(self.grows_at, grows_at)
        self.current = ZoneShare(*map(min, self.current, next_share))

    def is_due(self, now: float) -> bool:
        return self.current != self.next_share and now >= self.grows_at


@dataclass(slots=True)
class _EpochBucket:
    epoch: int
    bucket: GrantingBucket


class QuotaHolder:
    """Grants tokens from the zone's share of each contract whose slot this node holds."""

    def __init__(self, authority: SlotAuthority) -> None:
        self._authority = authority
        self._shares_by_account: dict[Account, _ShareState] = {}
        self._buckets_by_account: dict[Account, _EpochBucket] = {}
        self._replies_by_request_id: OrderedDict[
            str, tuple[float, TokensGranted | TokensDenied]
        ] = OrderedDict()

    def set_share(
        self, account: Account, share: ZoneShare, now: float, growth_delay_s: float = 0.0
    ) -> None:
        """Set the zone's share of a contract; rate 0 with burst 0 withdraws it.

        Increases apply after `growth_delay_s`. The bucket of a withdrawn share is retained, because
        tokens granted from it may still be spent.
        """
        state = self._shares_by_account.get(account)
        if state is None:
            no_share = ZoneShare(0, 0)
            state = self._shares_by_account[account] = _ShareState(no_share, now, no_share, now)
        self._grow(account, state, now)
        former = state.current
        state.change(share, now + growth_delay_s)
        if state.current != former:
            self._change_bucket(account, state, now)
        self._grow(account, state, now)

    def _grow(self, account: Account, state: _ShareState, now: float) -> None:
        if state.is_due(now):
            state.current = state.next_share
            self._change_bucket(account, state, state.grows_at)

    def _change_bucket(self, account: Account, state: _ShareState, at: float) -> None:
        epoch_bucket = self._buckets_by_account.get(account)
        if epoch_bucket is not None:
            epoch_bucket.bucket.change(*state.current, at)
        # A bucket that is created later must not accrue at this rate for the time before.
        state.since = at

    def handle_request(self, ask: TokenRequest, now: float) -> TokensGranted | TokensDenied:
        """Apply settlements, then grant or deny; a repeated request id gets its first reply."""
        self.settle(ask.account, ask.settlements, now)
        self._drop_old_replies(now)
        earlier = self._replies_by_request_id.get(ask.request_id)
        if earlier is not None:
            return earlier[1]
        reply = self._grant_or_deny(ask, now)
        self._replies_by_request_id[ask.request_id] = (now, reply)
        return reply

    def settle(self, account: Account, settlements: tuple[Settlement, ...], now: float) -> None:
        """Apply reports of spent and returned tokens; ignore those for unknown grants."""
        epoch_bucket = self._buckets_by_account.get(account)
        if epoch_bucket is None:
            return
        for settlement in settlements:
            epoch_bucket.bucket.settle(
                settlement.request_id, settlement.spent, settlement.returned, now
            )

    def _grant_or_deny(self, ask: TokenRequest, now: float) -> TokensGranted | TokensDenied:
        epoch_bucket = self._bucket_for(ask.account, now)
        if epoch_bucket is None:
            return TokensDenied(ask.request_id, GRANT_LIFETIME_S)
        tokens = epoch_bucket.bucket.grant(ask.request_id, ask.needed, ask.wanted, now)
        if tokens > 0:
            return TokensGranted(ask.request_id, tokens, epoch_bucket.epoch)
        tokens, wait_s = epoch_bucket.bucket.grant_ahead(ask.request_id, ask.needed, now)
        if tokens > 0:
            return TokensGranted(ask.request_id, tokens, epoch_bucket.epoch, now + wait_s)
        return TokensDenied(ask.request_id, epoch_bucket.bucket.retry_after_s(now))

    def _bucket_for(self, account: Account, now: float) -> _EpochBucket | None:
        state = self._shares_by_account.get(account)
        hold = self._authority.granting_right(slot_of(account.organisation), now)
        if state is None or hold is None:
            return None
        self._grow(account, state, now)
        epoch_bucket = self._buckets_by_account.get(account)
        if epoch_bucket is None or epoch_bucket.epoch != hold.epoch:
            # Another node may have granted between the two epochs, so the new bucket is empty.
            start = max(hold.since, state.since)
            epoch_bucket = _EpochBucket(hold.epoch, GrantingBucket(*state.current, start))
            self._buckets_by_account[account] = epoch_bucket
        return epoch_bucket

    def _drop_old_replies(self, now: float) -> None:
        while self._replies_by_request_id:
            request_id, (replied_at, _) = next(iter(self._replies_by_request_id.items()))
            if replied_at + REPLY_RETENTION_S > now:
                return
            del self._replies_by_request_id[request_id]
