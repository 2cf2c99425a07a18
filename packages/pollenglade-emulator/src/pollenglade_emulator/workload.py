"""Model of a deployment: zones, services, routes with their nested calls, organisations."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from functools import cached_property
from random import Random

from pollenglade_core.calls.importance import Importance

MAX_LATENCY_FACTOR = 20.0
"""Upper bound of a service time, as a multiple of the median.

Without it a single sample from the tail of the distribution decides the result of a short run.
"""


@dataclass(frozen=True)
class Latency:
    """Log-normal service time with the median `median_s` in seconds and the shape `sigma`."""

    median_s: float
    sigma: float = 0.4

    @property
    def mean_s(self) -> float:
        """Mean service time in seconds, without the effect of `MAX_LATENCY_FACTOR`."""
        return self.median_s * math.exp(self.sigma**2 / 2)

    def sample(self, random: Random) -> float:
        """Return a random service time in seconds."""
        sampled_s = self.median_s * random.lognormvariate(0.0, self.sigma)
        return min(sampled_s, self.median_s * MAX_LATENCY_FACTOR)


@dataclass(frozen=True)
class Service:
    """A service whose endpoints are all alike.

    `slots` and `connections` are limits per endpoint. `connect_s` and `probe_s`, the cost of one
    health probe, are in seconds; the emulator does not read them.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    connect_s: float = 0.001
    probe_s: float = 0.006


@dataclass(frozen=True)
class Route:
    """One operation of a service.

    `calls` names the routes that it calls while it runs, one after another. `share` is its weight
    among root requests; a route with share 0 is only called by other routes.
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
        """Return the path under which a target serves the route."""
        return f"/{self.name}/{number}"

    def path(self, number: int | str) -> str:
        """Return the path at a node, whose first segment names the service."""
        return f"/{self.service}{self.target_path(number)}"


@dataclass(frozen=True)
class Organisation:
    """Contract and offered load of one organisation; rates are root requests per second.

    Rate and burst are integers, as in a profile.
    """

    id: str
    rate_per_s: int
    burst: int
    weight: int
    offered_per_s: float


@dataclass(frozen=True)
class Deployment:
    """Zones, services, routes and organisations of one deployment.

    `zone_delay_s` is the one-way network delay between two zones in seconds. `client_delay_s` is
    also in seconds; the emulator does not read it.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...]
    zone_delay_s: float = 0.0015
    client_delay_s: float = 0.008

    @cached_property
    def services_by_name(self) -> Mapping[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def routes_by_name(self) -> Mapping[str, Route]:
        """Return the routes by name; names are unique across services."""
        return {route.name: route for route in self.routes}

    @cached_property
    def organisations_by_id(self) -> Mapping[str, Organisation]:
        """Return the organisations by id."""
        return {organisation.id: organisation for organisation in self.organisations}

    def depth(self, route: Route) -> int:
        """Return the length of the longest call chain that starts with `route`."""
        nested_depths = [self.depth(self.routes_by_name[name]) for name in route.calls]
        return 1 + max(nested_depths, default=0)

    def calls_by_route(self, route: Route) -> Counter[str]:
        """Count the calls by route name in the call tree of one request to `route`."""
        counts = Counter({route.name: 1})
        for name in route.calls:
            counts.update(self.calls_by_route(self.routes_by_name[name]))
        return counts

    def busy_s(self, route: Route) -> float:
        """Return the mean time in seconds that a call with its nested calls occupies a slot."""
        nested = sum(self.busy_s(self.routes_by_name[name]) for name in route.calls)
        return route.latency.mean_s + nested

    def slots_in_use(self, service: str) -> float:
        """Return the mean number of used slots of a service at the offered load (Little's law)."""
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

        Zones and endpoints stay as they are, so that routing has the same choices. Rates, bursts,
        slots and connections are rounded up, so that scaling down never raises utilisation.
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

    def with_contracts(self, factor: float, min_burst: int) -> Deployment:
        """Return the deployment with rates and bursts times `factor` and a minimum burst.

        Overload occurs only where the contracts admit it. With a small burst the share of one zone
        can refuse calls that are within the burst of the whole deployment.
        """
        organisations = (
            replace(
                organisation,
                rate_per_s=math.ceil(organisation.rate_per_s * factor),
                burst=max(min_burst, math.ceil(organisation.burst * factor)),
            )
            for organisation in self.organisations
        )
        return replace(self, organisations=tuple(organisations))

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
    """Split an offered load between organisations by weight.

    The rate of each contract is `headroom` times the offered load, its burst 2 s of the rate.
    """
    requests_per_s_per_weight = total_per_s / sum(weights.values())
    return tuple(
        Organisation(
            id=name,
            rate_per_s=math.ceil(weight * requests_per_s_per_weight * headroom),
            burst=math.ceil(weight * requests_per_s_per_weight * headroom * 2),
            weight=weight,
            offered_per_s=weight * requests_per_s_per_weight,
        )
        for name, weight in weights.items()
    )
