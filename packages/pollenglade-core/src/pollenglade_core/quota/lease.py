"""Leases of one node on the quota slots of its zone."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator

from .lease_evidence import AnnouncementWatch
from .lease_evidence import RenewalEvidence
from .lease_rows import SLOT_COUNT
from .lease_rows import LeaseAction
from .lease_rows import ReadAnnouncement
from .lease_rows import StoredSlotRow
from .lease_rows import preferred_holder
from .quota_holder import SlotHold
from .slot_lease import POLL_S
from .slot_lease import SlotLease


class ZoneLeases:
    """Rules of one process for claiming, keeping and releasing slots.

    The node writes its announcement every 10 s and reports each success by `on_renewed`. It opens
    its listener before its first `advance` and releases its slots before it closes the listener, so
    a refused connection means that the process grants no more. Events of a process that was paused
    are judged by the time at which it resumes: after a pause of 20 s since the last renewal
    nothing is granted until the node has renewed and has confirmed each slot by a write.
    """

    def __init__(
        self, node: str, incarnation: int, slots: Collection[int] = range(SLOT_COUNT)
    ) -> None:
        self._node = node
        self._evidence = RenewalEvidence()
        self._leases_by_slot = {slot: SlotLease(slot, node, incarnation) for slot in slots}
        self._watches_by_node: dict[str, AnnouncementWatch] = {}
        self._refused: set[tuple[str, int]] = set()
        self._watch_at = 0.0
        self._ranked_nodes: frozenset[str] = frozenset()
        self._ranked_by_slot: dict[int, tuple[str | None, str | None]] = {}

    def hold(self, slot: int, now: float) -> SlotHold | None:
        """Return the hold on a slot; None while this node must not grant from it."""
        if not self._evidence.protects(now):
            return None
        return self._leases_by_slot[slot].hold(self._evidence.generation, now)

    def holder_of(self, slot: int) -> str:
        """Return the node that the row of a slot named when it was last seen, or an empty text."""
        row = self._leases_by_slot[slot].row
        return row.holder if row is not None else ""

    def is_settled(self, live_nodes: Collection[str], now: float) -> bool:
        """Return whether each slot that falls to this node is granted by it or by another node."""
        candidates = {*live_nodes, self._node}
        return all(
            self._is_granted(slot, live_nodes, now)
            for slot in self._leases_by_slot
            if preferred_holder(slot, candidates) == self._node
        )

    def _is_granted(self, slot: int, live_nodes: Collection[str], now: float) -> bool:
        holder = self.holder_of(slot)
        if holder == self._node:
            return self.hold(slot, now) is not None
        return holder in live_nodes

    def held_slots(self, now: float) -> list[int]:
        """Return the slots that this node may grant from, to be announced to borrowers."""
        return [slot for slot in self._leases_by_slot if self.hold(slot, now) is not None]

    def advance(self, live_nodes: Collection[str], now: float) -> list[LeaseAction]:
        """Return the requests that are due; `live_nodes` are the live members of the zone."""
        generation = self._evidence.generation
        actions: list[LeaseAction] = []
        for lease in self._leases_by_slot.values():
            action = lease.maintain(generation)
            if action is not None:
                actions.append(action)
        if not self._evidence.may_claim(now):
            return actions
        self._rank(frozenset({*live_nodes, self._node}))
        watched: set[str] = set()
        for slot, lease in self._leases_by_slot.items():
            first, second = self._ranked_by_slot[slot]
            if lease.is_own or self._node not in (first, second):
                continue
            # The second choice steps in for a first choice that holds the slot and has lost the
            # platform, although gossip still shows it as live.
            may_write = first == self._node or (lease.row and lease.row.holder) == first
            action = lease.claim(generation, may_write, self._is_gone(lease, now), now)
            if action is not None:
                actions.append(action)
            if lease.row is not None and lease.row.holder:
                watched.add(lease.row.holder)
        return [*actions, *self._watch(watched, now)]

    def release_all(self) -> None:
        """Stop granting at once; `advance` then returns the writes that release the rows."""
        for lease in self._leases_by_slot.values():
            lease.release()

    def is_released(self) -> bool:
        """Return whether no row can name this process any more."""
        return not any(lease.may_be_own for lease in self._leases_by_slot.values())

    def on_renewed(self, requested_at: float, now: float) -> None:
        """Take a successful write of the own announcement."""
        self._evidence.on_renewed(requested_at, now)
        self._evidence.on_zone_contact(0.0, now)

    def on_peer_heard(self, now: float) -> None:
        """Take any message from a peer of the own zone."""
        self._evidence.on_peer_heard(now)

    def on_zone_contact(self, age_s: float, now: float) -> None:
        """Take the age of the latest platform contact of the zone from gossip."""
        self._evidence.on_zone_contact(age_s, now)

    def zone_contact_age_s(self, now: float) -> float | None:
        """Return the age of the zone's latest known platform contact, to be sent by gossip."""
        return self._evidence.zone_contact_age_s(now)

    def on_connection_refused(self, node: str, incarnation: int) -> None:
        """Take the refusal of a connection by the host of a process: it has ended."""
        self._refused.add((node, incarnation))

    def on_row(self, slot: int, stored: StoredSlotRow | None, now: float) -> None:
        """Take the answer to a read of a slot row, or the current row of a conflict."""
        self._evidence.on_zone_contact(0.0, now)
        self._leases_by_slot[slot].on_row(stored, now)

    def on_written(self, slot: int, version: int, now: float) -> None:
        """Take the success of a write of a slot row."""
        self._evidence.on_zone_contact(0.0, now)
        self._leases_by_slot[slot].on_written(version, now)

    def on_lost(self, slot: int) -> None:
        """Take the loss of the answer to a read or write of a slot row."""
        self._leases_by_slot[slot].on_lost()

    def on_announcement(
        self, node: str, incarnation: int, version: int, requested_at: float, now: float
    ) -> None:
        """Take a read of the announcement of another node; version 0 if it does not exist."""
        self._evidence.on_zone_contact(0.0, now)
        watch = self._watches_by_node.get(node)
        if watch is not None:
            watch.on_read(version, incarnation, requested_at, now)

    def _rank(self, nodes: frozenset[str]) -> None:
        # Hashing all members for all slots costs milliseconds in a large zone.
        if nodes == self._ranked_nodes:
            return
        self._ranked_nodes = nodes
        for slot in self._leases_by_slot:
            first = preferred_holder(slot, nodes)
            second = preferred_holder(slot, nodes - {first})
            self._ranked_by_slot[slot] = (first, second)

    def _is_gone(self, lease: SlotLease, now: float) -> bool:
        row = lease.row
        if row is None or not row.holder:
            return False
        if (row.holder, row.incarnation) in self._refused:
            return True
        watch = self._watches_by_node.get(row.holder)
        if watch is None:
            return False
        # An announcement by a later process of the node shows that the former one has ended.
        return watch.incarnation > row.incarnation or watch.has_lapsed(now)

    def _watch(self, nodes: set[str], now: float) -> Iterator[ReadAnnouncement]:
        self._watches_by_node = {
            node: self._watches_by_node.get(node) or AnnouncementWatch() for node in nodes
        }
        if now < self._watch_at:
            return
        self._watch_at = now + POLL_S
        yield from map(ReadAnnouncement, sorted(nodes))
