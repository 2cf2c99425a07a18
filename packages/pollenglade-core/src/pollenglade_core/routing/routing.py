"""Choice of the endpoint for each attempt of a call at an entry node."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable

from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .endpoint import Endpoint
from .endpoint import Route
from .endpoint import Tracker
from .service_pool import ServicePool

RETRY_AFTER_S = 1.0
"""Lower end of the delay after a call found no endpoint; announcements take about that long."""


class Router:
    """Endpoints by service, with this node's own measurements of each.

    For each attempt the driver calls `on_start`, then exactly one of `on_finish`, `on_refusal`,
    `on_failure` and `on_cancel`. Routes of endpoints that have left are ignored.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._pools_by_service: dict[str, ServicePool] = {}

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the endpoints of all services."""
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        for service in self._pools_by_service.keys() | by_service.keys():
            pool = self._pools_by_service.setdefault(service, ServicePool(self._zone))
            pool.update(by_service.get(service, ()), now)

    def pick(
        self, service: str, now: float, excluded: Container[str], source: RandomSource
    ) -> Route | Refusal:
        """Return a route to a node that is not in `excluded`, or why there is none."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            return Refusal(Reason.SERVICE_UNKNOWN, detail=f"no target announced {service}")
        tracker = pool.choose(now, excluded, source)
        if tracker is None:
            delay_s = jittered(RETRY_AFTER_S, source)
            detail = f"no target of {service} takes calls now"
            return Refusal(Reason.NO_TARGET, retry_after_s=delay_s, detail=detail)
        return tracker.route

    def on_start(self, route: Route) -> None:
        """Note that an attempt is sent."""
        found = self._find(route)
        if found is not None:
            found[0].on_start(found[1])

    def on_finish(self, route: Route, now: float, latency_s: float, ok: bool) -> None:
        """Note a response; `ok` is False where the target failed."""
        found = self._find(route)
        if found is not None:
            found[0].on_finish(found[1], now, latency_s, ok)

    def on_refusal(self, route: Route, now: float, reason: Reason) -> None:
        """Note that the serving node or the target refused the attempt without running it."""
        found = self._find(route)
        if found is not None:
            found[0].on_refusal(found[1], now, reason is Reason.DRAINING)

    def on_failure(self, route: Route, now: float, waited_s: float) -> None:
        """Note that the link or the target failed, or that no response came for `waited_s`."""
        self.on_finish(route, now, waited_s, ok=False)

    def on_cancel(self, route: Route) -> None:
        """Note that an attempt was given up; it says nothing about the endpoint."""
        found = self._find(route)
        if found is not None:
            found[0].on_cancel(found[1])

    def usable_nodes(self, service: str, now: float) -> frozenset[str]:
        """Return the nodes of a service that take calls at the moment."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            return frozenset()
        trackers = pool.trackers_by_node.items()
        return frozenset(node for node, tracker in trackers if tracker.is_usable(now))

    def ejected(self, service: str, now: float) -> frozenset[str]:
        """Return the nodes whose endpoint of a service is ejected at the moment."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            return frozenset()
        return frozenset(tracker.endpoint.node for tracker in pool.ejected(now))

    def spill(self, service: str) -> float:
        """Return the part of calls that leaves the zone although the zone has endpoints."""
        pool = self._pools_by_service.get(service)
        return pool.spill if pool else 0.0

    def _find(self, route: Route) -> tuple[ServicePool, Tracker] | None:
        pool = self._pools_by_service.get(route.service)
        if pool is None:
            return None
        tracker = pool.trackers_by_node.get(route.node)
        if tracker is None or tracker.serial != route.serial:
            return None
        return pool, tracker
