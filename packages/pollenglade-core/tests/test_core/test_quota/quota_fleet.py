"""Simulated fleet of quota holders and borrowers with partitions, pauses, restarts and outages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from math import ceil
from typing import Any

from pollenglade_core.quota.lease import ZoneLeases
from pollenglade_core.quota.lease_rows import ReadAnnouncement
from pollenglade_core.quota.lease_rows import ReadSlot
from pollenglade_core.quota.lease_rows import StoredSlotRow
from pollenglade_core.quota.lease_rows import WriteSlot
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

TICK_S = 1 / 1024  # exact in binary, so that the check of windows has no rounding errors
PLATFORM_TIMEOUT_S = 2.0

Callback = Callable[[], None]


@dataclass(frozen=True)
class Contract:
    """One version of a contract with its zone weights."""

    revision: int
    rate: int
    burst: int
    weights: Mapping[str, int]


class Host:
    """One process with its leases, holder and borrower; a restart replaces the whole object."""

    def __init__(self, fleet: Fleet, name: str, incarnation: int) -> None:
        self.name, self.zone, self.incarnation = name, name[0], incarnation
        self.skew = fleet.random.randrange(0, 4096) / 64
        self.paused_until = 0.0
        self.isolated = False
        self.without_platform = False
        self.leases = ZoneLeases(name, incarnation, fleet.slots)
        self.holder = QuotaHolder(self.leases)
        self.shares = ShareChanges()
        self.revisions: dict[Account, int] = {}
        self.borrower = fleet.borrower_type(
            f"{name}.{incarnation}", self.zone, fleet.zones, fleet.random
        )


class Fleet:
    """Event loop of the simulation; `now` is global time, to which each host adds its clock skew.

    The first letter of a host name is its zone. `spent` and `refused` list times by account.
    """

    def __init__(
        self,
        seed: int,
        hosts_by_zone: Mapping[str, int],
        accounts: Mapping[Account, tuple[int, int]],
        borrower_type: type[QuotaBorrower] = QuotaBorrower,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 64.0
        self.zones = tuple(hosts_by_zone)
        self.borrower_type = borrower_type
        weights = {zone: index + 1 for index, zone in enumerate(self.zones)}
        self.contracts = {
            account: Contract(1, rate, burst, weights)
            for account, (rate, burst) in accounts.items()
        }
        self.slots = sorted({slot_of(account.organisation) for account in accounts})
        self.rows: dict[tuple[str, int], StoredSlotRow] = {}
        self.announcements: dict[str, tuple[int, int]] = {}
        self.cut_zones: set[str] = set()
        self.zones_without_platform: set[str] = set()
        self.loss = 0.0
        self.max_delay_s = 4 * TICK_S
        self.pause_rate = 0.0
        self.spent: dict[Account, list[float]] = {account: [] for account in accounts}
        self.refused: dict[Account, list[float]] = {account: [] for account in accounts}
        self._events: list[tuple[float, int, Host | None, Callback]] = []
        self._count = 0
        self.hosts: dict[str, Host] = {}
        for zone, count in hosts_by_zone.items():
            for index in range(count):
                self.start(f"{zone}{index}", 1)

    def start(self, name: str, incarnation: int) -> None:
        """Start a process without state; a running process of this name ends at once."""
        host = self.hosts[name] = Host(self, name, incarnation)
        for account, contract in self.contracts.items():
            self._configure(host, account, contract)
        self._repeat(host, 10.0, self._renew)
        self._repeat(host, 0.5, self._advance_leases)
        self._repeat(host, 1.0, self._gossip)
        self._repeat(host, 0.125, lambda at: self._perform(at, at.borrower.advance(self.clock(at))))

    def change(
        self, account: Account, rate: int, burst: int, weights: Mapping[str, int] | None = None
    ) -> None:
        """Accept a contract; each host applies it within 7 s, possibly after later versions."""
        before = self.contracts[account]
        contract = Contract(before.revision + 1, rate, burst, weights or before.weights)
        self.contracts[account] = contract
        for host in self.hosts.values():
            delay_s = self.random.randrange(0, 7 * 1024) * TICK_S
            self.after(delay_s, host, partial(self._configure, host, account, contract))

    def _configure(self, host: Host, account: Account, contract: Contract) -> None:
        revision, applied = contract.revision, host.revisions.get(account, 0)
        if revision <= applied:
            return
        host.revisions[account] = revision
        shares = contract_shares(account, contract.rate, contract.burst, contract.weights)
        now = self.clock(host)
        complete = revision == applied + 1
        delay_s = host.shares.record_shares(account, revision, shares, complete, now)
        host.holder.set_share(account, shares.get(host.zone, ZoneShare(0, 0)), now, delay_s)
        host.borrower.set_zones(account, list(shares))

    def call(self, name: str, account: Account) -> None:
        """Deliver a call to a host."""
        host = self.hosts[name]
        self._count += 1
        call_id = f"{account.profile}/{account.organisation}/{self._count}"
        self.after(
            0.0,
            host,
            lambda: self._perform(host, host.borrower.spend(account, call_id, self.clock(host))),
        )

    def run(self, length_s: float) -> None:
        """Run all events that are due within `length_s`."""
        until = self.now + length_s
        while self._events and self._events[0][0] <= until:
            self.now, _, host, callback = heapq.heappop(self._events)
            if host is not None and self.hosts[host.name] is not host:
                continue
            if host is not None and self.random.random() < self.pause_rate:
                host.paused_until = self.now + self.random.randrange(1, 2048) * TICK_S
            if host is not None and host.paused_until > self.now:
                self.after(host.paused_until - self.now, host, callback)
            else:
                callback()
        self.now = until

    def clock(self, host: Host) -> float:
        """Return the time of a host's monotonic clock."""
        return self.now + host.skew

    def after(self, delay_s: float, host: Host | None, callback: Callback) -> None:
        """Schedule `callback` after a delay, at the platform or at a host that is not paused."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._count, host, callback))

    def _repeat(self, host: Host, period_s: float, callback: Callable[[Host], None]) -> None:
        def repeat() -> None:
            callback(host)
            self.after(period_s, host, repeat)

        self.after(self.random.randrange(0, 256) * TICK_S, host, repeat)

    def _random_delay_s(self) -> float:
        return self.random.randrange(1, int(self.max_delay_s / TICK_S) + 1) * TICK_S

    def _connected(self, sender: Host, receiver: Host | None) -> bool:
        if sender.isolated or (receiver is not None and receiver.isolated):
            return False
        if receiver is None:
            return not sender.without_platform and sender.zone not in self.zones_without_platform
        return sender.zone == receiver.zone or not {sender.zone, receiver.zone} & self.cut_zones

    def _arrives(self, sender: Host, receiver: Host | None) -> bool:
        return self._connected(sender, receiver) and self.random.random() >= self.loss

    def _send(self, sender: Host, receiver: Host, callback: Callback) -> None:
        """Deliver a message once, twice or never; the sender may pause before the transmission."""

        def transmit() -> None:
            for _ in range(2 if self.random.random() < self.loss else 1):
                if self._arrives(sender, receiver):
                    self.after(self._random_delay_s(), receiver, callback)

        self.after(0.0, sender, transmit)

    def _call_platform(
        self,
        host: Host,
        request: Callable[[], Any],
        on_response: Callable[[Any], None],
        on_lost: Callback,
    ) -> None:
        """Run a request at the platform; the request or its response may be lost or late."""

        def serve() -> None:
            result = request() if self._arrives(host, None) else self
            if result is self or not self._arrives(host, None):
                self.after(PLATFORM_TIMEOUT_S, host, on_lost)
            else:
                self.after(self._random_delay_s(), host, lambda: on_response(result))

        self.after(0.0, host, lambda: self.after(self._random_delay_s(), None, serve))

    def _peers(self, host: Host) -> list[Host]:
        return [peer for peer in self.hosts.values() if peer.zone == host.zone and peer is not host]

    def _announce(self, host: Host) -> None:
        version = self.announcements.get(host.name, (0, 0))[1]
        self.announcements[host.name] = (host.incarnation, version + 1)

    def _renew(self, host: Host) -> None:
        requested_at = self.clock(host)
        self._call_platform(
            host,
            partial(self._announce, host),
            lambda _: host.leases.on_renewed(requested_at, self.clock(host)),
            lambda: None,
        )

    def _advance_leases(self, host: Host) -> None:
        live = [peer.name for peer in self._peers(host) if not peer.isolated]
        for action in host.leases.advance(live, self.clock(host)):
            if isinstance(action, ReadAnnouncement):
                self._read_announcement(host, action.node)
            else:
                self._access_slot(host, action)

    def _read_announcement(self, host: Host, node: str) -> None:
        requested_at = self.clock(host)
        self._call_platform(
            host,
            lambda: self.announcements.get(node, (0, 0)),
            lambda row: host.leases.on_announcement(
                node, row[0], row[1], requested_at, self.clock(host)
            ),
            lambda: None,
        )

    def _access_slot(self, host: Host, action: ReadSlot | WriteSlot) -> None:
        def request() -> Any:
            key = (host.zone, action.slot)
            current = self.rows.get(key)
            version = current.version if current else 0
            if isinstance(action, ReadSlot) or version != action.expected_version:
                return current
            self.rows[key] = StoredSlotRow(version + 1, action.row)
            return version + 1

        def on_response(result: Any) -> None:
            if isinstance(result, int):
                host.leases.on_written(action.slot, result, self.clock(host))
            else:
                host.leases.on_row(action.slot, result, self.clock(host))

        self._call_platform(
            host, request, on_response, lambda: host.leases.on_response_lost(action.slot)
        )

    def _gossip(self, host: Host) -> None:
        peers = self._peers(host)
        if not peers:
            return
        peer = self.random.choice(peers)
        if peer.incarnation > 1 and self._connected(host, peer):
            host.leases.on_connection_refused(peer.name, peer.incarnation - 1)
        age_s = host.leases.zone_contact_age_s(self.clock(host))

        def receive() -> None:
            self._receive_gossip(peer, age_s)
            peer_age_s = peer.leases.zone_contact_age_s(self.clock(peer))
            self._send(peer, host, lambda: self._receive_gossip(host, peer_age_s))

        self._send(host, peer, receive)

    def _receive_gossip(self, host: Host, age_s: float | None) -> None:
        if age_s is not None:
            host.leases.on_zone_contact(age_s, self.clock(host))
        host.leases.on_peer_message(self.clock(host))

    def _perform(self, host: Host, actions: list[BorrowerAction]) -> None:
        for action in actions:
            if isinstance(action, SendTokenRequest):
                self._ask_holder(host, action)
            elif isinstance(action, SendSettlements):
                self._settle(host, action)
            elif isinstance(action, CallAdmitted | CallRefused):
                profile, organisation, _ = action.call_id.split("/")
                times = self.spent if isinstance(action, CallAdmitted) else self.refused
                times[Account(profile, organisation)].append(self.now)

    def holder_of(self, zone: str, account: Account) -> Host | None:
        """Return the host in the slot row of an account in a zone; None if there is none."""
        stored = self.rows.get((zone, slot_of(account.organisation)))
        return self.hosts.get(stored.row.holder) if stored else None

    def _settle(self, host: Host, action: SendSettlements) -> None:
        holder = self.holder_of(action.zone, action.account)
        if holder is not None:
            self._send(
                host,
                holder,
                lambda: holder.holder.settle(
                    action.account, action.settlements, self.clock(holder)
                ),
            )

    def _ask_holder(self, host: Host, action: SendTokenRequest) -> None:
        holder = self.holder_of(action.zone, action.ask.account)
        request_id = action.ask.request_id
        if holder is None:
            unreachable = host.borrower.on_holder_unreachable
            self.after(
                TICK_S, host, lambda: self._perform(host, unreachable(request_id, self.clock(host)))
            )
            return

        def receive() -> None:
            reply = holder.holder.handle_request(action.ask, self.clock(holder))
            ready_at = reply.ready_at if isinstance(reply, TokensGranted) else 0.0
            delay_s = ceil(max(0.0, ready_at - self.clock(holder)) / TICK_S) * TICK_S
            send = partial(self._send, holder, host, partial(self._deliver_reply, host, reply))
            self.after(delay_s, holder, send)

        self._send(host, holder, receive)

    def _deliver_reply(self, host: Host, reply: Any) -> None:
        now, borrower = self.clock(host), host.borrower
        if isinstance(reply, TokensGranted):
            self._perform(host, borrower.on_granted(reply.request_id, reply.tokens, now))
        else:
            self._perform(host, borrower.on_denied(reply.request_id, reply.retry_after_s, now))
