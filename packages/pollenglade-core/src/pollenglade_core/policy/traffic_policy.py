"""One version of the traffic policy, which every node of the mesh applies."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

from ..serving.warm_up import NO_WARM_UP
from ..serving.warm_up import WarmUpRules
from .request_location import canonical_host
from .request_location import canonical_path


@dataclass(frozen=True, slots=True)
class RoutePart:
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services for requests to a host and path prefix, and how those requests are handled.

    `objective_s` is the latency objective, the time within which a response has its full value;
    `timeout_s` is the longest time that a request may take. Both are in seconds. A lower `priority`
    is more important. Requests to `public` routes need no key. `repeatable` requests may run more
    than once. Empty `regions` allow endpoints of any region.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[RoutePart, ...]
    repeatable: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    public: bool
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Organisation:
    """A client organisation with its keys and its rate limit.

    `rate_per_s` 0 means no rate limit. Without `priority`, the priority of the route applies. Empty
    `regions` allow endpoints of any region.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


def allowed_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return the regions that a request may reach; None if it may reach all.

    The result is empty if the route and the organisation allow no common region.
    """
    if organisation is None or not organisation.regions:
        return route.regions or None
    if not route.regions:
        return organisation.regions
    return route.regions & organisation.regions


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Health check path, connection limit and warm-up of the endpoints of one service."""

    name: str
    health_path: str
    max_connections: int
    warm_up: WarmUpRules = NO_WARM_UP


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for client connections: sizes of request head and body, and timeouts in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class TrafficPolicy:
    """One policy version, with look-ups of routes by host and path and of organisations by key."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        organisations: Iterable[Organisation] = (),
        services: Iterable[ServiceRules] = (),
        limits: ClientLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.organisations_by_name = {item.name: item for item in organisations}
        self.services_by_name = {item.name: item for item in services}
        self.limits = limits or ClientLimits()
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            routes_by_prefix = self._routes_by_host.setdefault(canonical_host(route.host), {})
            routes_by_prefix[canonical_path(route.prefix)] = route
        # Look-up by digest prevents timing attacks: its duration reveals nothing about a key.
        self._organisation_by_digest = {
            sha256(key.encode()).digest(): organisation
            for organisation in self.organisations_by_name.values()
            for key in organisation.keys
        }

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public must carry a key."""
        return bool(self.organisations_by_name)

    @property
    def regions(self) -> frozenset[str]:
        """All regions that a route or an organisation names."""
        of_routes = [route.regions for route in self.routes]
        of_organisations = [item.regions for item in self.organisations_by_name.values()]
        return frozenset().union(*of_routes, *of_organisations)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix, or None.

        `host` is the value of a Host field; equivalent spellings of it and of `path` match.
        """
        routes_by_prefix = self._routes_by_host.get(canonical_host(host))
        if routes_by_prefix is None:
            return None
        path = canonical_path(path)
        # Prefixes end with a slash, so only parts of the path that end with a slash can match.
        prefix_end = path.rfind("/") + 1
        while prefix_end > 0:
            route = routes_by_prefix.get(path[:prefix_end])
            if route is not None:
                return route
            prefix_end = path.rfind("/", 0, prefix_end - 1) + 1
        return None

    def organisation_for_key(self, key: bytes) -> Organisation | None:
        """Return the organisation that the key belongs to, or None for an unknown key."""
        return self._organisation_by_digest.get(sha256(key).digest())
