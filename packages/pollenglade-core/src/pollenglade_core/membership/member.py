"""Members of the fleet and the order of what is known about them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b


class MemberState(StrEnum):
    """State of a node; a later one takes precedence at equal incarnation and sequence."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {state: index for index, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class ServiceOffer:
    """A service that has a ready target at a node; `slots` is announced and only a hint."""

    service: str
    slots: int


@dataclass(frozen=True, slots=True)
class Member:
    """What is known about a node.

    Only the node itself raises `incarnation` (each start) and `sequence` (each change of its own
    data); others change `state` to suspect or dead. `quota_slots` is a bit mask of the slots held.
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
        """Return whether the node is taken to run; a suspect one is until it is confirmed dead."""
        return self.state is not MemberState.DEAD

    def supersedes(self, other: Member) -> bool:
        """Return whether this is later knowledge about the same node."""
        return self._order() > other._order()

    def fingerprint(self) -> int:
        """Return 64 bits that differ between any two versions of any members."""
        text = f"{self.node}\n{self.incarnation}\n{self.sequence}\n{self.state}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")

    def _order(self) -> tuple[int, int, int]:
        return self.incarnation, self.sequence, _PRECEDENCE[self.state]
