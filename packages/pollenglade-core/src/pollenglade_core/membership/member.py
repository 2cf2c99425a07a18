"""Members of the fleet, and the order of versions of a member."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b


class MemberState(StrEnum):
    """State of a node.

    Of two versions with equal incarnation and sequence, the one with the later state in this list
    takes precedence.
    """

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE_BY_STATE = {state: index for index, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class ServiceOffer:
    """A service with a ready target at a node; the announced `slots` are only a hint."""

    service: str
    slots: int


@dataclass(frozen=True, slots=True)
class Member:
    """One version of the information about a node.

    Only the node itself increases `incarnation`, at each start, and `sequence`, with each change of
    its data. Other nodes only change `state` to suspect or dead. `quota_slots` is a bit mask of the
    quota slots that the node holds.
    """

    node: str
    incarnation: int
    zone: str
    region: str
    host: str
    link_address: str
    control_address: str
    offers: tuple[ServiceOffer, ...] = ()
    state: MemberState = MemberState.ALIVE
    sequence: int = 0
    quota_slots: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether the node is not known to be dead; a suspect node counts as live."""
        return self.state is not MemberState.DEAD

    def supersedes(self, other: Member) -> bool:
        """Return whether this version of the member is newer than the other."""
        return self._version() > other._version()

    def version_hash(self) -> int:
        """Return a 64-bit hash of the node name and the version of this member."""
        text = f"{self.node}\n{self.incarnation}\n{self.sequence}\n{self.state}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")

    def _version(self) -> tuple[int, int, int]:
        return self.incarnation, self.sequence, _PRECEDENCE_BY_STATE[self.state]
