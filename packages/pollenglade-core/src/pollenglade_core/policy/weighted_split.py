"""Weighted selection of a service for each request of a route."""

from __future__ import annotations

from ..randomness import RandomSource
from .traffic_policy import Route

GOLDEN_RATIO_FRACTION = 0.618033988749895
"""Fractional part of the golden ratio.

Its multiples modulo 1 are the most evenly distributed sequence in the unit interval.
"""


class WeightedSplit:
    """Selects services by weight with an evenly distributed sequence for each route.

    The sequence keeps the weights even over a few requests at one node. It starts at a random
    position, so that the first request of each node follows the weights too. Many nodes with few
    requests each then keep the weights in total.
    """

    def __init__(self, source: RandomSource) -> None:
        self._source = source
        self._position_by_route: dict[str, float] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        position = self._position_by_route.get(route.name)
        if position is None:
            position = self._source.random()
        position = (position + GOLDEN_RATIO_FRACTION) % 1.0
        self._position_by_route[route.name] = position
        remaining_weight = position * sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            remaining_weight -= part.weight
            if remaining_weight < 0.0:
                return part.service
        return route.weighted_services[-1].service
