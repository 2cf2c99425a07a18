"""Division of the requests of a route among its services."""

from __future__ import annotations

from ..randomness import RandomSource
from .traffic_policy import Route


class WeightedSplit:
    """Smooth weighted round robin for each route, from a random position.

    The random start keeps many nodes with few requests each from all choosing the same part first.
    """

    def __init__(self, source: RandomSource) -> None:
        self._source = source
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        credits = self._credit_by_service_by_route.get(route.name)
        if credits is None or credits.keys() != {part.service for part in route.parts}:
            credits = {part.service: self._source.random() * total for part in route.parts}
            self._credit_by_service_by_route[route.name] = credits
        for part in route.parts:
            credits[part.service] += part.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        return chosen
