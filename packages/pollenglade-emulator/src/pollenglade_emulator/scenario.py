"""Named scenarios: faults and surges, their phases, and the retries of callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from .arrivals import Surge
from .arrivals import noisy_neighbour
from .load import RetryStyle
from .workload import Deployment

SLOW_LATENCY_FACTOR = 10.0
"""Multiple of its usual service time that a slow service takes."""


@dataclass(frozen=True)
class Timing:
    """Lengths of the phases of a run: before, during and after the cause of the overload."""

    before_s: float = 10.0
    cause_s: float = 20.0
    after_s: float = 20.0

    @property
    def end_s(self) -> float:
        """End of the cause in seconds since the start of the load."""
        return self.before_s + self.cause_s

    @property
    def duration_s(self) -> float:
        """Total time of load."""
        return self.end_s + self.after_s


SurgeFactory = Callable[[Deployment, Timing], tuple[Surge, ...]]


def no_surge(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return no surges, which leaves the load steady."""
    return ()


def surge_of_all(factor: float) -> SurgeFactory:
    """Return a factory for a surge of all organisations during the cause."""

    def surges(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
        return (Surge(timing.before_s, timing.end_s, factor),)

    return surges


def surge_of_largest(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return a surge of the organisation with the largest load, which harms the others most."""
    largest = max(deployment.organisations, key=lambda entry: entry.offered_per_s)
    return (noisy_neighbour(largest.id, timing.before_s, timing.end_s),)


def surge_of_all_and_largest(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return a surge of all organisations and one of the largest."""
    return (*surge_of_all(3.0)(deployment, timing), *surge_of_largest(deployment, timing))


class Partition(StrEnum):
    """Network partition between zones; its connections stay open and go silent.

    `zone` isolates the last zone from the others and from the platform. `regions` separates two
    groups of zones, which both reach the platform.
    """

    NONE = "none"
    ZONE = "zone"
    REGIONS = "regions"


@dataclass(frozen=True)
class Scenario:
    """One scenario, whose faults are active during the cause phase.

    `slow` makes the most used service slower, `platform_down` makes the platform unavailable,
    `poison` resends a call that ends the process of each target that runs it, `partition` separates
    zones.
    """

    name: str
    surges: SurgeFactory = field(default=no_surge)
    retries: RetryStyle = RetryStyle.NONE
    slow: bool = False
    platform_down: bool = False
    poison: bool = False
    partition: Partition = Partition.NONE


SCENARIOS_BY_NAME = {
    scenario.name: scenario
    for scenario in (
        Scenario("calm"),
        Scenario("slow-service", slow=True),
        Scenario("surge-2", surge_of_all(2.0)),
        Scenario("surge-3", surge_of_all(3.0)),
        Scenario("surge-10", surge_of_all(10.0)),
        Scenario("noisy-neighbour", surge_of_largest),
        Scenario("hard-retries", slow=True, retries=RetryStyle.HARD),
        Scenario("platform-outage", platform_down=True),
        Scenario("crash-loop", poison=True),
        Scenario("zone-cut", partition=Partition.ZONE),
        Scenario("regions-apart", partition=Partition.REGIONS),
        Scenario(
            "all-at-once",
            surge_of_all_and_largest,
            RetryStyle.HARD,
            slow=True,
            platform_down=True,
            poison=True,
            partition=Partition.ZONE,
        ),
    )
}


def most_used_service(deployment: Deployment) -> str:
    """Return the service with the highest use of slots, where slow targets do the most harm."""
    return max(
        deployment.services,
        key=lambda service: (
            deployment.slots_in_use(service.name) / (service.slots * service.endpoints),
            service.name,
        ),
    ).name
