"""Member table that converges by merging the entries of peers, with a digest for each zone."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace

from .member import Member
from .member import MemberState

DEAD_MEMBER_RETENTION_S = 7_200.0
"""Time for which a dead member stays in the table.

Late gossip must not bring a dead member back. After a partition, which can last an hour, the two
sides find each other again by their dead members.
"""


class MemberTable:
    """All members that one node knows, with a digest for each zone that each change updates.

    Times (`now`) are in seconds on a monotonic clock. Digests exclude dead members: nodes
    remove them at different times, so digests that include them could differ forever.
    """

    def __init__(self, local: Member) -> None:
        self._local_node = local.node
        self._members_by_node: dict[str, Member] = {}
        self._died_at_by_node: dict[str, float] = {}
        self._digest_by_zone: dict[str, int] = {}
        self._store(local)

    @property
    def local(self) -> Member:
        """The member entry of this node."""
        return self._members_by_node[self._local_node]

    def get(self, node: str) -> Member | None:
        """Return the member with a node name, or None."""
        return self._members_by_node.get(node)

    def live_members(self, zone: str | None = None) -> list[Member]:
        """Return the live members of one zone or of all zones, including this node."""
        return [
            member
            for member in self._members_by_node.values()
            if member.is_live and zone in (None, member.zone)
        ]

    def dead_members(self) -> list[Member]:
        """Return the dead members that are still in the table."""
        return [self._members_by_node[node] for node in self._died_at_by_node]

    def digests(self) -> dict[str, int]:
        """Return a 64-bit digest of the live members of each zone that has any."""
        return {zone: value for zone, value in self._digest_by_zone.items() if value}

    def differing_members(self, digests: Mapping[str, int]) -> list[Member]:
        """Return all members of the zones whose digest differs from that of a peer."""
        local_digests = self.digests()
        zones = {
            zone
            for zone in {*local_digests, *digests}
            if local_digests.get(zone, 0) != digests.get(zone, 0)
        }
        return [member for member in self._members_by_node.values() if member.zone in zones]

    def merge(self, members: Iterable[Member], now: float) -> list[Member]:
        """Merge the members of a peer and return the entries that changed."""
        changed = [entry for member in members if (entry := self._merge(member, now))]
        return changed

    def update_local(self, local: Member) -> Member:
        """Replace the entry of this node and raise its sequence above all known ones; return it."""
        entry = replace(local, sequence=self.local.sequence + 1)
        self._store(entry)
        return entry

    def mark_suspect(self, node: str, incarnation: int, sequence: int, now: float) -> bool:
        """Mark a member as suspect unless its entry is newer; return whether the entry changed."""
        return self._set_state(MemberState.SUSPECT, node, incarnation, sequence, now)

    def mark_dead(self, node: str, incarnation: int, sequence: int, now: float) -> bool:
        """Mark a member as dead unless its entry is newer; return whether the entry changed."""
        return self._set_state(MemberState.DEAD, node, incarnation, sequence, now)

    def remove_expired(self, now: float) -> None:
        """Remove the members that died more than `DEAD_MEMBER_RETENTION_S` ago."""
        for node, died_at in list(self._died_at_by_node.items()):
            if now - died_at >= DEAD_MEMBER_RETENTION_S:
                del self._died_at_by_node[node]
                del self._members_by_node[node]

    def _set_state(
        self, state: MemberState, node: str, incarnation: int, sequence: int, now: float
    ) -> bool:
        current = self._members_by_node.get(node)
        if current is None or (current.incarnation, current.sequence) != (incarnation, sequence):
            return False
        return self._merge(replace(current, state=state), now) is not None

    def _merge(self, member: Member, now: float) -> Member | None:
        current = self._members_by_node.get(member.node)
        if current is None and not member.is_live:
            return None
        if current is not None and not member.supersedes(current):
            return None
        if member.node == self._local_node:
            return self._refute(member)
        self._store(member)
        if member.is_live:
            self._died_at_by_node.pop(member.node, None)
        else:
            self._died_at_by_node[member.node] = now
        return member

    def _refute(self, disputed: Member) -> Member | None:
        # A later incarnation is a newer process of this node, whose entry must not be refuted.
        if disputed.incarnation > self.local.incarnation:
            return None
        local = replace(self.local, sequence=disputed.sequence + 1)
        self._store(local)
        return local

    def _store(self, member: Member) -> None:
        for entry in (self._members_by_node.get(member.node), member):
            if entry is not None and entry.is_live:
                digest = self._digest_by_zone.get(entry.zone, 0)
                self._digest_by_zone[entry.zone] = digest ^ entry.version_hash()
        self._members_by_node[member.node] = member
