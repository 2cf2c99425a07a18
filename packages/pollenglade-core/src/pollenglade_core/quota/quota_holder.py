"""Holder of quota slots: runs the token buckets of the organisations that hash to them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from .granting_bucket import GrantingBucket
from .lease_rows import slot_of
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import Denied
from .quota_messages import Granted
from .quota_messages import QuotaAsk
from .quota_messages import Settlement
from .zone_shares import ZoneShare

ANSWER_MEMORY_S = 5.0
"""How long an answer is repeated for a repeated request; a grant is useless after 1 s."""


@dataclass(frozen=True, slots=True)
class SlotHold:
    """The right to grant from a slot under one epoch, with tokens that accrue from `since`."""

    epoch: int
    since: float


class SlotAuthority(Protocol):
    """Says which slots this node may grant from."""

    def hold(self, slot: int, now: float) -> SlotHold | None:
        """Return the hold on a slot; None while the node must not grant from it."""


@dataclass(slots=True)
class _Share:
    """What may be granted now; from `grows_at` on it is `target`."""

    current: ZoneShare
    since: float
    target: ZoneShare
    grows_at: float

    def change(self, target: ZoneShare, grows_at: float) -> None:
        """Aim at another share. What falls, falls at once; growth waits for all changes."""
        self.target = target
        self.grows_at = max(self.grows_at, grows_at)
        self.current = ZoneShare(*map(min, self.current, target))

    def is_due(self, now: float) -> bool:
        return self.current != self.target and now >= self.grows_at


@dataclass(slots=True)
class _Held:
    epoch: int
    bucket: GrantingBucket


class QuotaHolder:
    """Grants tokens for the zone's share of each contract, for the slots that the node holds."""

    def __init__(self, authority: SlotAuthority) -> None:
        self._authority = authority
        self._shares_by_account: dict[Account, _Share] = {}
        self._held_by_account: dict[Account, _Held] = {}
        self._answers_by_id: OrderedDict[str, tuple[float, Granted | Denied]] = OrderedDict()

    def set_share(
        self, account: Account, share: ZoneShare, now: float, growth_delay_s: float = 0.0
    ) -> None:
        """Apply the zone's share of a contract; 0 for both figures withdraws it.

        What grows does so after `growth_delay_s`. A withdrawn share keeps its bucket, because
        tokens granted from it may still be spent.
        """
        known = self._shares_by_account.get(account)
        if known is None:
            none = ZoneShare(0, 0)
            known = self._shares_by_account[account] = _Share(none, now, none, now)
        self._grow(account, known, now)
        before = known.current
        known.change(share, now + growth_delay_s)
        if known.current != before:
            self._change_bucket(account, known, now)
        self._grow(account, known, now)

    def _grow(self, account: Account, share: _Share, now: float) -> None:
        if share.is_due(now):
            share.current = share.target
            self._change_bucket(account, share, share.grows_at)

    def _change_bucket(self, account: Account, share: _Share, at: float) -> None:
        held = self._held_by_account.get(account)
        if held is not None:
            held.bucket.change(*share.current, at)
        # A bucket that is created later accrues from here, not at these figures from earlier on.
        share.since = at

    def ask(self, ask: QuotaAsk, now: float) -> Granted | Denied:
        """Grant tokens or deny them; a repeated request id gets its first answer again."""
        self.settle(ask.account, ask.settlements, now)
        self._forget_answers(now)
        known = self._answers_by_id.get(ask.request_id)
        if known is not None:
            return known[1]
        answer = self._decide(ask, now)
        self._answers_by_id[ask.request_id] = (now, answer)
        return answer

    def settle(self, account: Account, settlements: tuple[Settlement, ...], now: float) -> None:
        """Take reports of spent and returned tokens; reports on unknown grants are ignored."""
        held = self._held_by_account.get(account)
        if held is None:
            return
        for item in settlements:
            held.bucket.settle(item.request_id, item.spent, item.returned, now)

    def _decide(self, ask: QuotaAsk, now: float) -> Granted | Denied:
        held = self._held(ask.account, now)
        if held is None:
            return Denied(ask.request_id, GRANT_LIFETIME_S)
        tokens = held.bucket.grant(ask.request_id, ask.needed, ask.wanted, now)
        if tokens == 0:
            return Denied(ask.request_id, held.bucket.retry_after_s(now))
        return Granted(ask.request_id, tokens, held.epoch)

    def _held(self, account: Account, now: float) -> _Held | None:
        share = self._shares_by_account.get(account)
        hold = self._authority.hold(slot_of(account.organisation), now)
        if share is None or hold is None:
            return None
        self._grow(account, share, now)
        held = self._held_by_account.get(account)
        if held is None or held.epoch != hold.epoch:
            # A new epoch means that another node may have granted in between: start empty.
            start = max(hold.since, share.since)
            held = _Held(hold.epoch, GrantingBucket(*share.current, start))
            self._held_by_account[account] = held
        return held

    def _forget_answers(self, now: float) -> None:
        while self._answers_by_id:
            request_id, (answered_at, _) = next(iter(self._answers_by_id.items()))
            if answered_at + ANSWER_MEMORY_S > now:
                return
            del self._answers_by_id[request_id]
