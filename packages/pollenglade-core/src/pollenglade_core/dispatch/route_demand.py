"""Division of a service's slots among requests that cost it unequal time.

Handles a lasting overload of a service that several routes need, such as one endpoint that is left
of three. A request of one route may occupy a slot for several times as long as one of another, so
equal fractions of both serve few callers. Within a priority, the admitted fraction of a route is
therefore inversely proportional to the slot time of its requests, except that the cheapest quarter
of the requests counts as equal, so that a rare cheap route does not make all others look alike.
Between priorities, the weight of the least important ones falls with the slot time of their
requests relative to that of the most important ones. A route keeps at least a quarter of the
fraction of the others of its priority, and gets no larger fraction than a more important priority.

Each node divides by the mix of its own requests, which on average is that of all nodes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

from .slot_use import PRIORITY_COUNT
from .slot_use import WEIGHT_BY_PRIORITY
from .slot_use import weighted_fractions

MIN_WEIGHT = 0.25
"""Smallest weight, so that no kind of request starves."""

LAST_PRIORITY_VALUE = 0.4
"""Weight of the last priority if its requests cost as much as those of the most important one."""

TIME_CONSTANT_S = 3.0
"""Time constant in seconds of the demand by route; the mix of routes changes more slowly than the
demand, and one node sees few requests of each."""

FORGET_AFTER_S = 10 * TIME_CONSTANT_S
"""Time in seconds without a request after which a route is forgotten; its demand is nearly 0."""

MIN_SLOT_S = 1e-6
"""Lower bound on a slot time in seconds, which prevents a division by zero."""

CHEAP_FRACTION = 0.25
"""Fraction of the requests, the cheapest ones, that have the largest weight."""


@dataclass(slots=True)
class _RouteDemand:
    """Slot time in seconds of one request of a route, and the average slots it demands."""

    priority_index: int
    slot_s: float
    slots: float = 0.0
    updated_at: float = 0.0

    def average_slots(self, now: float) -> float:
        return self.slots * exp((self.updated_at - now) / TIME_CONSTANT_S)


def priority_weights(slot_s_by_priority: Sequence[float]) -> tuple[float, ...]:
    """Return the weights of the priorities from the mean slot time of their requests in seconds.

    A slot time is 0 for a priority without requests.
    """
    weights = list(WEIGHT_BY_PRIORITY)
    first, last = slot_s_by_priority[0], slot_s_by_priority[-1]
    if first > 0.0 and last > 0.0:
        weight = LAST_PRIORITY_VALUE * first / last
        weights[-1] = min(weights[-1], max(MIN_WEIGHT, weight))
    return tuple(weights)


def _cheap_slot_s(requests_by_cost: Sequence[tuple[float, float]]) -> float:
    """Return the largest slot time among the cheapest requests, `CHEAP_FRACTION` of all.

    The argument has the slot time and the number of requests of each route, by slot time.
    """
    remaining = CHEAP_FRACTION * sum(requests for _, requests in requests_by_cost)
    for slot_s, requests in requests_by_cost:
        remaining -= requests
        if remaining <= 0.0:
            return slot_s
    return requests_by_cost[-1][0]


class RouteDemand:
    """Demand of this node's requests for the slots of one service, by route."""

    def __init__(self) -> None:
        self._demand_by_route: dict[str, _RouteDemand] = {}

    def add(self, route: str, priority_index: int, slot_s: float, now: float) -> None:
        """Count a request of a route whose priority has this index."""
        slot_s = max(MIN_SLOT_S, slot_s)
        demand = self._demand_by_route.get(route)
        if demand is None or demand.priority_index != priority_index:
            self._forget_unused(now)
            demand = self._demand_by_route[route] = _RouteDemand(priority_index, slot_s)
        demand.slots = demand.average_slots(now) + slot_s / TIME_CONSTANT_S
        demand.slot_s = slot_s
        demand.updated_at = now

    def _forget_unused(self, now: float) -> None:
        """Remove routes without recent requests, so that those of old policies are not kept."""
        self._demand_by_route = {
            route: demand
            for route, demand in self._demand_by_route.items()
            if now - demand.updated_at < FORGET_AFTER_S
        }

    def weights(self, now: float) -> tuple[float, ...]:
        """Return the weights of the priorities."""
        slots = [0.0] * PRIORITY_COUNT
        requests = [0.0] * PRIORITY_COUNT
        for demand in self._demand_by_route.values():
            average_slots = demand.average_slots(now)
            slots[demand.priority_index] += average_slots
            requests[demand.priority_index] += average_slots / demand.slot_s
        return priority_weights(
            [used / count if count else 0.0 for used, count in zip(slots, requests, strict=True)]
        )

    def admitted_fraction(
        self, route: str, priority_fraction: float, max_fraction: float, now: float
    ) -> float:
        """Return the fraction of the requests to admit of a route that was just added, in [0, 1].

        `priority_fraction` is the fraction of the slots demanded by the route's priority that may
        be used, `max_fraction` the largest fraction that a route may get.
        """
        priority_index = self._demand_by_route[route].priority_index
        demands = sorted(
            (other.slot_s, other.average_slots(now), name)
            for name, other in self._demand_by_route.items()
            if other.priority_index == priority_index
        )
        cheap_slot_s = _cheap_slot_s([(slot_s, slots / slot_s) for slot_s, slots, _ in demands])
        admissible = [slots * max_fraction for _, slots, _ in demands]
        weights = [max(MIN_WEIGHT, min(1.0, cheap_slot_s / slot_s)) for slot_s, _, _ in demands]
        divided_slots = priority_fraction * sum(slots for _, slots, _ in demands)
        fractions = weighted_fractions(admissible, weights, divided_slots)
        position = [name for _, _, name in demands].index(route)
        return max_fraction * fractions[position]
