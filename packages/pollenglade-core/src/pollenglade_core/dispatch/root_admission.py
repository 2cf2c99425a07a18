"""Admission of new requests by the load of every service that their call tree uses.

Answers a surge at a small service at the end of the call tree. A refusal there wastes the work of
all callers above it, so a request is refused before any work is done where the queues along its
tree leave too little of its latency objective.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..policy.traffic_policy import Route
from .tree_cost import UsageByService

PART_BY_PRIORITY = (0.8, 0.6, 0.4)
"""Part of the latency objective that queues may take up, by priority; less important requests
give way first."""

RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 2.0
"""Bounds in seconds on the delay that a refused caller is asked for."""


@dataclass(frozen=True, slots=True)
class TreeDelay:
    """Expected time in queues along a call tree in seconds, and the service with most of it."""

    total_s: float
    service: str


def tree_delay(
    service: str, usage: UsageByService, wait_of: Callable[[str], float | None]
) -> TreeDelay:
    """Return the expected queue time of a request for a service with a learnt usage."""
    calls_by_service = {name: item.calls for name, item in usage.items()}
    calls_by_service.setdefault(service, 1.0)
    total_s, longest_s, slowest = 0.0, -1.0, service
    for name, calls in calls_by_service.items():
        queue_s = (wait_of(name) or 0.0) * calls
        total_s += queue_s
        if queue_s > longest_s:
            longest_s, slowest = queue_s, name
    return TreeDelay(total_s, slowest)


def admits(route: Route, priority: int, delay: TreeDelay) -> bool:
    """Whether a new request of a route should start its call tree now."""
    part = PART_BY_PRIORITY[min(max(priority, 0), len(PART_BY_PRIORITY) - 1)]
    return delay.total_s <= route.objective_s * part


def retry_after_s(delay: TreeDelay, random: float) -> float:
    """Return the delay in seconds after which a refused caller may return.

    `random` between 0 and 1 spreads the returns over the time in which the queues empty.
    """
    base = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay.total_s))
    return base * (0.5 + random)
