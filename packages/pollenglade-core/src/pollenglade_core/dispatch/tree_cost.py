"""What the requests of a route cost at each service, calls of their runs included."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

LEARNING_WEIGHT = 0.05
"""Weight of one finished request in the moving average of its route."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Calls to a service, the slot time that they took and their time in queues, in seconds."""

    calls: float
    slot_s: float
    wait_s: float = 0.0


UsageByService = Mapping[str, Usage]


def add_usage(first: UsageByService, second: UsageByService) -> dict[str, Usage]:
    """Return the sum of two usages."""
    total = dict(first)
    for service, usage in second.items():
        known = total.get(service)
        if known is not None:
            usage = Usage(
                known.calls + usage.calls,
                known.slot_s + usage.slot_s,
                known.wait_s + usage.wait_s,
            )
        total[service] = usage
    return total


class TreeCosts:
    """Mean usage of finished requests by route."""

    def __init__(self) -> None:
        self._usage_by_service_by_route: dict[str, dict[str, Usage]] = {}

    def learn(self, route: str, usage: UsageByService) -> None:
        """Take the usage of a request that was served."""
        known = self._usage_by_service_by_route.get(route)
        if known is None:
            self._usage_by_service_by_route[route] = dict(usage)
            return
        nothing = Usage(0.0, 0.0)
        for service in known.keys() | usage.keys():
            old = known.get(service, nothing)
            new = usage.get(service, nothing)
            known[service] = Usage(
                old.calls + (new.calls - old.calls) * LEARNING_WEIGHT,
                old.slot_s + (new.slot_s - old.slot_s) * LEARNING_WEIGHT,
                old.wait_s + (new.wait_s - old.wait_s) * LEARNING_WEIGHT,
            )

    def restore(self, route: str, usage: UsageByService) -> None:
        """Take the usage of a route that other nodes have learnt, unless one is known."""
        self._usage_by_service_by_route.setdefault(route, dict(usage))

    @property
    def routes(self) -> tuple[str, ...]:
        """Routes whose usage is known."""
        return tuple(self._usage_by_service_by_route)

    def of(self, route: str) -> UsageByService:
        """Return the mean usage of a route; empty where nothing was learnt yet."""
        return self._usage_by_service_by_route.get(route, {})
