"""One version of the routing and traffic rules, as every node applies it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256


@dataclass(frozen=True, slots=True)
class RoutePart:
    """One of the services among which a route divides its requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and how they may be treated.

    `objective_s` is the time within which a response has its full worth, `timeout_s` the longest
    time that a request may take. A smaller `priority` is more important. `public` routes need no
    key. `repeatable` requests may run more than once.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[RoutePart, ...]
    repeatable: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    public: bool


@dataclass(frozen=True, slots=True)
class Organisation:
    """A sender of requests; a rate of 0 means no limit, and no priority means the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Rules for the endpoints of one service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send in bytes, and how long it may take or stay idle in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class TrafficPolicy:
    """The rules of one version, with look-ups by host and path and by key."""

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
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route
        # Keys are looked up by digest, so that the time of a look-up tells nothing about a key.
        self._organisation_by_digest = {
            sha256(key.encode()).digest(): organisation
            for organisation in self.organisations_by_name.values()
            for key in organisation.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public must carry a key."""
        return bool(self.organisations_by_name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        # Prefixes end with a slash, so only the path up to one of its slashes can match.
        end = path.rfind("/") + 1
        while end > 0:
            route = routes_by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def organisation_of(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisation_by_digest.get(sha256(key).digest())
