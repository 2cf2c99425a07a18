"""Admission of root requests by the slots that their whole call tree needs.

Handles a surge at a small service at the end of the call tree. A refusal there wastes the work of
all its callers, and its queue shows the surge only some time after the requests were admitted, as
long as the tree takes to reach it. Each running request therefore counts with the slots that its
tree occupies on average at every service. A new request is refused before any work is done if a
service in its tree has too many occupied slots, has no usable endpoint or fails so often that the
tree would not finish.

Nodes report two averages to each other for each service and priority: the slots that their trees
occupy and the slots that their clients demand. When the demand exceeds the slots, each node admits
the fraction of a priority that follows from the demand at all nodes, divided among its routes by
`route_demand`. Occupied slots alone do not suffice: the values of other nodes are old, so all nodes
would alternate between refusing and admitting together.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from typing import Protocol

from .route_demand import RouteDemand
from .slot_use import PRIORITY_COUNT
from .slot_use import SlotUse
from .slot_use import admitted_fractions
from .slot_use import priority_index
from .tree_cost import UsageByService

DESIRED_USE_BY_PRIORITY = (1.3, 1.15, 1.0)
"""Desired ratio of occupied slots to the slots of a service, by priority.

Less important requests have a lower ratio and are refused first. Requests above a ratio of 1 wait
briefly in the queue.
"""

CORRECTION_GAIN = 0.6
"""Gain by which the difference between desired and actual use changes the admissible slots.

It compensates for demand values that are late or inexact.
"""

MIN_ADMISSIBLE_RATIO = 0.4
"""Lower bound on the ratio of admissible slots to the slots of a service."""

MAX_ADMISSIBLE_RATIO = 1.2
"""Upper bound on the ratio of admissible slots to the slots of a service."""

MAX_USE_BY_PRIORITY = (3.0, 3.0, 1.8)
"""Upper bound on the ratio of occupied slots to the slots of a service, by priority.

It counts requests of the priority and of more important ones. Above it the demand values must be
wrong.
"""

MIN_COMPARED_SLOTS = 2.0
"""Lower bound on the slots that occupied slots are compared with.

Rate limits may leave a service less than one slot on average, which one running request exceeds.
"""

MIN_SUCCESS_RATE = 0.2
"""Expected fraction of trees that finish below which a request with nested calls is refused."""

TRIAL_FRACTION_BY_PRIORITY = (0.2, 0.12, 0.08)
"""Fraction of the trees that are started as trials although few would finish, by priority.

They show when the service has recovered, and some of them finish thanks to the retry budget.
"""

UNREACHABLE_TRIAL_FRACTION = 0.05
"""Fraction of the trees that are started as trials although a service has no usable endpoint.

They show whether the requests of the route still need the service.
"""

RESIDENCE_WEIGHT = 0.05
"""Weight of one finished request in the mean residence time, the time of a tree without waiting."""

MIN_UNDISTURBED_FRACTION = 0.6
"""Lower bound on the fraction of a tree's time that counts as time without waiting.

The waiting times of concurrent calls overlap, so their sum would count the same time twice.
"""

MIN_RESIDENCE_S = 0.005
"""Lower bound on the residence time in seconds, which prevents a division by nearly zero."""

OCCUPIED_TIME_CONSTANT_S = 0.3
"""Time constant in seconds of the average of occupied slots."""

OFFERED_TIME_CONSTANT_S = 1.0
"""Time constant in seconds of the average of demanded slots."""

RETRY_AFTER_MIN_S = 0.8
"""Lower bound in seconds on the retry delay of a refused caller, before jitter."""

RETRY_AFTER_MAX_S = 3.0
"""Upper bound in seconds on the retry delay of a refused caller, before jitter."""

MAX_JITTER = 1.5
"""Largest factor of the jitter of retry delays; the smallest is 0.5."""

RETURN_RESIDENCES = 1.25
"""Residence times that remain of the latency objective when a refused request returns; requests
that take longer than the mean are served late otherwise."""

MIN_RETURN_S = 0.3
"""Time in seconds in which refused requests must be able to return for the latency objective to
count; within less, the load will hardly have changed."""


class _SlotAverages:
    """Occupied and demanded slots of this node's trees with one priority at one service.

    Occupied slots are those of running trees. Offered slots are those that all requests would need,
    whether admitted or refused. `occupied` is the current value; the averages are exponential.
    """

    def __init__(self) -> None:
        self.occupied = 0.0
        self._average_occupied = 0.0
        self._average_offered = 0.0
        self._occupied_at = 0.0
        self._offered_at = 0.0

    def add_occupied(self, slots: float, now: float) -> None:
        self._update_average(now)
        self.occupied = max(0.0, self.occupied + slots)

    def add_offered(self, slot_s: float, now: float) -> None:
        self._average_offered = self.average_offered(now) + slot_s / OFFERED_TIME_CONSTANT_S
        self._offered_at = now

    def average_occupied(self, now: float) -> float:
        self._update_average(now)
        return self._average_occupied

    def _update_average(self, now: float) -> None:
        decay = exp((self._occupied_at - now) / OCCUPIED_TIME_CONSTANT_S)
        self._average_occupied = self.occupied + (self._average_occupied - self.occupied) * decay
        self._occupied_at = now

    def average_offered(self, now: float) -> float:
        return self._average_offered * exp((self._offered_at - now) / OFFERED_TIME_CONSTANT_S)


class ServiceLoad(Protocol):
    """Current load of the services as known to this node."""

    def slots(self, service: str) -> float:
        """Return the total number of slots of all usable endpoints."""

    def exists(self, service: str) -> bool:
        """Whether there is such a service, even if no endpoint of it is known."""

    def slot_use_of_others(self, service: str) -> SlotUse:
        """Return the summed slot use that the other reachable nodes reported."""

    def failure_rate(self, service: str) -> float:
        """Return the fraction of calls that fail or are rejected at the service."""


@dataclass(frozen=True, slots=True)
class TreeRefusal:
    """Why a tree should not start.

    `service` is the one with the highest load, `committed` the slots that running trees of all
    nodes and priorities occupy there, `admitted_fraction` the fraction of the route's demand that
    is admitted, and `success_rate` the expected fraction of trees that finish.
    """

    service: str
    committed: float
    slots: float
    admitted_fraction: float
    success_rate: float
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"{self.service}: {self.committed:.1f} of {self.slots:.0f} slots spoken for, "
            f"{self.admitted_fraction:.0%} of the route admitted, "
            f"{self.success_rate:.0%} of the trees would finish"
        )


def _admissible_slots(index: int, occupied: float, slots: float) -> float:
    """Return the number of slots to divide among the priorities at the given occupancy."""
    occupied_ratio = occupied / max(slots, MIN_COMPARED_SLOTS)
    correction = CORRECTION_GAIN * (DESIRED_USE_BY_PRIORITY[index] - occupied_ratio)
    return slots * min(MAX_ADMISSIBLE_RATIO, max(MIN_ADMISSIBLE_RATIO, 1.0 + correction))


def _jitter(random_value: float) -> float:
    """Return a factor from 0.5 to `MAX_JITTER` for a random value in [0, 1)."""
    return 0.5 + random_value * (MAX_JITTER - 0.5)


class TreeAdmission:
    """Tracks the slots of this node's running trees and decides on new requests."""

    def __init__(self) -> None:
        self._residence_s_by_route: dict[str, float] = {}
        self._averages_by_service: dict[str, tuple[_SlotAverages, ...]] = {}
        self._route_demand_by_service: dict[str, RouteDemand] = {}
        self._tree_by_request: dict[str, tuple[int, Mapping[str, float]]] = {}
        self._unreachable_by_route: dict[str, set[str]] = {}

    def use_by_service(self, now: float) -> dict[str, SlotUse]:
        """Return the average slot use of this node by service, as reported to other nodes."""
        return {
            service: SlotUse(
                tuple([averages.average_occupied(now) for averages in averages_by_priority]),
                tuple([averages.average_offered(now) for averages in averages_by_priority]),
            )
            for service, averages_by_priority in self._averages_by_service.items()
        }

    def occupancy(self, route: str, usage: UsageByService) -> dict[str, float]:
        """Return by service the slots that one request of a route occupies on average.

        Time in queues does not count. Empty if the residence time of the route is unknown.
        """
        residence_s = max(MIN_RESIDENCE_S, self._residence_s_by_route.get(route, 0.0))
        if route not in self._residence_s_by_route:
            return {}
        return {service: item.slot_s / residence_s for service, item in usage.items()}

    def begin(
        self, request_id: str, route: str, priority: int, usage: UsageByService, now: float
    ) -> None:
        """Start counting the slots of an admitted request."""
        occupied = self.occupancy(route, usage)
        index = priority_index(priority)
        self._tree_by_request[request_id] = index, occupied
        for service, slots in occupied.items():
            self._averages(service)[index].add_occupied(slots, now)

    def end(self, request_id: str, now: float) -> None:
        """Stop counting the slots of a request; an unknown id has no effect."""
        index, occupied = self._tree_by_request.pop(request_id, (0, {}))
        for service, slots in occupied.items():
            self._averages(service)[index].add_occupied(-slots, now)

    def _averages(self, service: str) -> tuple[_SlotAverages, ...]:
        averages_by_priority = self._averages_by_service.get(service)
        if averages_by_priority is None:
            averages_by_priority = tuple(_SlotAverages() for _ in range(PRIORITY_COUNT))
            self._averages_by_service[service] = averages_by_priority
        return averages_by_priority

    def _route_demand(self, service: str) -> RouteDemand:
        route_demand = self._route_demand_by_service.get(service)
        if route_demand is None:
            route_demand = self._route_demand_by_service[service] = RouteDemand()
        return route_demand

    def learn(self, route: str, elapsed_s: float, usage: UsageByService) -> None:
        """Update the residence time of a route from a served request and the usage of its tree.

        `elapsed_s` is the whole time of the request. Time in queues is subtracted from it because
        it must not count as demand for slots.
        """
        waited_s = sum(item.wait_s for item in usage.values())
        undisturbed_s = max(elapsed_s - waited_s, elapsed_s * MIN_UNDISTURBED_FRACTION)
        mean_s = self._residence_s_by_route.setdefault(route, undisturbed_s)
        self._residence_s_by_route[route] = mean_s + (undisturbed_s - mean_s) * RESIDENCE_WEIGHT

    def residence_s(self, route: str) -> float | None:
        """Return the mean time of a route without time in queues, or None if it is unknown."""
        return self._residence_s_by_route.get(route)

    def restore(self, route: str, residence_s: float) -> None:
        """Set the residence time that other nodes have learnt, unless this node has its own."""
        self._residence_s_by_route.setdefault(route, residence_s)

    def retain(self, routes: Collection[str]) -> None:
        """Forget the residence times of all other routes."""
        for route in self._residence_s_by_route.keys() - set(routes):
            del self._residence_s_by_route[route]
            self._unreachable_by_route.pop(route, None)

    def take_unreachable(self, route: str) -> set[str] | None:
        """Return the services without usable endpoints that checks of a route found since."""
        return self._unreachable_by_route.pop(route, None)

    def check(
        self,
        route: str,
        priority: int,
        usage: UsageByService,
        load: ServiceLoad,
        random_value: float,
        now: float,
        objective_s: float = 0.0,
    ) -> TreeRefusal | None:
        """Return a refusal if a request should not start now; count the request as demand.

        `random_value` in [0, 1) selects the admitted fraction and spreads the retry delays of the
        refused requests. `objective_s` is the latency objective in seconds, 0 if there is none.
        """
        success_rate = self._success_rate(usage, load)
        index = priority_index(priority)
        would_finish = (
            success_rate >= MIN_SUCCESS_RATE or random_value < TRIAL_FRACTION_BY_PRIORITY[index]
        )
        refusal: TreeRefusal | None = None
        for service, needed_slots in self.occupancy(route, usage).items():
            averages_by_priority = self._averages(service)
            slot_s = usage[service].slot_s
            averages_by_priority[index].add_offered(slot_s, now)
            route_demand = self._route_demand(service)
            route_demand.add(route, index, slot_s, now)
            slots = load.slots(service)
            if slots <= 0.0:
                if not load.exists(service):
                    continue
                self._unreachable_by_route.setdefault(route, set()).add(service)
                if random_value >= UNREACHABLE_TRIAL_FRACTION:
                    retry_after_s = self._retry_after_s(route, 1.0, 0.0) * _jitter(random_value)
                    return TreeRefusal(service, 0.0, 0.0, 0.0, 0.0, retry_after_s)
                continue
            use = SlotUse.total(
                [self._current_use(averages_by_priority, now), load.slot_use_of_others(service)]
            )
            committed = sum(use.occupied)
            occupied_at_or_above = sum(use.occupied[: index + 1])
            admissible_slots = _admissible_slots(index, occupied_at_or_above, slots)
            admitted_fraction = 1.0
            if sum(use.offered) > admissible_slots:
                weights = route_demand.weights(now)
                fractions = admitted_fractions(use.offered, admissible_slots, weights)
                max_fraction = fractions[index - 1] if index else 1.0
                admitted_fraction = route_demand.admitted_fraction(
                    route, fractions[index], max_fraction, now
                )
            max_slots = max(slots, MIN_COMPARED_SLOTS) * MAX_USE_BY_PRIORITY[index]
            fits = (
                random_value < admitted_fraction
                and occupied_at_or_above + needed_slots <= max_slots
            )
            if would_finish and fits:
                continue
            if refusal is None or committed * refusal.slots > refusal.committed * slots:
                load_ratio = committed / slots
                retry_after_s = self._retry_after_s(route, load_ratio, objective_s)
                retry_after_s *= _jitter(random_value)
                if not would_finish:
                    retry_after_s = RETRY_AFTER_MAX_S * (0.3 + 0.7 * random_value)
                refusal = TreeRefusal(
                    service, committed, slots, admitted_fraction, success_rate, retry_after_s
                )
        return refusal

    def _current_use(self, averages_by_priority: tuple[_SlotAverages, ...], now: float) -> SlotUse:
        """Return the slots that are occupied now and the average demand."""
        return SlotUse(
            tuple([averages.occupied for averages in averages_by_priority]),
            tuple([averages.average_offered(now) for averages in averages_by_priority]),
        )

    def _retry_after_s(self, route: str, load_ratio: float, objective_s: float) -> float:
        """Return the retry delay in seconds before jitter.

        It is proportional to the load. In a lasting overload a later return finds no more room, so
        the delay also leaves enough of the latency objective to serve the request in time.
        """
        residence_s = self._residence_s_by_route.get(route, 0.0)
        delay_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, residence_s * max(1.0, load_ratio)))
        latest_return_s = objective_s - RETURN_RESIDENCES * residence_s
        if latest_return_s < MIN_RETURN_S:
            return delay_s
        return min(delay_s, latest_return_s / MAX_JITTER)

    def _success_rate(self, usage: UsageByService, load: ServiceLoad) -> float:
        if sum(item.calls for item in usage.values()) <= 1.5:
            return 1.0
        success_rate = 1.0
        for service, item in usage.items():
            success_rate *= (1.0 - min(1.0, load.failure_rate(service))) ** item.calls
        return success_rate
