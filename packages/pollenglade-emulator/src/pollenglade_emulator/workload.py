"""The shape of a deployment: zones, services, routes with their nested calls, organisations."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from functools import cached_property
from random import Random

from pollenglade_core.calls.importance import Importance

LATENCY_CEILING = 20.0
"""Largest multiple of the median that a service time takes.

Without a ceiling one draw from the tail of the distribution decides the result of a short run.
"""


@dataclass(frozen=True)
class Latency:
    """Log-normal service time; `median_s` in seconds, `sigma` without unit."""

    median_s: float
    sigma: float = 0.4

    @property
    def mean_s(self) -> float:
        """Mean service time in seconds, without the ceiling."""
        return self.median_s * math.exp(self.sigma**2 / 2)

    def sample(self, source: Random) -> float:
        """Draw one service time in seconds."""
        drawn = self.median_s * source.lognormvariate(0.0, self.sigma)
        return min(drawn, self.median_s * LATENCY_CEILING)


@dataclass(frozen=True)
class Service:
    """A service with equal endpoints.

    `slots` and `connections` are per endpoint; `probe_s` is the cost of one health probe.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    connect_s: float = 0.001
    probe_s: float = 0.006


@dataclass(frozen=True)
class Route:
    """One operation of a service and the routes that it calls, in order, while it runs.

    `share` is the weight among root requests; a route with share 0 is only called by others.
    """

    name: str
    service: str
    method: str
    latency: Latency
    importance: Importance = Importance.NORMAL
    idempotent: bool = True
    calls: tuple[str, ...] = ()
    share: float = 0.0
    deadline_ms: int = 2_000

    def target_path(self, number: int | str) -> str:
        """Path at the target."""
        return f"/{self.name}/{number}"

    def path(self, number: int | str) -> str:
        """Path at a node, where the first segment names the service."""
        return f"/{self.service}{self.target_path(number)}"


@dataclass(frozen=True)
class Organisation:
    """Contract and offered load of one organisation, in calls per second at the root.

    Rate and burst are whole numbers, as in a profile.
    """

    id: str
    rate_per_s: int
    burst: int
    weight: int
    offered_per_s: float


@dataclass(frozen=True)
class Deployment:
    """All parts of one deployment."""

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...]
    zone_distance_s: float = 0.0015
    client_distance_s: float = 0.008

    @cached_property
    def services_by_name(self) -> Mapping[str, Service]:
        """Services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def routes_by_name(self) -> Mapping[str, Route]:
        """Routes by name; a name is unique across services."""
        return {route.name: route for route in self.routes}

    @cached_property
    def organisations_by_id(self) -> Mapping[str, Organisation]:
        """Organisations by id."""
        return {organisation.id: organisation for organisation in self.organisations}

    def depth(self, route: Route) -> int:
        """Length of the longest call chain that starts with `route`."""
        below = [self.depth(self.routes_by_name[name]) for name in route.calls]
        return 1 + max(below, default=0)

    def calls_by_route(self, route: Route) -> Counter[str]:
        """Return how often each route runs in the call tree of one root request."""
        counts = Counter({route.name: 1})
        for name in route.calls:
            counts.update(self.calls_by_route(self.routes_by_name[name]))
        return counts

    def busy_s(self, route: Route) -> float:
        """Mean time for which one call occupies a slot: its own time and that of its calls."""
        nested = sum(self.busy_s(self.routes_by_name[name]) for name in route.calls)
        return route.latency.mean_s + nested

    def slots_in_use(self, service: str) -> float:
        """Mean number of slots of a service in use under the offered load (Little's law)."""
        roots = sum(organisation.offered_per_s for organisation in self.organisations)
        shares = sum(route.share for route in self.routes)
        total = 0.0
        for root in self.routes:
            for name, count in self.calls_by_route(root).items():
                route = self.routes_by_name[name]
                if route.service == service:
                    total += roots * root.share / shares * count * self.busy_s(route)
        return total

    def scaled(self, factor: float) -> Deployment:
        """Return the deployment with rates, bursts, slots and connections times `factor`.

        The number of zones and endpoints stays, so that routing has the same choices. Rounding
        makes slots no smaller than their exact share; utilisation never rises by scaling down.
        """
        services = (
            replace(
                service,
                slots=math.ceil(service.slots * factor),
                connections=math.ceil(service.connections * factor),
            )
            for service in self.services
        )
        organisations = (
            replace(
                organisation,
                rate_per_s=math.ceil(organisation.rate_per_s * factor),
                burst=math.ceil(organisation.burst * factor),
                offered_per_s=organisation.offered_per_s * factor,
            )
            for organisation in self.organisations
        )
        return replace(self, services=tuple(services), organisations=tuple(organisations))

    def with_contracts(self, factor: float, least_burst: int) -> Deployment:
        """Return the deployment with rates and bursts times `factor` and a least burst.

        Overload shows only where the contracts admit it, and the share of a zone in a small burst
        can refuse calls that are within the whole.
        """
        raised = (
            replace(
                organisation,
                rate_per_s=math.ceil(organisation.rate_per_s * factor),
                burst=max(least_burst, math.ceil(organisation.burst * factor)),
            )
            for organisation in self.organisations
        )
        return replace(self, organisations=tuple(raised))

    def compact(self, zones: int, endpoints: int) -> Deployment:
        """Return the deployment with fewer zones and endpoints and the same slots in total."""
        services = (
            replace(
                service,
                endpoints=endpoints,
                slots=math.ceil(service.slots * service.endpoints / endpoints),
                connections=math.ceil(service.connections * service.endpoints / endpoints),
            )
            for service in self.services
        )
        return replace(self, zones=self.zones[:zones], services=tuple(services))


def organisations(
    weights: Mapping[str, int], total_per_s: float, headroom: float = 1.5
) -> tuple[Organisation, ...]:
    """Split an offered load by weight; rate is `headroom` times the load, burst is 2 s of rate."""
    unit = total_per_s / sum(weights.values())
    return tuple(
        Organisation(
            id=name,
            rate_per_s=math.ceil(weight * unit * headroom),
            burst=math.ceil(weight * unit * headroom * 2),
            weight=weight,
            offered_per_s=weight * unit,
        )
        for name, weight in weights.items()
    )
