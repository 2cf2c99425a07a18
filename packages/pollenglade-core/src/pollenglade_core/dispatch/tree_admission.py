"""Admission of new requests by what their whole call tree needs.

Answers a surge at a small service at the end of the call tree. A refusal there wastes the work of
all callers above it, and its queue shows the surge only a tree's length after the requests were
admitted. So each request that is under way counts with the slots that its tree occupies on average
at every service, and a new one is refused before any work is done where the slots of a service on
its tree are spoken for, or where calls at a service fail so often that the tree would not finish.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .tree_cost import UsageByService

USE_BY_PRIORITY = (1.25, 1.1, 0.95)
"""Part of a service's slots that may be spoken for, by priority; the least important requests give
way first, and the last parts above 1 wait in the queue for a moment."""

MIN_SUCCESS = 0.2
"""Expected part of the trees that finish, below which a request with nested calls is refused."""

RESIDENCE_RISE = 0.002
"""Part by which the time of an undisturbed tree rises with each slower request that is seen."""

MIN_RESIDENCE_S = 0.005
"""Lower bound in seconds on the time of a tree, against a division by nearly zero."""

RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 2.0
"""Bounds in seconds on the delay that a refused caller is asked for."""

UNKNOWN_SLOTS = 0.0


class ServiceLoad(Protocol):
    """What is known of the services at the moment."""

    def slots(self, service: str) -> float:
        """Return the slots of all usable endpoints; 0 where nothing is known."""

    def committed(self, service: str) -> float:
        """Return the slots that requests of other nodes occupy on average."""

    def failure_rate(self, service: str) -> float:
        """Return the part of the calls that fail or are rejected at the service."""


@dataclass(frozen=True, slots=True)
class TreeRefusal:
    """Why a tree should not start: the service that lacks room, and how much is spoken for."""

    service: str
    committed: float
    slots: float
    success: float
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"{self.service}: {self.committed:.1f} of {self.slots:.0f} slots spoken for, "
            f"{self.success:.0%} of the trees would finish"
        )


class TreeAdmission:
    """Counts the trees of this node's requests and decides on new ones."""

    def __init__(self) -> None:
        self._residence_by_route: dict[str, float] = {}
        self._occupied_by_service: dict[str, float] = {}
        self._occupied_by_request: dict[str, Mapping[str, float]] = {}

    @property
    def occupied_by_service(self) -> Mapping[str, float]:
        """Slots that the requests of this node occupy on average."""
        return self._occupied_by_service

    def occupancy(self, route: str, usage: UsageByService) -> dict[str, float]:
        """Return the slots that one undisturbed request of a route occupies on average."""
        residence_s = max(MIN_RESIDENCE_S, self._residence_by_route.get(route, 0.0))
        if route not in self._residence_by_route:
            return {}
        return {service: item.slot_s / residence_s for service, item in usage.items()}

    def begin(self, request: str, route: str, usage: UsageByService) -> None:
        """Count a request that was admitted."""
        occupied = self.occupancy(route, usage)
        self._occupied_by_request[request] = occupied
        for service, slots in occupied.items():
            total = self._occupied_by_service.get(service, 0.0) + slots
            self._occupied_by_service[service] = total

    def end(self, request: str) -> None:
        """Stop counting a request; an unknown one has no effect."""
        for service, slots in self._occupied_by_request.pop(request, {}).items():
            left = self._occupied_by_service[service] - slots
            self._occupied_by_service[service] = max(0.0, left)

    def learn(self, route: str, residence_s: float) -> None:
        """Take the time of a request that was served, queues included.

        The estimate follows the shortest times, because queues must not count as need for slots.
        """
        known = self._residence_by_route.get(route)
        if known is None:
            self._residence_by_route[route] = residence_s
        elif residence_s < known:
            self._residence_by_route[route] = known + (residence_s - known) * 0.1
        else:
            self._residence_by_route[route] = known * (1.0 + RESIDENCE_RISE)

    def check(
        self,
        route: str,
        priority: int,
        usage: UsageByService,
        load: ServiceLoad,
        random: float,
    ) -> TreeRefusal | None:
        """Return why a request should not start now; `random` in [0, 1) spreads the returns."""
        allowed = USE_BY_PRIORITY[min(max(priority, 0), len(USE_BY_PRIORITY) - 1)]
        success = self._success(usage, load)
        residence_s = self._residence_by_route.get(route, 0.0)
        worst: TreeRefusal | None = None
        for service, need in self.occupancy(route, usage).items():
            slots = load.slots(service)
            if slots <= UNKNOWN_SLOTS:
                continue
            committed = self._occupied_by_service.get(service, 0.0) + load.committed(service)
            if committed + need <= slots * allowed and success >= MIN_SUCCESS:
                continue
            excess = max(1.0, committed / (slots * allowed))
            delay_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, residence_s * excess))
            refusal = TreeRefusal(service, committed, slots, success, delay_s * (0.5 + random))
            if worst is None or committed * worst.slots > worst.committed * slots:
                worst = refusal
        return worst

    def _success(self, usage: UsageByService, load: ServiceLoad) -> float:
        if sum(item.calls for item in usage.values()) <= 1.5:
            return 1.0
        success = 1.0
        for service, item in usage.items():
            success *= (1.0 - min(1.0, load.failure_rate(service))) ** item.calls
        return success
