"""Leases that one node holds on the quota slots of its zone."""

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
from .quota_holder import GrantingRight
from .slot_lease import SLOT_POLL_INTERVAL_S
from .slot_lease import SlotLease


class ZoneLeases:
    """Claims, retains and releases the slots of one process.

    The node writes its announcement every 10 s and reports each success by `on_renewed`. It opens
    its listener before its first `advance` and releases its slots before it closes the listener, so
    a refused connection means that the process no longer grants. After a pause, events are handled
    with the time at which the process resumes. From 20 s after the last renewal the node may grant
    only while it hears from peers in its zone and knows of no platform contact of the zone later
    than 12 s after that renewal. After the next renewal it must then confirm each slot by a write
    before it grants from it.
    """

    def __init__(
        self, node: str, incarnation: int, slots: Collection[int] = range(SLOT_COUNT)
    ) -> None:
        self._node = node
        self._evidence = RenewalEvidence()
        self._leases_by_slot = {slot: SlotLease(slot, node, incarnation) for slot in slots}
        self._watches_by_node: dict[str, AnnouncementWatch] = {}
        self._ended_processes: set[tuple[str, int]] = set()
        self._next_watch_at = 0.0
        self._ranked_nodes: frozenset[str] = frozenset()
        self._ranked_by_slot: dict[int, tuple[str | None, str | None]] = {}

    def granting_right(self, slot: int, now: float) -> GrantingRight | None:
        """Return the right to grant from a slot; None while this node must not grant from it."""
        if not self._evidence.excludes_takeover(now):
            return None
        return self._leases_by_slot[slot].granting_right(self._evidence.generation, now)

    def holder_of(self, slot: int) -> str:
        """Return the holder in the last known row of a slot; an empty string if there is none."""
        row = self._leases_by_slot[slot].row
        return row.holder if row is not None else ""

    def has_holders_for_preferred_slots(self, live_nodes: Collection[str], now: float) -> bool:
        """Return whether each slot whose preferred holder is this node has one that can serve it.

        The holder is either this node, if it may grant from the slot, or another live node.
        """
        candidates = {*live_nodes, self._node}
        return all(
            self._has_live_holder(slot, live_nodes, now)
            for slot in self._leases_by_slot
            if preferred_holder(slot, candidates) == self._node
        )

    def _has_live_holder(self, slot: int, live_nodes: Collection[str], now: float) -> bool:
        holder = self.holder_of(slot)
        if holder == self._node:
            return self.granting_right(slot, now) is not None
        return holder in live_nodes

    def held_slots(self, now: float) -> list[int]:
        """Return the slots that this node may grant from and announces to borrowers."""
        return [slot for slot in self._leases_by_slot if self.granting_right(slot, now) is not None]

    def advance(self, live_nodes: Collection[str], now: float) -> list[LeaseAction]:
        """Return the platform requests due; `live_nodes` are the live members of the zone."""
        generation = self._evidence.generation
        actions: list[LeaseAction] = []
        for lease in self._leases_by_slot.values():
            action = lease.maintain(generation)
            if action is not None:
                actions.append(action)
        if not self._evidence.may_claim(now):
            return actions
        self._rank_candidates(frozenset({*live_nodes, self._node}))
        watched_nodes: set[str] = set()
        for slot, lease in self._leases_by_slot.items():
            first, second = self._ranked_by_slot[slot]
            if lease.names_this_process or self._node not in (first, second):
                continue
            # The second candidate replaces a first candidate that holds the slot but has lost the
            # platform, although gossip still shows it as live.
            may_write = first == self._node or (lease.row and lease.row.holder) == first
            action = lease.claim(generation, may_write, self._holder_cannot_grant(lease, now), now)
            if action is not None:
                actions.append(action)
            if lease.row is not None and lease.row.holder:
                watched_nodes.add(lease.row.holder)
        return [*actions, *self._read_announcements(watched_nodes, now)]

    def release_all(self) -> None:
        """Stop granting at once; `advance` then returns the writes that release the rows."""
        for lease in self._leases_by_slot.values():
            lease.release()

    def is_released(self) -> bool:
        """Return whether no slot row can still name this process."""
        return not any(lease.may_name_this_process for lease in self._leases_by_slot.values())

    def on_renewed(self, requested_at: float, now: float) -> None:
        """Record a successful write of this node's announcement."""
        self._evidence.on_renewed(requested_at, now)
        self._evidence.on_zone_contact(0.0, now)

    def on_peer_message(self, now: float) -> None:
        """Record a message of any kind from a peer in the local zone."""
        self._evidence.on_peer_message(now)

    def on_zone_contact(self, age_s: float, now: float) -> None:
        """Record the age of the zone's latest platform contact, as received by gossip."""
        self._evidence.on_zone_contact(age_s, now)

    def zone_contact_age_s(self, now: float) -> float | None:
        """Return the age of the zone's latest platform contact for gossip; None if unknown."""
        return self._evidence.zone_contact_age_s(now)

    def on_connection_refused(self, node: str, incarnation: int) -> None:
        """Record that a process has ended, because its host refused a connection to it."""
        self._ended_processes.add((node, incarnation))

    def on_row(self, slot: int, stored: StoredSlotRow | None, now: float) -> None:
        """Handle the slot row from a read or a conflicting write; None if it does not exist."""
        self._evidence.on_zone_contact(0.0, now)
        self._leases_by_slot[slot].on_row(stored, now)

    def on_written(self, slot: int, version: int, now: float) -> None:
        """Handle a successful write of a slot row."""
        self._evidence.on_zone_contact(0.0, now)
        self._leases_by_slot[slot].on_written(version, now)

    def on_response_lost(self, slot: int) -> None:
        """Handle a read or write of a slot row whose response was lost."""
        self._leases_by_slot[slot].on_response_lost()

    def on_announcement(
        self, node: str, incarnation: int, version: int, requested_at: float, now: float
    ) -> None:
        """Handle a read of another node's announcement; version 0 if the row does not exist."""
        self._evidence.on_zone_contact(0.0, now)
        watch = self._watches_by_node.get(node)
        if watch is not None:
            watch.on_read(version, incarnation, requested_at, now)

    def _rank_candidates(self, nodes: frozenset[str]) -> None:
        # Cached, because hashing all members for all slots takes milliseconds in a large zone.
        if nodes == self._ranked_nodes:
            return
        self._ranked_nodes = nodes
        for slot in self._leases_by_slot:
            first = preferred_holder(slot, nodes)
            second = preferred_holder(slot, nodes - {first})
            self._ranked_by_slot[slot] = (first, second)

    def _holder_cannot_grant(self, lease: SlotLease, now: float) -> bool:
        row = lease.row
        if row is None or not row.holder:
            return False
        if (row.holder, row.incarnation) in self._ended_processes:
            return True
        watch = self._watches_by_node.get(row.holder)
        if watch is None:
            return False
        # An announcement with a later incarnation shows that the former process has ended.
        return watch.incarnation > row.incarnation or watch.has_lapsed(now)

    def _read_announcements(self, nodes: set[str], now: float) -> Iterator[ReadAnnouncement]:
        self._watches_by_node = {
            node: self._watches_by_node.get(node) or AnnouncementWatch() for node in nodes
        }
        if now < self._next_watch_at:
            return
        self._next_watch_at = now + SLOT_POLL_INTERVAL_S
        yield from map(ReadAnnouncement, sorted(nodes))
