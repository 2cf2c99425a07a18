"""Borrower of quota: spends granted tokens on calls and requests more from holders."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass

from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .borrower_account import LOW_WATER_MARK_S
from .borrower_account import TOKEN_REQUEST_TIMEOUT_S
from .borrower_account import BorrowedGrant
from .borrower_account import BorrowerAccount
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import Settlement
from .quota_messages import TokenRequest

MIN_DENIAL_WAIT_S = 0.005
"""Shortest wait after a denial by a zone; limits the requests of an account over its rate."""


@dataclass(frozen=True, slots=True)
class CallAdmitted:
    """A token was spent on the call; it may proceed."""

    call_id: str


@dataclass(frozen=True, slots=True)
class CallWaiting:
    """The call waits for the reply to a token request."""

    call_id: str


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The call is refused because no token is available."""

    call_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class SendTokenRequest:
    """Send a token request to the holder of the organisation's slot in `zone`."""

    zone: str
    ask: TokenRequest


@dataclass(frozen=True, slots=True)
class SendSettlements:
    """Report spent and returned tokens to the holder of the organisation's slot in `zone`."""

    zone: str
    account: Account
    settlements: tuple[Settlement, ...]


BorrowerAction = CallAdmitted | CallWaiting | CallRefused | SendTokenRequest | SendSettlements


@dataclass(slots=True)
class _TokenRequest:
    account: Account
    zone: str
    sent_at: float
    needed: int


class QuotaBorrower:
    """Spends, requests and returns the tokens of one node, by account.

    Read `now` (seconds) from the clock anew for each method call. `name` consists of node name
    and incarnation and is unique over nodes and restarts, because it is the prefix of request ids.
    """

    def __init__(
        self, name: str, local_zone: str, zones: Sequence[str], random_source: RandomSource
    ) -> None:
        self._name = name
        self._local_zone = local_zone
        self._zones = tuple(zones)
        self._random_source = random_source
        self._zones_by_account: dict[Account, tuple[str, ...]] = {}
        self._accounts: dict[Account, BorrowerAccount] = {}
        self._requests_by_id: dict[str, _TokenRequest] = {}
        self._request_count = 0

    def set_zones(self, account: Account, zones: Sequence[str]) -> None:
        """Set the zones with a share of a contract; an empty list restores the default zones."""
        if zones:
            self._zones_by_account[account] = tuple(zones)
        else:
            self._zones_by_account.pop(account, None)

    def spend(self, account: Account, call_id: str, now: float) -> list[BorrowerAction]:
        """Spend a token on a call, let the call wait for a token request, or refuse it."""
        state = self._accounts.setdefault(account, BorrowerAccount())
        state.demand.on_call(now)
        if not state.waiting_calls and state.spend(now):
            return [CallAdmitted(call_id), *self._prefetch(account, state, now)]
        if not state.waiting_calls:
            state.tried_zones.clear()
        state.waiting_calls[call_id] = None
        actions = self._request_or_refuse(account, state, now)
        refused = any(isinstance(action, CallRefused) for action in actions)
        return actions if refused else [CallWaiting(call_id), *actions]

    def cancel(self, account: Account, call_id: str) -> None:
        """Remove a cancelled call; a token requested for it can be spent on other calls."""
        state = self._accounts.get(account)
        if state is not None:
            state.waiting_calls.pop(call_id, None)

    def on_granted(self, request_id: str, tokens: int, now: float) -> list[BorrowerAction]:
        """Add the tokens of a grant; a repeated, unknown or expired request id is ignored."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        state = self._accounts.setdefault(request.account, BorrowerAccount())
        was_open = state.close_request(request_id)
        # The lifetime starts at the request; the holder grants later, so its grant expires later.
        expires_at = request.sent_at + GRANT_LIFETIME_S
        state.grants.append(BorrowedGrant(request_id, request.zone, tokens, expires_at))
        actions: list[BorrowerAction] = [
            CallAdmitted(call_id) for call_id in state.spend_on_waiting_calls(now)
        ]
        if state.grants[-1].remaining(now) == 0:
            # Tokens of a small burst block accrual until they are reported as spent.
            settlements = state.collect_settlements(request.zone, now)
            if settlements:
                actions.append(SendSettlements(request.zone, request.account, settlements))
        if tokens >= request.needed:
            # Calls that arrived after the request may be served by the same zone.
            state.tried_zones.discard(request.zone)
        if not state.waiting_calls:
            state.tried_zones.clear()
        elif was_open:
            actions += self._request_or_refuse(request.account, state, now)
        return actions

    def on_denied(self, request_id: str, retry_after_s: float, now: float) -> list[BorrowerAction]:
        """Request tokens from the next zone after a denial, or refuse the waiting calls."""
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        state = self._accounts.setdefault(request.account, BorrowerAccount())
        if request.needed:
            # The holder may deny a prefetch and still have tokens for waiting calls.
            wait_s = min(max(retry_after_s, MIN_DENIAL_WAIT_S), GRANT_LIFETIME_S)
            state.denied_until_by_zone[request.zone] = now + wait_s
        else:
            state.prefetch_after = now + LOW_WATER_MARK_S
        if not state.close_request(request_id):
            return []
        return self._request_or_refuse(request.account, state, now)

    def on_holder_unreachable(self, request_id: str, now: float) -> list[BorrowerAction]:
        """Handle an unreachable holder like a denial."""
        return self.on_denied(request_id, TOKEN_REQUEST_TIMEOUT_S, now)

    def advance(self, now: float) -> list[BorrowerAction]:
        """Time out token requests, return unspent tokens and report spent ones.

        Call this about every 100 ms: tokens count against the bucket until they are reported.
        """
        actions: list[BorrowerAction] = []
        for request_id, request in list(self._requests_by_id.items()):
            state = self._accounts.setdefault(request.account, BorrowerAccount())
            if now >= request.sent_at + TOKEN_REQUEST_TIMEOUT_S and state.close_request(request_id):
                state.denied_until_by_zone[request.zone] = now + TOKEN_REQUEST_TIMEOUT_S
                actions += self._request_or_refuse(request.account, state, now)
            if now >= request.sent_at + GRANT_LIFETIME_S:
                self._requests_by_id.pop(request_id, None)
        for account, state in list(self._accounts.items()):
            actions += self._settle(account, state, now)
            if state.is_idle(now):
                del self._accounts[account]
        return actions

    def _settle(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> Iterator[SendSettlements]:
        state.return_unspent(now)
        for zone in {grant.zone for grant in state.grants}:
            settlements = state.collect_settlements(zone, now)
            if settlements:
                yield SendSettlements(zone, account, settlements)

    def _prefetch(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> Iterator[SendTokenRequest]:
        if (
            state.open_request_id is not None
            or now < state.prefetch_after
            or not state.needs_prefetch(now)
        ):
            return
        state.tried_zones.clear()
        zone = self._next_zone(account, state, now)
        if zone is not None:
            yield self._request_tokens(account, state, zone, now)

    def _request_or_refuse(
        self, account: Account, state: BorrowerAccount, now: float
    ) -> list[BorrowerAction]:
        if state.open_request_id is not None or not state.waiting_calls:
            return []
        zone = self._next_zone(account, state, now)
        if zone is not None:
            return [self._request_tokens(account, state, zone, now)]
        retry_after_s = state.retry_after_s(now)
        state.tried_zones.clear()
        refused = list(state.waiting_calls)
        state.waiting_calls.clear()
        return [CallRefused(call_id, self._refusal(retry_after_s)) for call_id in refused]

    def _refusal(self, retry_after_s: float) -> Refusal:
        return Refusal(
            Reason.OVER_RATE,
            retry_after_s=jittered(retry_after_s, self._random_source),
            detail="the organisation's rate and burst are spent",
        )

    def _next_zone(self, account: Account, state: BorrowerAccount, now: float) -> str | None:
        open_zones = [
            zone
            for zone in self._zones_by_account.get(account, self._zones)
            if zone not in state.tried_zones and state.denied_until(zone) <= now
        ]
        if self._local_zone in open_zones:
            return self._local_zone
        return self._random_source.choice(open_zones) if open_zones else None

    def _request_tokens(
        self, account: Account, state: BorrowerAccount, zone: str, now: float
    ) -> SendTokenRequest:
        self._request_count += 1
        request_id = f"{self._name}/{self._request_count}"
        state.open_request_id = request_id
        needed = len(state.waiting_calls)
        if needed:
            state.tried_zones.add(zone)
        self._requests_by_id[request_id] = _TokenRequest(account, zone, now, needed)
        settlements = state.collect_settlements(zone, now)
        ask = TokenRequest(
            self._name,
            request_id,
            account,
            needed,
            needed + state.prefetch_tokens(now),
            settlements,
        )
        return SendTokenRequest(zone, ask)
