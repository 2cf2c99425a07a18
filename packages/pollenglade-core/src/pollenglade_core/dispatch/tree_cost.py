"""Mean cost of the requests of a route at each service, including their nested calls."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

LEARNING_WEIGHT = 0.05
"""Weight of one finished request in the moving average of its route."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Number of calls to a service, their slot time and their time in queues, both in seconds."""

    calls: float
    slot_s: float
    wait_s: float = 0.0


UsageByService = Mapping[str, Usage]


def add_usage(first: UsageByService, second: UsageByService) -> dict[str, Usage]:
    """Return the sum of two usages by service."""
    total = dict(first)
    for service, usage in second.items():
        existing = total.get(service)
        if existing is not None:
            usage = Usage(
                existing.calls + usage.calls,
                existing.slot_s + usage.slot_s,
                existing.wait_s + usage.wait_s,
            )
        total[service] = usage
    return total


class TreeCosts:
    """Mean usage of finished requests by route."""

    def __init__(self) -> None:
        self._usage_by_service_by_route: dict[str, dict[str, Usage]] = {}

    def learn(self, route: str, usage: UsageByService) -> None:
        """Update the mean usage of a route with a served request."""
        mean = self._usage_by_service_by_route.get(route)
        if mean is None:
            self._usage_by_service_by_route[route] = dict(usage)
            return
        no_usage = Usage(0.0, 0.0)
        for service in mean.keys() | usage.keys():
            old = mean.get(service, no_usage)
            new = usage.get(service, no_usage)
            mean[service] = Usage(
                old.calls + (new.calls - old.calls) * LEARNING_WEIGHT,
                old.slot_s + (new.slot_s - old.slot_s) * LEARNING_WEIGHT,
                old.wait_s + (new.wait_s - old.wait_s) * LEARNING_WEIGHT,
            )

    def restore(self, route: str, usage: UsageByService) -> None:
        """Set the usage of a route that other nodes have learnt, unless this node has its own."""
        self._usage_by_service_by_route.setdefault(route, dict(usage))

    def forget(self, route: str, service: str) -> None:
        """Remove a service that the requests of a route do not need."""
        self._usage_by_service_by_route.get(route, {}).pop(service, None)

    def retain(self, routes: Collection[str], services: Collection[str]) -> None:
        """Forget all other routes, and all other services of these routes."""
        self._usage_by_service_by_route = {
            route: {service: item for service, item in usage.items() if service in services}
            for route, usage in self._usage_by_service_by_route.items()
            if route in routes
        }

    @property
    def routes(self) -> tuple[str, ...]:
        """Routes with a known usage."""
        return tuple(self._usage_by_service_by_route)

    def mean_usage(self, route: str) -> UsageByService:
        """Return the mean usage of a route by service; empty if it is unknown."""
        return self._usage_by_service_by_route.get(route, {})
