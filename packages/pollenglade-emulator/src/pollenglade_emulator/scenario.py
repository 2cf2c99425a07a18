"""Named scenarios: what goes wrong, when, and how callers behave meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from .arrivals import Surge
from .arrivals import noisy_neighbour
from .load import RetryStyle
from .workload import Deployment

SLOW_FACTOR = 10.0


@dataclass(frozen=True)
class Timing:
    """Phases of a run in seconds: before the cause, during it and after it."""

    before_s: float = 10.0
    cause_s: float = 20.0
    after_s: float = 20.0

    @property
    def end_s(self) -> float:
        """End of the cause."""
        return self.before_s + self.cause_s

    @property
    def duration_s(self) -> float:
        """Whole time of load."""
        return self.end_s + self.after_s


SurgeFactory = Callable[[Deployment, Timing], tuple[Surge, ...]]


def no_surge(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return the load without any surge."""
    return ()


def surge_of_all(factor: float) -> SurgeFactory:
    """Return the surge of all organisations during the cause."""

    def surges(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
        return (Surge(timing.before_s, timing.end_s, factor),)

    return surges


def surge_of_one(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return the surge of the largest organisation, which can harm the others most."""
    largest = max(deployment.organisations, key=lambda entry: entry.offered_per_s)
    return (noisy_neighbour(largest.id, timing.before_s, timing.end_s),)


def surge_of_all_and_one(deployment: Deployment, timing: Timing) -> tuple[Surge, ...]:
    """Return both surges at once."""
    return (*surge_of_all(3.0)(deployment, timing), *surge_of_one(deployment, timing))


class Partition(StrEnum):
    """Which zones are cut off; connections go silent and stay open.

    `zone` isolates the last zone from the others and from the platform. `regions` separates two
    groups of zones, which both reach the platform.
    """

    NONE = "none"
    ZONE = "zone"
    REGIONS = "regions"


@dataclass(frozen=True)
class Scenario:
    """One scenario; the faults hold during the cause.

    `slow` makes the most used service slower, `platform_down` stops the platform from answering,
    `poison` lets one caller resend a call that ends each target that runs it, `partition`
    cuts zones off.
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
        Scenario("noisy-neighbour", surge_of_one),
        Scenario("hard-retries", slow=True, retries=RetryStyle.HARD),
        Scenario("platform-outage", platform_down=True),
        Scenario("crash-loop", poison=True),
        Scenario("zone-cut", partition=Partition.ZONE),
        Scenario("regions-apart", partition=Partition.REGIONS),
        Scenario(
            "all-at-once",
            surge_of_all_and_one,
            RetryStyle.HARD,
            slow=True,
            platform_down=True,
            poison=True,
            partition=Partition.ZONE,
        ),
    )
}


def slow_service(deployment: Deployment) -> str:
    """Return the service whose slots are used most, where a slow target hurts first."""
    return max(
        deployment.services,
        key=lambda service: (
            deployment.slots_in_use(service.name) / (service.slots * service.endpoints),
            service.name,
        ),
    ).name
