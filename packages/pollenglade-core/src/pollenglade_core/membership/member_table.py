"""Table of members that converges by merging, with a digest for each zone."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace

from .member import Member
from .member import MemberState

TOMBSTONE_S = 7_200.0
"""How long a dead member is remembered.

Late gossip must not bring it back, and after a partition, which can last an hour, the two sides
find each other by their dead members.
"""


class MemberTable:
    """All members known to one node, by name. A digest is updated with each change.

    Dead members are not part of a digest: tables that forget them at different times would
    otherwise differ for ever.
    """

    def __init__(self, own: Member) -> None:
        self._own_node = own.node
        self._members_by_node: dict[str, Member] = {}
        self._dead_since_by_node: dict[str, float] = {}
        self._digest_by_zone: dict[str, int] = {}
        self._put(own)

    @property
    def own(self) -> Member:
        """The entry of this node."""
        return self._members_by_node[self._own_node]

    def get(self, node: str) -> Member | None:
        """Return a member by name."""
        return self._members_by_node.get(node)

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the live members, this node included, of one zone or of all."""
        return [
            member
            for member in self._members_by_node.values()
            if member.is_live and zone in (None, member.zone)
        ]

    def dead(self) -> list[Member]:
        """Return the members that are remembered as dead."""
        return [self._members_by_node[node] for node in self._dead_since_by_node]

    def digests(self) -> dict[str, int]:
        """Return a 64-bit digest of the live members for each zone that has any."""
        return {zone: value for zone, value in self._digest_by_zone.items() if value}

    def delta(self, digests: Mapping[str, int]) -> list[Member]:
        """Return the members of the zones whose digest differs from a peer's."""
        own = self.digests()
        zones = {zone for zone in {*own, *digests} if own.get(zone, 0) != digests.get(zone, 0)}
        return [member for member in self._members_by_node.values() if member.zone in zones]

    def merge(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take what a peer knows and return the entries that changed."""
        changed = [entry for member in members if (entry := self._merge(member, now))]
        return changed

    def update_own(self, own: Member) -> Member:
        """Change the own entry; its sequence rises above all that was known."""
        entry = replace(own, sequence=self.own.sequence + 1)
        self._put(entry)
        return entry

    def suspect(self, node: str, incarnation: int, sequence: int, now: float) -> bool:
        """Mark a member as suspect unless later news about it is known."""
        return self._mark(MemberState.SUSPECT, node, incarnation, sequence, now)

    def confirm_dead(self, node: str, incarnation: int, sequence: int, now: float) -> bool:
        """Mark a member as dead unless later news about it is known."""
        return self._mark(MemberState.DEAD, node, incarnation, sequence, now)

    def expire(self, now: float) -> None:
        """Forget members that have been dead for the tombstone time."""
        for node, since in list(self._dead_since_by_node.items()):
            if now - since >= TOMBSTONE_S:
                del self._dead_since_by_node[node]
                del self._members_by_node[node]

    def _mark(
        self, state: MemberState, node: str, incarnation: int, sequence: int, now: float
    ) -> bool:
        known = self._members_by_node.get(node)
        if known is None or (known.incarnation, known.sequence) != (incarnation, sequence):
            return False
        return self._merge(replace(known, state=state), now) is not None

    def _merge(self, member: Member, now: float) -> Member | None:
        known = self._members_by_node.get(member.node)
        if known is None and not member.is_live:
            return None
        if known is not None and not member.supersedes(known):
            return None
        if member.node == self._own_node:
            return self._refute(member)
        self._put(member)
        if member.is_live:
            self._dead_since_by_node.pop(member.node, None)
        else:
            self._dead_since_by_node[member.node] = now
        return member

    def _refute(self, claim: Member) -> Member | None:
        # A later incarnation belongs to a successor of this process, which must not be disputed.
        if claim.incarnation > self.own.incarnation:
            return None
        own = replace(self.own, sequence=claim.sequence + 1)
        self._put(own)
        return own

    def _put(self, member: Member) -> None:
        for entry in (self._members_by_node.get(member.node), member):
            if entry is not None and entry.is_live:
                digest = self._digest_by_zone.get(entry.zone, 0)
                self._digest_by_zone[entry.zone] = digest ^ entry.fingerprint()
        self._members_by_node[member.node] = member
