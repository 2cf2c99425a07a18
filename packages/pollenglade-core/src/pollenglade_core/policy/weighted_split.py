"""Division of the requests of a route among its services."""

from __future__ import annotations

from ..randomness import RandomSource
from .traffic_policy import Route

STEP = 0.618033988749895
"""Fractional part of the golden ratio; multiples of it fill the unit interval most evenly."""


class WeightedSplit:
    """Walks through the parts of each route evenly, from a random position.

    The walk keeps the weights over short runs of one node. The random start makes each single pick
    of a node follow the weights, so that many nodes with few requests each keep them together.
    """

    def __init__(self, source: RandomSource) -> None:
        self._source = source
        self._position_by_route: dict[str, float] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        position = self._position_by_route.get(route.name)
        if position is None:
            position = self._source.random()
        position = (position + STEP) % 1.0
        self._position_by_route[route.name] = position
        left = position * sum(part.weight for part in route.parts)
        for part in route.parts:
            left -= part.weight
            if left < 0.0:
                return part.service
        return route.parts[-1].service
