"""What nodes have learnt about the call trees of routes, as it is kept and handed on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .tree_cost import Usage

CHANGE = 0.25
"""Part by which a figure must have changed for a document to be worth another write."""


@dataclass(frozen=True, slots=True)
class LearntTree:
    """Time of an undisturbed request in seconds, and its mean usage by service."""

    residence_s: float
    usage: Mapping[str, Usage]

    def to_wire(self) -> dict[str, Any]:
        """Return the tree as plain values."""
        usage = {name: [item.calls, item.slot_s] for name, item in self.usage.items()}
        return {"residence_s": self.residence_s, "usage": usage}

    @classmethod
    def from_wire(cls, value: object) -> LearntTree | None:
        """Decode a tree; None where a field is missing or has another type."""
        match value:
            case {"residence_s": float() | int() as residence_s, "usage": dict(items)}:
                usage = {name: _usage(item) for name, item in items.items()}
                whole = {name: item for name, item in usage.items() if item is not None}
                if residence_s > 0 and whole and len(whole) == len(usage):
                    return cls(float(residence_s), whole)
        return None

    def differs_from(self, other: LearntTree | None) -> bool:
        """Whether another tree is missing or gives a clearly different picture."""
        if other is None or self.usage.keys() != other.usage.keys():
            return True
        pairs = [(self.residence_s, other.residence_s)]
        pairs += [(item.slot_s, other.usage[name].slot_s) for name, item in self.usage.items()]
        return any(abs(new - old) > CHANGE * max(new, old) for new, old in pairs)


def _usage(item: object) -> Usage | None:
    match item:
        case [float() | int() as calls, float() | int() as slot_s] if calls >= 0 and slot_s >= 0:
            return Usage(float(calls), float(slot_s))
    return None
