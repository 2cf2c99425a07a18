"""Rows of the platform that decide who holds the quota slots of a zone."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

SLOT_COUNT = 32
"""Quota slots in each zone."""


def hash64(text: str) -> int:
    """Return a hash that is equal in all processes and releases."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def slot_of(organisation: str) -> int:
    """Return the slot of an organisation; equal in all processes and releases."""
    return hash64(organisation) % SLOT_COUNT


def preferred_holder(slot: int, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest rendezvous hash for a slot; None without nodes.

    When a node joins or leaves, only the slots that it gains or loses change their preference.
    """
    return max(nodes, key=lambda node: (hash64(f"{slot}/{node}"), node), default=None)


@dataclass(frozen=True, slots=True)
class SlotRow:
    """Content of the row `quota/<zone>/<slot>`; an empty holder means released.

    `attempt` identifies the write, so that a write whose answer was lost can be recognised.
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
    """Read the announcement row of a node of the own zone."""

    node: str


LeaseAction = ReadSlot | WriteSlot | ReadAnnouncement
