"""Slots of a service by the importance of the requests that need them.

Answers a surge of several kinds of requests that lead to one service, when one node alone sees too
little of it to decide. All nodes divide the slots by the demand of all, so that they admit the same
part of each kind.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from operator import mul

PRIORITIES = 3
"""Priorities that are told apart; larger ones count as the last."""

WEIGHT_BY_PRIORITY = (1.0, 0.95, 0.65)
"""Parts of the demand that are admitted in a surge, relative to each other. The two most important
priorities are nearly equal, and the others keep more than a quarter of what these get."""

NO_SLOTS = (0.0,) * PRIORITIES


def priority_grade(priority: int) -> int:
    """Return the place of a priority in figures that are kept by priority."""
    return min(max(priority, 0), PRIORITIES - 1)


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Slots that requests occupy, and that clients ask for, on average and by priority."""

    occupied: tuple[float, ...] = NO_SLOTS
    offered: tuple[float, ...] = NO_SLOTS

    @classmethod
    def total(cls, uses: Sequence[SlotUse]) -> SlotUse:
        """Return the sum of what several nodes use."""
        if not uses:
            return cls()
        return cls(_sums([use.occupied for use in uses]), _sums([use.offered for use in uses]))


def _sums(rows: Sequence[Sequence[float]]) -> tuple[float, ...]:
    return tuple(map(sum, zip(*rows, strict=True)))


def admitted_parts(offered: Sequence[float], slots: float) -> tuple[float, ...]:
    """Return the part of the demand of each priority that the slots allow, in [0, 1].

    Where not all can be admitted, the parts are in the ratio of the weights; what a priority does
    not need goes to the others.
    """
    parts = [1.0] * PRIORITIES
    room = slots
    level = 1.0
    for grade, weight in enumerate(WEIGHT_BY_PRIORITY):
        weighted = sum(map(mul, WEIGHT_BY_PRIORITY[grade:], offered[grade:]))
        if weighted <= 0.0:
            break
        # Where a more important priority is whole, the level is not below what made it so.
        level = max(level if grade else 0.0, room / weighted)
        if level * weight < 1.0:
            parts[grade:] = [level * other for other in WEIGHT_BY_PRIORITY[grade:]]
            break
        room -= offered[grade]
        level = 1.0 / weight
    return tuple(parts)
