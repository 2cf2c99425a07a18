"""Choice of the endpoint for each attempt of a call at an entry node."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable

from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .endpoint import ChosenEndpoint
from .endpoint import Endpoint
from .endpoint import EndpointTracker
from .service_pool import ServicePool

RETRY_AFTER_MIN_S = 1.0
"""Lower bound in seconds on the retry delay of a call without a usable endpoint.

Announcements of endpoints take about that long.
"""


class Router:
    """Chooses endpoints by service from the measurements of this node.

    For each attempt the driver calls `on_start`, then exactly one of `on_finish`, `on_refusal`,
    `on_failure` and `on_cancel`. Routes to endpoints that have left are ignored.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._pools_by_service: dict[str, ServicePool] = {}

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the endpoints of all services."""
        endpoints_by_service: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            endpoints_by_service.setdefault(endpoint.service, []).append(endpoint)
        for service in self._pools_by_service.keys() | endpoints_by_service.keys():
            pool = self._pools_by_service.setdefault(service, ServicePool(self._zone))
            pool.update(endpoints_by_service.get(service, ()), now)

    def pick(
        self, service: str, now: float, excluded: Container[str], random_source: RandomSource
    ) -> ChosenEndpoint | Refusal:
        """Return a route to a node that is not in `excluded`, or a refusal if there is none."""
        pool = self._pools_by_service.get(service)
        if pool is None:
            return Refusal(Reason.SERVICE_UNKNOWN, detail=f"no target announced {service}")
        tracker = pool.choose(now, excluded, random_source)
        if tracker is None:
            delay_s = jittered(RETRY_AFTER_MIN_S, random_source)
            detail = f"no target of {service} takes calls now"
            return Refusal(Reason.NO_TARGET, retry_after_s=delay_s, detail=detail)
        return tracker.route

    def on_start(self, route: ChosenEndpoint) -> None:
        """Record that an attempt is sent."""
        pool_and_tracker = self._find(route)
        if pool_and_tracker is not None:
            pool_and_tracker[0].on_start(pool_and_tracker[1])

    def on_finish(self, route: ChosenEndpoint, now: float, latency_s: float, ok: bool) -> None:
        """Record a response; `ok` is False if the target failed."""
        pool_and_tracker = self._find(route)
        if pool_and_tracker is not None:
            pool_and_tracker[0].on_finish(pool_and_tracker[1], now, latency_s, ok)

    def on_refusal(self, route: ChosenEndpoint, now: float, reason: Reason) -> None:
        """Record that the serving node or the target refused the attempt without running it."""
        pool_and_tracker = self._find(route)
        if pool_and_tracker is not None:
            pool_and_tracker[0].on_refusal(pool_and_tracker[1], now, reason is Reason.DRAINING)

    def on_failure(self, route: ChosenEndpoint, now: float, waited_s: float) -> None:
        """Record that the link or the target failed, or that no response came for `waited_s`."""
        self.on_finish(route, now, waited_s, ok=False)

    def on_cancel(self, route: ChosenEndpoint) -> None:
        """Record that an attempt was cancelled, which is no evidence about the endpoint."""
        pool_and_tracker = self._find(route)
        if pool_and_tracker is not None:
            pool_and_tracker[0].on_cancel(pool_and_tracker[1])

    def usable_nodes(self, service: str, now: float) -> frozenset[str]:
        """Return the nodes whose endpoint of a service accepts calls at the moment."""
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

    def spill_fraction(self, service: str) -> float:
        """Return the fraction of calls sent to other zones even if the local zone has endpoints."""
        pool = self._pools_by_service.get(service)
        return pool.spill_fraction if pool else 0.0

    def _find(self, route: ChosenEndpoint) -> tuple[ServicePool, EndpointTracker] | None:
        pool = self._pools_by_service.get(route.service)
        if pool is None:
            return None
        tracker = pool.trackers_by_node.get(route.node)
        if tracker is None or tracker.serial != route.serial:
            return None
        return pool, tracker
