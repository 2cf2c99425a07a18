"""Borrower of quota: spends granted tokens on calls and asks holders for more."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass

from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .borrower_account import ASK_TIMEOUT_S
from .borrower_account import LOW_WATER_S
from .borrower_account import BorrowerAccount
from .borrower_account import Slice
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import QuotaAsk
from .quota_messages import Settlement

DENIAL_MIN_S = 0.005
"""A zone that denied is not asked again before; it bounds the asks of an account over its rate."""


@dataclass(frozen=True, slots=True)
class Spent:
    """The call has its token and may go on."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Waiting:
    """The call waits for the answer to an ask."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The call gets no token."""

    call_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Send an ask to the holder of the organisation's slot in `zone`."""

    zone: str
    ask: QuotaAsk


@dataclass(frozen=True, slots=True)
class SettleHolder:
    """Report tokens that can no longer be spent to the holder in `zone`."""

    zone: str
    account: Account
    settlements: tuple[Settlement, ...]


BorrowerAction = Spent | Waiting | Refused | AskHolder | SettleHolder


@dataclass(slots=True)
class _Request:
    account: Account
    zone: str
    sent_at: float
    needed: int


class QuotaBorrower:
    """Tokens of one node, by account. `now` must be read from the clock for each call.

    `name` is unique over nodes and restarts (node name and incarnation): request ids start with it.
    """

    def __init__(
        self, name: str, own_zone: str, zones: Sequence[str], source: RandomSource
    ) -> None:
        self._name = name
        self._own_zone = own_zone
        self._zones = tuple(zones)
        self._source = source
        self._zones_by_account: dict[Account, tuple[str, ...]] = {}
        self._accounts: dict[Account, BorrowerAccount] = {}
        self._requests_by_id: dict[str, _Request] = {}
        self._next_request = 0

    def set_zones(self, account: Account, zones: Sequence[str]) -> None:
        """Name the zones that have a share of a contract; without any, all zones are asked."""
        if zones:
            self._zones_by_account[account] = tuple(zones)
        else:
            self._zones_by_account.pop(account, None)

    def spend(self, account: Account, call_id: str, now: float) -> list[BorrowerAction]:
        """Spend one token on a call, or make the call wait for an ask, or refuse it."""
        state = self._accounts.setdefault(account, BorrowerAccount())
        state.demand.on_call(now)
        if not state.waiting and state.spend(now):
            return [Spent(call_id), *self._prefetch(account, state, now)]
        if not state.waiting:
            state.asked_zones.clear()
        state.waiting[call_id] = None
        actions = self._ask_or_refuse(account, state, now)
        refused = any(isinstance(action, Refused) for action in actions)
        return actions if refused else [Waiting(call_id), *actions]

    def cancel(self, account: Account, call_id: str) -> None:
        """Forget a waiting call that was abandoned; its token stays for other calls."""
        state = self._accounts.get(account)
        if state is not None:
            state.waiting.pop(call_id, None)

    def on_granted(self, request_id: str, tokens: int, now: float) -> list[BorrowerAction]:
        """Take a grant; a repeated, unknown or expired one is ignored."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        state = self._accounts.setdefault(request.account, BorrowerAccount())
        was_open = state.close_ask(request_id)
        # Counted from the request: the grant is made later, so it expires at the holder later.
        expires_at = request.sent_at + GRANT_LIFETIME_S
        state.slices.append(Slice(request_id, request.zone, tokens, expires_at))
        actions: list[BorrowerAction] = [Spent(call_id) for call_id in state.serve(now)]
        if state.slices[-1].left(now) == 0:
            # Tokens of a small burst block accrual until they are reported as spent.
            settlements = state.settlements(request.zone, now)
            if settlements:
                actions.append(SettleHolder(request.zone, request.account, settlements))
        if not state.waiting:
            state.asked_zones.clear()
        elif was_open:
            actions += self._ask_or_refuse(request.account, state, now)
        return actions

    def on_denied(self, request_id: str, retry_after_s: float, now: float) -> list[BorrowerAction]:
        """Go on to the next zone after a denial, or refuse the calls that wait."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        state = self._accounts.setdefault(request.account, BorrowerAccount())
        if request.needed:
            # A denial of prefetch says nothing about tokens for calls that wait.
            wait_s = min(max(retry_after_s, DENIAL_MIN_S), GRANT_LIFETIME_S)
            state.denied_until_by_zone[request.zone] = now + wait_s
        else:
            state.prefetch_after = now + LOW_WATER_S
        if not state.close_ask(request_id):
            return []
        return self._ask_or_refuse(request.account, state, now)

    def on_unreachable(self, request_id: str, now: float) -> list[BorrowerAction]:
        """Treat a holder that cannot be reached like a denial."""
        return self.on_denied(request_id, ASK_TIMEOUT_S, now)

    def advance(self, now: float) -> list[BorrowerAction]:
        """Give up asks without an answer, return idle tokens, report spent ones.

        To be called about every 100 ms: tokens count against the bucket until they are reported.
        """
        actions: list[BorrowerAction] = []
        for request_id, request in list(self._requests_by_id.items()):
            state = self._accounts.setdefault(request.account, BorrowerAccount())
            if now >= request.sent_at + ASK_TIMEOUT_S and state.close_ask(request_id):
                state.denied_until_by_zone[request.zone] = now + ASK_TIMEOUT_S
                actions += self._ask_or_refuse(request.account, state, now)
            if now >= request.sent_at + GRANT_LIFETIME_S:
                self._requests_by_id.pop(request_id, None)
        for account, state in list(self._accounts.items()):
            actions += self._settle(account, state, now)
            if state.is_idle(now):
                del self._accounts[account]
        return actions

    def _settle(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> Iterator[SettleHolder]:
        state.return_idle(now)
        for zone in {held.zone for held in state.slices}:
            settlements = state.settlements(zone, now)
            if settlements:
                yield SettleHolder(zone, account, settlements)

    def _prefetch(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> Iterator[AskHolder]:
        if state.open_ask is not None or now < state.prefetch_after or not state.is_low(now):
            return
        state.asked_zones.clear()
        zone = self._next_zone(account, state, now)
        if zone is not None:
            yield self._ask(account, state, zone, now)

    def _ask_or_refuse(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> list[BorrowerAction]:
        if state.open_ask is not None or not state.waiting:
            return []
        zone = self._next_zone(account, state, now)
        if zone is not None:
            return [self._ask(account, state, zone, now)]
        retry_after_s = state.retry_after_s(now)
        state.asked_zones.clear()
        refused = list(state.waiting)
        state.waiting.clear()
        return [Refused(call_id, self._refusal(retry_after_s)) for call_id in refused]

    def _refusal(self, retry_after_s: float) -> Refusal:
        return Refusal(
            Reason.OVER_RATE,
            retry_after_s=jittered(retry_after_s, self._source),
            detail="the organisation's rate and burst are spent",
        )

    def _next_zone(self, account: Account, state: BorrowerAccount, now: float) -> str | None:
        open_zones = [
            zone
            for zone in self._zones_by_account.get(account, self._zones)
            if zone not in state.asked_zones and state.denied_until(zone) <= now
        ]
        if self._own_zone in open_zones:
            return self._own_zone
        return self._source.choice(open_zones) if open_zones else None

    def _ask(self, account: Account, state: BorrowerAccount, zone: str, now: float) -> AskHolder:
        self._next_request += 1
        request_id = f"{self._name}/{self._next_request}"
        state.open_ask = request_id
        needed = len(state.waiting)
        if needed:
            state.asked_zones.add(zone)
        self._requests_by_id[request_id] = _Request(account, zone, now, needed)
        settlements = state.settlements(zone, now)
        ask = QuotaAsk(
            self._name,
            request_id,
            account,
            needed,
            needed + state.prefetch_tokens(now),
            settlements,
        )
        return AskHolder(zone, ask)
