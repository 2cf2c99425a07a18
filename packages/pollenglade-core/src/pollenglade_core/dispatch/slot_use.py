"""Division of the slots of a service among the priorities of the requests that need them.

Handles a surge of several kinds of requests that use the same service, of which one node alone sees
too little to decide. All nodes divide the slots by the demand of all nodes, so that each admits the
same fraction of each kind.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from operator import mul

PRIORITY_COUNT = 3
"""Number of distinct priorities, 0 being the most important; larger values count as the last."""

WEIGHT_BY_PRIORITY = (1.0, 0.95, 0.65)
"""Relative fractions of the demand that are admitted in a surge.

The second priority gets at least 95 % of the admitted fraction of the most important one. The
others get at least 65 % if their requests cost less, see `route_demand.priority_weights`.
"""

NO_SLOTS = (0.0,) * PRIORITY_COUNT


def priority_index(priority: int) -> int:
    """Return the index of a priority in tuples of values by priority."""
    return min(max(priority, 0), PRIORITY_COUNT - 1)


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Average slots by priority that running requests occupy and that clients demand (offered)."""

    occupied: tuple[float, ...] = NO_SLOTS
    offered: tuple[float, ...] = NO_SLOTS

    @classmethod
    def total(cls, uses: Sequence[SlotUse]) -> SlotUse:
        """Return the sum of the slot use of several nodes."""
        if not uses:
            return cls()
        return cls(
            _column_sums([use.occupied for use in uses]),
            _column_sums([use.offered for use in uses]),
        )


def _column_sums(rows: Sequence[Sequence[float]]) -> tuple[float, ...]:
    return tuple(map(sum, zip(*rows, strict=True)))


def weighted_fractions(
    offered: Sequence[float], weights: Sequence[float], slots: float
) -> list[float]:
    """Return for each kind of request the fraction of its demand to admit, in [0, 1].

    `offered` is the demand of each kind in slots. If the slots do not suffice for all, the
    fractions are proportional to the weights, which must not increase; slots that a kind does not
    need go to the others.
    """
    fractions = [1.0] * len(offered)
    remaining_slots = slots
    scale = 1.0
    for index, weight in enumerate(weights):
        weighted_demand = sum(map(mul, weights[index:], offered[index:]))
        if weighted_demand <= 0.0:
            break
        # If a kind of a larger weight is fully admitted, the scale stays at least as high as it was
        # for that kind.
        scale = max(scale if index else 0.0, remaining_slots / weighted_demand)
        if scale * weight < 1.0:
            fractions[index:] = [scale * other_weight for other_weight in weights[index:]]
            break
        remaining_slots -= offered[index]
        scale = 1.0 / weight
    return fractions


def admitted_fractions(
    offered: Sequence[float], slots: float, weights: Sequence[float] = WEIGHT_BY_PRIORITY
) -> tuple[float, ...]:
    """Return for each priority the fraction of its demand to admit, in [0, 1]."""
    return tuple(weighted_fractions(offered, weights, slots))
