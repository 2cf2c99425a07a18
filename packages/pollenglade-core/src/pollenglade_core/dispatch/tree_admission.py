"""Admission of new requests by what their whole call tree needs.

Answers a surge at a small service at the end of the call tree. A refusal there wastes the work of
all callers above it, and its queue shows the surge only a tree's length after the requests were
admitted. So each request that is under way counts with the slots that its tree occupies on average
at every service, and a new one is refused before any work is done where the slots of a service on
its tree are spoken for, or where a service has no usable endpoint or fails so often that the tree
would not finish.

Nodes tell each other two averages for each service and priority: the slots that their trees occupy
and the slots that their clients ask for. Beyond the slots, each node admits the part of a priority
that the demand of all nodes leaves to it. Occupied slots alone would not do: the figures of the
others are old, so that all nodes would refuse and admit in turn.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from typing import Protocol

from .slot_use import PRIORITIES
from .slot_use import SlotUse
from .slot_use import admitted_parts
from .slot_use import priority_grade
from .tree_cost import UsageByService

USE_BY_PRIORITY = (1.3, 1.15, 1.0)
"""Part of a service's slots that should be spoken for, by priority; the least important requests
give way first, and the last parts above 1 wait in the queue for a moment."""

CORRECTION = 0.6
"""Part of the difference from it by which the slots that are given away are changed; it makes up
for a demand that is known too late or not exactly."""

MIN_ROOM = 0.4
MAX_ROOM = 1.2
"""Bounds on the slots that are given away, as parts of those that there are."""

MAX_USE_BY_PRIORITY = (3.0, 3.0, 1.8)
"""Part of a service's slots that requests of a priority and more important ones may occupy at most;
beyond it the figures of the demand are wrong."""

MIN_SUCCESS = 0.2
"""Expected part of the trees that finish, below which a request with nested calls is refused."""

PROBE_PART_BY_PRIORITY = (0.2, 0.12, 0.08)
"""Part of the trees that start although few would finish, by priority. They show when the service
is well again, and the retry budget carries some of them through."""

RESIDENCE_WEIGHT = 0.05
"""Weight of one finished request in the mean time of an undisturbed tree."""

MIN_UNDISTURBED = 0.6
"""Smallest part of a tree's time that counts as undisturbed; calls that wait side by side would
otherwise count their queues twice."""

MIN_RESIDENCE_S = 0.005
"""Lower bound in seconds on the time of a tree, against a division by nearly zero."""

OCCUPIED_AVERAGE_S = 0.3
OFFERED_AVERAGE_S = 1.0
"""Time constants in seconds of the averages of occupied and of demanded slots."""

RETRY_AFTER_MIN_S = 0.8
RETRY_AFTER_MAX_S = 3.0
"""Bounds in seconds on the delay that a refused caller is asked for."""


class _Account:
    """Trees of this node with one priority at one service."""

    def __init__(self) -> None:
        self.occupied = 0.0
        self._average = 0.0
        self._offered = 0.0
        self._occupied_at = 0.0
        self._offered_at = 0.0

    def add(self, slots: float, now: float) -> None:
        self._follow(now)
        self.occupied = max(0.0, self.occupied + slots)

    def offer(self, slot_s: float, now: float) -> None:
        self._offered = self.offered(now) + slot_s / OFFERED_AVERAGE_S
        self._offered_at = now

    def average(self, now: float) -> float:
        self._follow(now)
        return self._average

    def _follow(self, now: float) -> None:
        kept = exp((self._occupied_at - now) / OCCUPIED_AVERAGE_S)
        self._average = self.occupied + (self._average - self.occupied) * kept
        self._occupied_at = now

    def offered(self, now: float) -> float:
        return self._offered * exp((self._offered_at - now) / OFFERED_AVERAGE_S)


class ServiceLoad(Protocol):
    """What is known of the services at the moment."""

    def slots(self, service: str) -> float:
        """Return the slots of all usable endpoints."""

    def is_known(self, service: str) -> bool:
        """Whether the service has endpoints, usable or not."""

    def others(self, service: str) -> SlotUse:
        """Return the sum of what the other reachable nodes tell."""

    def failure_rate(self, service: str) -> float:
        """Return the part of the calls that fail or are rejected at the service."""


@dataclass(frozen=True, slots=True)
class TreeRefusal:
    """Why a tree should not start: the service that lacks room, and how much is spoken for."""

    service: str
    committed: float
    slots: float
    part: float
    success: float
    retry_after_s: float

    def __str__(self) -> str:
        return (
            f"{self.service}: {self.committed:.1f} of {self.slots:.0f} slots spoken for, "
            f"{self.part:.0%} of the priority admitted, "
            f"{self.success:.0%} of the trees would finish"
        )


def _room(grade: int, occupied: float, slots: float) -> float:
    """Return the slots that are given away while so many are occupied."""
    correction = CORRECTION * (USE_BY_PRIORITY[grade] - occupied / slots)
    return slots * min(MAX_ROOM, max(MIN_ROOM, 1.0 + correction))


class TreeAdmission:
    """Counts the trees of this node's requests and decides on new ones."""

    def __init__(self) -> None:
        self._residence_by_route: dict[str, float] = {}
        self._accounts_by_service: dict[str, tuple[_Account, ...]] = {}
        self._tree_by_request: dict[str, tuple[int, Mapping[str, float]]] = {}

    def use_by_service(self, now: float) -> dict[str, SlotUse]:
        """Return what this node tells the others."""
        return {
            service: SlotUse(
                tuple([account.average(now) for account in accounts]),
                tuple([account.offered(now) for account in accounts]),
            )
            for service, accounts in self._accounts_by_service.items()
        }

    def occupancy(self, route: str, usage: UsageByService) -> dict[str, float]:
        """Return the slots that one undisturbed request of a route occupies on average."""
        residence_s = max(MIN_RESIDENCE_S, self._residence_by_route.get(route, 0.0))
        if route not in self._residence_by_route:
            return {}
        return {service: item.slot_s / residence_s for service, item in usage.items()}

    def begin(
        self, request: str, route: str, priority: int, usage: UsageByService, now: float
    ) -> None:
        """Count a request that was admitted."""
        occupied = self.occupancy(route, usage)
        grade = priority_grade(priority)
        self._tree_by_request[request] = grade, occupied
        for service, slots in occupied.items():
            self._accounts(service)[grade].add(slots, now)

    def end(self, request: str, now: float) -> None:
        """Stop counting a request; an unknown one has no effect."""
        grade, occupied = self._tree_by_request.pop(request, (0, {}))
        for service, slots in occupied.items():
            self._accounts(service)[grade].add(-slots, now)

    def _accounts(self, service: str) -> tuple[_Account, ...]:
        accounts = self._accounts_by_service.get(service)
        if accounts is None:
            accounts = tuple(_Account() for _ in range(PRIORITIES))
            self._accounts_by_service[service] = accounts
        return accounts

    def learn(self, route: str, residence_s: float, usage: UsageByService) -> None:
        """Take the time of a request that was served, and the usage of its tree.

        Time in queues is left out, because it must not count as need for slots.
        """
        waited_s = sum(item.wait_s for item in usage.values())
        undisturbed_s = max(residence_s - waited_s, residence_s * MIN_UNDISTURBED)
        known = self._residence_by_route.setdefault(route, undisturbed_s)
        self._residence_by_route[route] = known + (undisturbed_s - known) * RESIDENCE_WEIGHT

    def residence_s(self, route: str) -> float | None:
        """Return the time of an undisturbed request; None where none was seen."""
        return self._residence_by_route.get(route)

    def restore(self, route: str, residence_s: float) -> None:
        """Take the time that other nodes have learnt, unless one is known."""
        self._residence_by_route.setdefault(route, residence_s)

    def check(
        self,
        route: str,
        priority: int,
        usage: UsageByService,
        load: ServiceLoad,
        random: float,
        now: float,
    ) -> TreeRefusal | None:
        """Return why a request should not start now; counts it as demand.

        `random` in [0, 1) decides which part is admitted, and spreads the returns of the others.
        """
        success = self._success(usage, load)
        grade = priority_grade(priority)
        would_finish = success >= MIN_SUCCESS or random < PROBE_PART_BY_PRIORITY[grade]
        worst: TreeRefusal | None = None
        for service, need in self.occupancy(route, usage).items():
            accounts = self._accounts(service)
            accounts[grade].offer(usage[service].slot_s, now)
            slots = load.slots(service)
            if slots <= 0.0:
                if load.is_known(service):
                    delay_s = self._delay_s(route, 1.0) * (0.5 + random)
                    return TreeRefusal(service, 0.0, 0.0, 0.0, 0.0, delay_s)
                continue
            use = SlotUse.total([self._use(accounts, now), load.others(service)])
            committed = sum(use.occupied)
            before = sum(use.occupied[: grade + 1])
            part = admitted_parts(use.offered, _room(grade, before, slots))[grade]
            fits = random < part and before + need <= slots * MAX_USE_BY_PRIORITY[grade]
            if would_finish and fits:
                continue
            if worst is None or committed * worst.slots > worst.committed * slots:
                delay_s = self._delay_s(route, committed / slots) * (0.5 + random)
                if not would_finish:
                    delay_s = RETRY_AFTER_MAX_S * (0.3 + 0.7 * random)
                worst = TreeRefusal(service, committed, slots, part, success, delay_s)
        return worst

    def _use(self, accounts: tuple[_Account, ...], now: float) -> SlotUse:
        """Return what is occupied at the moment and asked for on average."""
        return SlotUse(
            tuple([account.occupied for account in accounts]),
            tuple([account.offered(now) for account in accounts]),
        )

    def _delay_s(self, route: str, excess: float) -> float:
        residence_s = self._residence_by_route.get(route, 0.0)
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, residence_s * max(1.0, excess)))

    def _success(self, usage: UsageByService, load: ServiceLoad) -> float:
        if sum(item.calls for item in usage.values()) <= 1.5:
            return 1.0
        success = 1.0
        for service, item in usage.items():
            success *= (1.0 - min(1.0, load.failure_rate(service))) ** item.calls
        return success
