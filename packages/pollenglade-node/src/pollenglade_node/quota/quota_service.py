"""Spends quota tokens for calls, and grants tokens for the quota slots that this node holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from time import monotonic
from time import time
from typing import Any
from typing import Protocol

from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.configuration.configuration import AcceptedChange
from pollenglade_core.configuration.configuration import Action
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.quota.lease import ZoneLeases
from pollenglade_core.quota.lease_rows import LeaseAction
from pollenglade_core.quota.lease_rows import ReadAnnouncement
from pollenglade_core.quota.lease_rows import ReadSlot
from pollenglade_core.quota.lease_rows import WriteSlot
from pollenglade_core.quota.lease_rows import preferred_holder
from pollenglade_core.quota.lease_rows import slot_of
from pollenglade_core.quota.quota import Account
from pollenglade_core.quota.quota import CallAdmitted
from pollenglade_core.quota.quota import CallRefused
from pollenglade_core.quota.quota import QuotaBorrower
from pollenglade_core.quota.quota import QuotaHolder
from pollenglade_core.quota.quota import SendSettlements
from pollenglade_core.quota.quota import SendTokenRequest
from pollenglade_core.quota.quota import ShareChanges
from pollenglade_core.quota.quota import TokensGranted
from pollenglade_core.quota.quota import ZoneShare
from pollenglade_core.quota.quota import contract_shares
from pollenglade_core.quota.quota_borrower import BorrowerAction
from pollenglade_core.randomness import RandomSource
from pollenglade_net.platform_api import NotFound
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict

from ..membership.announcement import announcement_from_wire
from ..membership.announcement import announcement_row_name
from .quota_wire import account_from_wire
from .quota_wire import settlements_from_wire
from .quota_wire import settlements_to_wire
from .quota_wire import slot_row_to_value
from .quota_wire import stored_slot_row
from .quota_wire import token_request_from_wire
from .quota_wire import token_request_to_wire

ADVANCE_INTERVAL_S = 0.1
LEASE_INTERVAL_S = 1.0

CLAIM_INTERVAL_S = 0.1
"""Interval of lease updates while this node does not yet grant one of its quota slots.

A node needs a read and a write to take a quota slot.
"""

FULLY_APPLIED_AFTER_S = 600.0
"""Age from which a configuration change is in force at every node.

A node that starts cannot measure the age itself, so it compares the wall clocks of the operator and
of this node. The limit is far above the 15 s for which the growth of a share is delayed, so that
the clocks may differ by almost 10 min.
"""

TIMER_RESOLUTION_S = 0.001
"""Resolution of the timers of the event loop in seconds."""

TOKEN_REQUEST_TOPIC = "quota-ask"
SETTLE_TOPIC = "quota-settle"

SpendCallback = Callable[[Refusal | None], None]


@dataclass(slots=True)
class QuotaCounts:
    """Counts since the start: requests sent as a borrower, and replies sent as a holder."""

    token_requests: int = 0
    unreachable: int = 0
    grants: int = 0
    tokens_granted: int = 0
    denials: int = 0
    redirects: int = 0


class ZoneMembership(Protocol):
    """Provides the live nodes of a zone."""

    def live_nodes(self, zone: str) -> Sequence[str]:
        """Return the live nodes of a zone that are not leaving."""


class QuerySender(Protocol):
    """Sends queries to nodes."""

    def query_node(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        """Send a query to a node; `callback` gets the reply, or None if there is none."""


def _is_only_division(accepted: AcceptedChange) -> bool:
    """Return whether no other division of a profile can be in force at any node.

    `accepted` is the latest change of a profile that is new to this node.
    """
    return accepted.action is Action.PUBLISH or time() - accepted.stamp.when > FULLY_APPLIED_AFTER_S


class QuotaService:
    """Runs the quota borrower, the quota holder and the quota slot leases of one node."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        zone: str,
        peers: ZoneMembership,
        query_sender: QuerySender,
        table: Table,
        source: RandomSource,
    ) -> None:
        self._zone = zone
        self._peers = peers
        self._query_sender = query_sender
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer_by_name: dict[str, asyncio.TimerHandle] = {}
        self._callback_by_call: dict[str, SpendCallback] = {}
        self._holder_by_slot: dict[tuple[str, int], str] = {}
        self._next_call = 0
        self.leases = ZoneLeases(node, incarnation)
        self.holder = QuotaHolder(self.leases)
        self.borrower = QuotaBorrower(f"{node}/{incarnation:x}", zone, (), source)
        self._accounts: set[Account] = set()
        self.counts = QuotaCounts()
        self._share_changes = ShareChanges()
        self._version = 0

    async def start(self) -> None:
        """Start the timers of the borrower and of the leases."""
        self._advance()
        self._advance_leases()

    def apply(self, configuration: Configuration) -> None:
        """Set the shares of this zone from a new configuration."""
        now = monotonic()
        accounts: set[Account] = set()
        for profile in configuration.profiles_by_name.values():
            for contract in profile.organisations_by_id.values():
                account = Account(profile.name, contract.organisation)
                shares = contract_shares(
                    account, contract.rate_per_s, contract.burst, profile.zones
                )
                self._set_shares(account, shares, configuration, now)
                accounts.add(account)
        for account in self._accounts - accounts:
            self._set_shares(account, {}, configuration, now)
        self._accounts = accounts
        self._version = configuration.version

    def _set_shares(
        self,
        account: Account,
        shares: Mapping[str, ZoneShare],
        configuration: Configuration,
        now: float,
    ) -> None:
        accepted = configuration.acceptance(Kind.PROFILE, account.profile)
        revision = accepted.revision if accepted is not None else configuration.version
        is_complete = configuration.version == self._version + 1
        if account not in self._accounts and accepted is not None:
            is_complete = is_complete or _is_only_division(accepted)
        delay_s = self._share_changes.record_shares(account, revision, shares, is_complete, now)
        local_share = shares.get(self._zone, ZoneShare(0, 0))
        self.holder.set_share(account, local_share, now, delay_s)
        self.borrower.set_zones(account, list(shares))

    def spend(self, account: Account, callback: SpendCallback) -> Callable[[], None] | None:
        """Spend one token; call `callback` with None when it is spent, or with a refusal.

        Return a function that abandons the wait, or None if the call does not have to wait.
        """
        self._next_call += 1
        call_id = str(self._next_call)
        self._callback_by_call[call_id] = callback
        self._execute(self.borrower.spend(account, call_id, monotonic()))
        if call_id not in self._callback_by_call:
            return None

        def abandon() -> None:
            if self._callback_by_call.pop(call_id, None) is not None:
                self.borrower.cancel(account, call_id)

        return abandon

    def _execute(self, actions: Sequence[BorrowerAction]) -> None:
        for action in actions:
            if isinstance(action, CallAdmitted):
                self._finish(action.call_id, None)
            elif isinstance(action, CallRefused):
                self._finish(action.call_id, action.refusal)
            elif isinstance(action, SendTokenRequest):
                self._request_tokens(action, hint=None)
            elif isinstance(action, SendSettlements):
                self._settle(action)

    def _finish(self, call_id: str, refusal: Refusal | None) -> None:
        callback = self._callback_by_call.pop(call_id, None)
        if callback is not None:
            callback(refusal)

    def _holder_of(self, zone: str, organisation: str) -> str | None:
        slot = slot_of(organisation)
        live = self._peers.live_nodes(zone)
        redirected_holder = self._holder_by_slot.get((zone, slot))
        return redirected_holder if redirected_holder in live else preferred_holder(slot, live)

    def _request_tokens(self, action: SendTokenRequest, hint: str | None) -> None:
        request = action.ask
        self.counts.token_requests += 1
        node = hint or self._holder_of(action.zone, request.account.organisation)
        if node is None:
            # Deferred to the next loop iteration, because the borrower is processing an event.
            self._loop.call_soon(self._on_holder_unreachable, request.request_id)
            return
        slot = (action.zone, slot_of(request.account.organisation))

        def on_reply(reply: object) -> None:
            self._on_token_reply(action, slot, reply, redirected=hint is not None)

        self._query_sender.query_node(
            node, TOKEN_REQUEST_TOPIC, token_request_to_wire(request), on_reply
        )

    def _on_token_reply(
        self,
        action: SendTokenRequest,
        slot: tuple[str, int],
        reply: object,
        redirected: bool,
    ) -> None:
        now = monotonic()
        request_id = action.ask.request_id
        if not isinstance(reply, list) or len(reply) != 4:
            self._on_holder_unreachable(request_id)
            return
        kind, tokens, retry_after_s, holder = reply
        if kind == "granted" and isinstance(tokens, int):
            self._execute(self.borrower.on_granted(request_id, tokens, now))
        elif kind == "redirect" and isinstance(holder, str) and holder and not redirected:
            self._holder_by_slot[slot] = holder
            self._request_tokens(action, hint=holder)
        else:
            wait_s = float(retry_after_s) if isinstance(retry_after_s, int | float) else 0.1
            self._execute(self.borrower.on_denied(request_id, wait_s, now))

    def _on_holder_unreachable(self, request_id: str) -> None:
        self.counts.unreachable += 1
        self._execute(self.borrower.on_holder_unreachable(request_id, monotonic()))

    def _settle(self, action: SendSettlements) -> None:
        node = self._holder_of(action.zone, action.account.organisation)
        if node is not None:
            payload = [list(action.account), settlements_to_wire(action.settlements)]
            self._query_sender.query_node(node, SETTLE_TOPIC, payload, lambda reply: None)

    def handle_token_request(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply to the token request (`quota-ask`) of a borrower."""
        request = token_request_from_wire(payload)
        if request is None:
            reply(None)
            return
        now = monotonic()
        slot = slot_of(request.account.organisation)
        if self.leases.granting_right(slot, now) is None:
            self.counts.redirects += 1
            reply(["redirect", 0, ADVANCE_INTERVAL_S, self.leases.holder_of(slot)])
            return
        result = self.holder.handle_request(request, now)
        if isinstance(result, TokensGranted):
            self.counts.grants += 1
            self.counts.tokens_granted += result.tokens
            message = ["granted", result.tokens, 0.0, ""]
            if result.ready_at <= now:
                reply(message)
            else:
                # Timers of uvloop are rounded to milliseconds and may fire early.
                self._loop.call_later(result.ready_at - now + TIMER_RESOLUTION_S, reply, message)
        else:
            self.counts.denials += 1
            reply(["denied", 0, result.retry_after_s, ""])

    def handle_settlements(self, payload: object, reply: Callable[[object], None]) -> None:
        """Process the settlements (`quota-settle`) of a borrower."""
        reply([])
        if not isinstance(payload, list) or len(payload) != 2:
            return
        account = account_from_wire(payload[0])
        settlements = settlements_from_wire(payload[1])
        if account is not None and settlements is not None:
            self.holder.settle(account, settlements, monotonic())

    def _advance(self) -> None:
        self._timer_by_name["borrowers"] = self._loop.call_later(ADVANCE_INTERVAL_S, self._advance)
        self._execute(self.borrower.advance(monotonic()))

    def _advance_leases(self) -> None:
        live = self._peers.live_nodes(self._zone)
        now = monotonic()
        interval_s = LEASE_INTERVAL_S
        try:
            for action in self.leases.advance(live, now):
                self._spawn(self._execute_lease_action(action))
            if not self.leases.has_holders_for_preferred_slots(live, now):
                interval_s = CLAIM_INTERVAL_S
        finally:
            self._timer_by_name["leases"] = self._loop.call_later(interval_s, self._advance_leases)

    async def _execute_lease_action(self, action: LeaseAction) -> None:
        if isinstance(action, ReadAnnouncement):
            await self._read_announcement(action.node)
        elif isinstance(action, ReadSlot):
            await self._read_slot(action.slot)
        else:
            await self._write_slot(action)

    async def _read_announcement(self, node: str) -> None:
        requested_at = monotonic()
        row = await self._table.read(announcement_row_name(self._zone, node))
        if isinstance(row, Unavailable):
            return
        version, incarnation = 0, 0
        if isinstance(row, Row):
            announcement = announcement_from_wire(row.value)
            version = row.version
            incarnation = announcement.incarnation if announcement is not None else 0
        now = monotonic()
        self.leases.on_announcement(node, incarnation, version, requested_at, now)

    def _slot_row_name(self, slot: int) -> str:
        return f"quota/{self._zone}/{slot}"

    async def _read_slot(self, slot: int) -> None:
        row = await self._table.read(self._slot_row_name(slot))
        if isinstance(row, Unavailable):
            self.leases.on_response_lost(slot)
        else:
            stored = None if isinstance(row, NotFound) else stored_slot_row(row)
            self.leases.on_row(slot, stored, monotonic())

    async def _write_slot(self, action: WriteSlot) -> None:
        name = self._slot_row_name(action.slot)
        result = await self._table.write(
            name, slot_row_to_value(action.row), action.expected_version, action.row.attempt
        )
        now = monotonic()
        if isinstance(result, RowWritten):
            self.leases.on_written(action.slot, result.version, now)
        elif isinstance(result, VersionConflict):
            stored = None if result.current is None else stored_slot_row(result.current)
            self.leases.on_row(action.slot, stored, now)
        else:
            self.leases.on_response_lost(action.slot)

    async def release(self, timeout_s: float) -> None:
        """Stop granting tokens; release all quota slots as far as the platform responds in time.

        The method returns after `timeout_s` seconds at the latest, apart from a write in progress.
        """
        self.leases.release_all()
        deadline = monotonic() + timeout_s
        while not self.leases.is_released() and monotonic() < deadline:
            actions = self.leases.advance([], monotonic())
            if actions:
                await asyncio.gather(*(self._execute_lease_action(action) for action in actions))
            else:
                await asyncio.sleep(0.02)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop the timers and cancel all reads and writes of rows."""
        for timer in self._timer_by_name.values():
            timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
