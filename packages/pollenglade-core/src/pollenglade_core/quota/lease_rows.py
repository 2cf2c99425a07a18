"""Platform rows that determine the holders of a zone's quota slots."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

SLOT_COUNT = 32
"""Number of quota slots in each zone."""


def hash64(text: str) -> int:
    """Return a 64-bit hash that is the same in all processes and releases."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def slot_of(organisation: str) -> int:
    """Return the slot of an organisation; it is the same in all processes and releases."""
    return hash64(organisation) % SLOT_COUNT


def preferred_holder(slot: int, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest rendezvous hash for a slot; None if there are no nodes.

    When a node joins or leaves, only the slots that it gains or loses get another holder.
    """
    return max(nodes, key=lambda node: (hash64(f"{slot}/{node}"), node), default=None)


@dataclass(frozen=True, slots=True)
class SlotRow:
    """Content of the row `quota/<zone>/<slot>`; an empty holder means that the slot is released.

    `attempt` identifies the write, so that a later read can recognise a write without a response.
    """

    holder: str
    incarnation: int
    epoch: int
    attempt: str


@dataclass(frozen=True, slots=True)
class StoredSlotRow:
    """A slot row with its platform version; version 0 means that the row does not exist."""

    version: int
    row: SlotRow


ABSENT_ROW = StoredSlotRow(0, SlotRow("", 0, 0, ""))


@dataclass(frozen=True, slots=True)
class ReadSlot:
    """Read the row of a slot."""

    slot: int


@dataclass(frozen=True, slots=True)
class WriteSlot:
    """Write the row of a slot if it still has `expected_version`."""

    slot: int
    expected_version: int
    row: SlotRow


@dataclass(frozen=True, slots=True)
class ReadAnnouncement:
    """Read the announcement row of a node in the local zone."""

    node: str


LeaseAction = ReadSlot | WriteSlot | ReadAnnouncement
