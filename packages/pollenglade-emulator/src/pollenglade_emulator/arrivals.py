"""Open-loop arrivals: requests come at their times, whether earlier ones finished or not."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from random import Random

from .workload import Deployment
from .workload import Route

NOISY_FACTOR = 8.0
"""Multiple of its usual load that a noisy organisation sends."""


@dataclass(frozen=True)
class Surge:
    """Load times `factor` during `[start_s, end_s)`, of one organisation or of all (None)."""

    start_s: float
    end_s: float
    factor: float
    organisation: str | None = None

    def factor_at(self, at_s: float, organisation: str) -> float:
        """Return the factor that applies to an organisation at a time."""
        if self.organisation not in (None, organisation):
            return 1.0
        return self.factor if self.start_s <= at_s < self.end_s else 1.0


@dataclass(frozen=True)
class Arrival:
    """One root request; `at_s` is in seconds since the start of the load."""

    at_s: float
    number: int
    organisation: str
    route: Route


def noisy_neighbour(organisation: str, start_s: float, end_s: float) -> Surge:
    """Return the surge of one organisation that sends several times its usual load."""
    return Surge(start_s, end_s, NOISY_FACTOR, organisation)


def rates_at(deployment: Deployment, surges: Sequence[Surge], at_s: float) -> dict[str, float]:
    """Return the offered load of each organisation at a time, in requests per second."""
    rates: dict[str, float] = {}
    for organisation in deployment.organisations:
        rate = organisation.offered_per_s
        for surge in surges:
            rate *= surge.factor_at(at_s, organisation.id)
        rates[organisation.id] = rate
    return rates


def arrivals(
    deployment: Deployment, source: Random, duration_s: float, surges: Sequence[Surge] = ()
) -> Iterator[Arrival]:
    """Yield Poisson arrivals in order of time.

    The rate is constant between two surge bounds. The exponential distribution has no memory, so a
    fresh draw at each bound keeps the process exact.
    """
    edges = {edge for surge in surges for edge in (surge.start_s, surge.end_s)}
    bounds = [0.0, *sorted(edge for edge in edges if 0.0 < edge < duration_s), duration_s]
    routes = [route for route in deployment.routes if route.share > 0]
    shares = [route.share for route in routes]
    number = 0
    for start_s, end_s in pairwise(bounds):
        rates = rates_at(deployment, surges, start_s)
        total = sum(rates.values())
        at_s = start_s
        while total > 0 and (at_s := at_s + source.expovariate(total)) < end_s:
            organisation = source.choices(list(rates), list(rates.values()))[0]
            yield Arrival(at_s, number, organisation, source.choices(routes, shares)[0])
            number += 1
