"""Serialised form of what nodes have learnt about the call trees of routes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..numbers import MAX_SECONDS
from ..numbers import is_in_range
from .tree_cost import Usage

MIN_RELATIVE_CHANGE = 0.25
"""Relative change of a value above which the stored document is written again."""


@dataclass(frozen=True, slots=True)
class LearntTree:
    """Mean time in seconds of a request that does not wait in queues, and its usage by service."""

    residence_s: float
    usage: Mapping[str, Usage]

    def to_wire(self) -> dict[str, Any]:
        """Return the tree as plain values."""
        usage = {name: [item.calls, item.slot_s] for name, item in self.usage.items()}
        return {"residence_s": self.residence_s, "usage": usage}

    @classmethod
    def from_wire(cls, value: object) -> LearntTree | None:
        """Decode a tree; return None if a field is missing or invalid."""
        match value:
            case {"residence_s": float() | int() as residence_s, "usage": dict(wire_usage)}:
                usage = {name: _usage(item) for name, item in wire_usage.items()}
                valid_usage = {name: item for name, item in usage.items() if item is not None}
                is_time = residence_s > 0 and is_in_range(residence_s, 0.0, MAX_SECONDS)
                if is_time and valid_usage and len(valid_usage) == len(usage):
                    return cls(float(residence_s), valid_usage)
        return None

    def needs_update(self, other: LearntTree | None) -> bool:
        """Return whether a tree is worth storing in place of `other`.

        This is the case if `other` is None, has other services or differs in its residence time or
        in a slot time by more than MIN_RELATIVE_CHANGE.
        """
        if other is None or self.usage.keys() != other.usage.keys():
            return True
        pairs = [(self.residence_s, other.residence_s)]
        pairs += [(item.slot_s, other.usage[name].slot_s) for name, item in self.usage.items()]
        return any(abs(new - old) > MIN_RELATIVE_CHANGE * max(new, old) for new, old in pairs)


def _usage(item: object) -> Usage | None:
    match item:
        case [calls, slot_s]:
            if is_in_range(calls, 0.0, MAX_SECONDS) and is_in_range(slot_s, 0.0, MAX_SECONDS):
                return Usage(float(calls), float(slot_s))
    return None
