"""Open-loop arrivals, whose times do not depend on when earlier requests finish."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from random import Random

from .workload import Deployment
from .workload import Route

NOISY_FACTOR = 8.0
"""Load of a noisy organisation as a multiple of its usual load."""


@dataclass(frozen=True)
class Surge:
    """Multiplies the load of one organisation, or of all (None), in `[start_s, end_s)`."""

    start_s: float
    end_s: float
    factor: float
    organisation: str | None = None

    def factor_at(self, at_s: float, organisation: str) -> float:
        """Return the load factor of an organisation at a time."""
        if self.organisation not in (None, organisation):
            return 1.0
        return self.factor if self.start_s <= at_s < self.end_s else 1.0


@dataclass(frozen=True)
class Arrival:
    """One root request, due `at_s` seconds after the start of the load."""

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


def poisson_arrivals(
    deployment: Deployment, random: Random, duration_s: float, surges: Sequence[Surge] = ()
) -> Iterator[Arrival]:
    """Yield Poisson arrivals in order of time.

    The rate is constant between two bounds of surges. The exponential distribution is memoryless,
    so a new sample at each bound keeps the process exact.
    """
    surge_bounds = {bound for surge in surges for bound in (surge.start_s, surge.end_s)}
    bounds = [0.0, *sorted(bound for bound in surge_bounds if 0.0 < bound < duration_s), duration_s]
    routes = [route for route in deployment.routes if route.share > 0]
    shares = [route.share for route in routes]
    number = 0
    for start_s, end_s in pairwise(bounds):
        rates = rates_at(deployment, surges, start_s)
        total = sum(rates.values())
        at_s = start_s
        while total > 0 and (at_s := at_s + random.expovariate(total)) < end_s:
            organisation = random.choices(list(rates), list(rates.values()))[0]
            yield Arrival(at_s, number, organisation, random.choices(routes, shares)[0])
            number += 1
