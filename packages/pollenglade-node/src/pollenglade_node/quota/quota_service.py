"""Spends quota for calls, and grants it for the slots that this node holds."""

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
from pollenglade_core.configuration.configuration import Acceptance
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
from pollenglade_core.quota.quota import AskHolder
from pollenglade_core.quota.quota import Granted
from pollenglade_core.quota.quota import QuotaBorrower
from pollenglade_core.quota.quota import QuotaHolder
from pollenglade_core.quota.quota import Refused
from pollenglade_core.quota.quota import SettleHolder
from pollenglade_core.quota.quota import ShareChanges
from pollenglade_core.quota.quota import Spent
from pollenglade_core.quota.quota import ZoneShare
from pollenglade_core.quota.quota import contract_shares
from pollenglade_core.quota.quota_borrower import BorrowerAction
from pollenglade_core.randomness import RandomSource
from pollenglade_net.platform_api import Absent
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import Written

from ..membership.announcement import announcement_from_wire
from ..membership.announcement import announcement_row_name
from .quota_wire import account_from_wire
from .quota_wire import ask_from_wire
from .quota_wire import ask_to_wire
from .quota_wire import row_to_value
from .quota_wire import settlements_from_wire
from .quota_wire import settlements_to_wire
from .quota_wire import stored_from_row

ADVANCE_INTERVAL_S = 0.1
LEASE_INTERVAL_S = 1.0

CLAIM_INTERVAL_S = 0.1
"""Interval while a slot of this node is not granted; a claim takes a read and a write."""

SETTLED_S = 600.0
"""A change this old by the wall clocks of operator and node is in force everywhere.

A node that starts cannot measure the age of a change itself. The limit is far above the 15 s that a
growing share waits, so that clocks may differ by almost 10 min.
"""

ASK_TOPIC = "quota-ask"
SETTLE_TOPIC = "quota-settle"

Done = Callable[[Refusal | None], None]


@dataclass(slots=True)
class QuotaCounts:
    """Since the start: asks that this node sent as a borrower, and its answers as a holder."""

    asks: int = 0
    unreachable: int = 0
    grants: int = 0
    tokens_granted: int = 0
    denials: int = 0
    redirects: int = 0


class Peers(Protocol):
    """What the quota needs to know of other nodes."""

    def live_nodes(self, zone: str) -> Sequence[str]:
        """Return the nodes of a zone that are believed to be alive."""


class Asker(Protocol):
    """Sends questions to nodes."""

    def ask_node(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        """Ask a node; `callback` gets the answer, or None where there is none."""


def _is_settled(accepted: Acceptance) -> bool:
    """Return whether no other division of a profile that is new to this node can be in force."""
    return accepted.action is Action.PUBLISH or time() - accepted.stamp.when > SETTLED_S


class QuotaService:
    """Drives borrower, holder and leases of one node."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        zone: str,
        peers: Peers,
        asker: Asker,
        table: Table,
        source: RandomSource,
    ) -> None:
        self._zone = zone
        self._peers = peers
        self._asker = asker
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer_by_name: dict[str, asyncio.TimerHandle] = {}
        self._waiting_by_call: dict[str, Done] = {}
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
        """Start the timers."""
        self._advance()
        self._advance_leases()

    def apply(self, configuration: Configuration) -> None:
        """Take the shares of this zone from a configuration."""
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
        complete = configuration.version == self._version + 1
        if account not in self._accounts and accepted is not None:
            complete = complete or _is_settled(accepted)
        delay_s = self._share_changes.growth_delay_s(account, revision, shares, complete, now)
        own = shares.get(self._zone, ZoneShare(0, 0))
        self.holder.set_share(account, own, now, delay_s)
        self.borrower.set_zones(account, list(shares))

    def spend(self, account: Account, done: Done) -> Callable[[], None] | None:
        """Call `done` with None once a token is spent, or with the refusal.

        Return a function that abandons the wait, or None where the call does not wait.
        """
        self._next_call += 1
        call_id = str(self._next_call)
        self._waiting_by_call[call_id] = done
        self._apply(self.borrower.spend(account, call_id, monotonic()))
        if call_id not in self._waiting_by_call:
            return None

        def abandon() -> None:
            if self._waiting_by_call.pop(call_id, None) is not None:
                self.borrower.cancel(account, call_id)

        return abandon

    def _apply(self, actions: Sequence[BorrowerAction]) -> None:
        for action in actions:
            if isinstance(action, Spent):
                self._finish(action.call_id, None)
            elif isinstance(action, Refused):
                self._finish(action.call_id, action.refusal)
            elif isinstance(action, AskHolder):
                self._ask(action, hint=None)
            elif isinstance(action, SettleHolder):
                self._settle(action)

    def _finish(self, call_id: str, refusal: Refusal | None) -> None:
        done = self._waiting_by_call.pop(call_id, None)
        if done is not None:
            done(refusal)

    def _holder_of(self, zone: str, organisation: str) -> str | None:
        slot = slot_of(organisation)
        live = self._peers.live_nodes(zone)
        known = self._holder_by_slot.get((zone, slot))
        return known if known in live else preferred_holder(slot, live)

    def _ask(self, action: AskHolder, hint: str | None) -> None:
        ask = action.ask
        self.counts.asks += 1
        node = hint or self._holder_of(action.zone, ask.account.organisation)
        if node is None:
            # A later turn of the loop, because the borrower is in the middle of an event.
            self._loop.call_soon(self._unreachable, ask.request_id)
            return
        slot = (action.zone, slot_of(ask.account.organisation))

        def on_answer(answer: object) -> None:
            self._on_answer(action, slot, answer, redirected=hint is not None)

        self._asker.ask_node(node, ASK_TOPIC, ask_to_wire(ask), on_answer)

    def _on_answer(
        self,
        action: AskHolder,
        slot: tuple[str, int],
        answer: object,
        redirected: bool,
    ) -> None:
        now = monotonic()
        request_id = action.ask.request_id
        if not isinstance(answer, list) or len(answer) != 4:
            self._unreachable(request_id)
            return
        kind, tokens, retry_after_s, holder = answer
        if kind == "granted" and isinstance(tokens, int):
            self._apply(self.borrower.on_granted(request_id, tokens, now))
        elif kind == "redirect" and isinstance(holder, str) and holder and not redirected:
            self._holder_by_slot[slot] = holder
            self._ask(action, hint=holder)
        else:
            wait_s = float(retry_after_s) if isinstance(retry_after_s, int | float) else 0.1
            self._apply(self.borrower.on_denied(request_id, wait_s, now))

    def _unreachable(self, request_id: str) -> None:
        self.counts.unreachable += 1
        self._apply(self.borrower.on_unreachable(request_id, monotonic()))

    def _settle(self, action: SettleHolder) -> None:
        node = self._holder_of(action.zone, action.account.organisation)
        if node is not None:
            payload = [list(action.account), settlements_to_wire(action.settlements)]
            self._asker.ask_node(node, SETTLE_TOPIC, payload, lambda answer: None)

    def answer_ask(self, payload: object, answer: Callable[[object], None]) -> None:
        """Answer a `quota-ask` of a borrower."""
        ask = ask_from_wire(payload)
        if ask is None:
            answer(None)
            return
        now = monotonic()
        slot = slot_of(ask.account.organisation)
        if self.leases.hold(slot, now) is None:
            self.counts.redirects += 1
            answer(["redirect", 0, ADVANCE_INTERVAL_S, self.leases.holder_of(slot)])
            return
        result = self.holder.ask(ask, now)
        if isinstance(result, Granted):
            self.counts.grants += 1
            self.counts.tokens_granted += result.tokens
            answer(["granted", result.tokens, 0.0, ""])
        else:
            self.counts.denials += 1
            answer(["denied", 0, result.retry_after_s, ""])

    def answer_settle(self, payload: object, answer: Callable[[object], None]) -> None:
        """Take a `quota-settle` of a borrower."""
        answer([])
        if not isinstance(payload, list) or len(payload) != 2:
            return
        account = account_from_wire(payload[0])
        settlements = settlements_from_wire(payload[1])
        if account is not None and settlements is not None:
            self.holder.settle(account, settlements, monotonic())

    def _advance(self) -> None:
        now = monotonic()
        self._apply(self.borrower.advance(now))
        self._timer_by_name["borrowers"] = self._loop.call_later(ADVANCE_INTERVAL_S, self._advance)

    def _advance_leases(self) -> None:
        live = self._peers.live_nodes(self._zone)
        now = monotonic()
        for action in self.leases.advance(live, now):
            self._spawn(self._carry_out(action))
        interval_s = LEASE_INTERVAL_S if self.leases.is_settled(live, now) else CLAIM_INTERVAL_S
        self._timer_by_name["leases"] = self._loop.call_later(interval_s, self._advance_leases)

    async def _carry_out(self, action: LeaseAction) -> None:
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
            self.leases.on_lost(slot)
        else:
            stored = None if isinstance(row, Absent) else stored_from_row(row)
            self.leases.on_row(slot, stored, monotonic())

    async def _write_slot(self, action: WriteSlot) -> None:
        name = self._slot_row_name(action.slot)
        result = await self._table.write(
            name, row_to_value(action.row), action.expected_version, action.row.attempt
        )
        now = monotonic()
        if isinstance(result, Written):
            self.leases.on_written(action.slot, result.version, now)
        elif isinstance(result, VersionConflict):
            stored = None if result.current is None else stored_from_row(result.current)
            self.leases.on_row(action.slot, stored, now)
        else:
            self.leases.on_lost(action.slot)

    async def release(self, timeout_s: float) -> None:
        """Stop granting and release all slots, as far as the platform answers in time."""
        self.leases.release_all()
        deadline = monotonic() + timeout_s
        while not self.leases.is_released() and monotonic() < deadline:
            actions = self.leases.advance([], monotonic())
            if actions:
                await asyncio.gather(*(self._carry_out(action) for action in actions))
            else:
                await asyncio.sleep(0.02)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop the timers."""
        for timer in self._timer_by_name.values():
            timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
