"""Packs the load of an endpoint into the figures that the feedback of a call carries."""

from __future__ import annotations

from collections.abc import Sequence

from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.serving.endpoint_statement import checked_pace

LOAD_FIELD_COUNT = 5
"""Figures that every release sends: running, waiting, limit, expected seconds, failure rate."""

MAX_FIGURE = 1e12
"""Largest figure that is taken for one of a load; rate limits have up to 12 digits."""

NO_RATE_LIMIT = -1.0
"""Stands for an endpoint without a rate limit."""


def pack_load(load: EndpointLoad, leaving: bool) -> tuple[float, ...]:
    """Return the load of an endpoint, its rate limit and whether it is leaving as figures.

    The pace follows only if the endpoint states one.
    """
    figures = (
        load.running,
        load.waiting,
        load.limit,
        load.expected_s,
        load.failure_rate,
        NO_RATE_LIMIT if load.rate_limit is None else load.rate_limit,
        float(leaving),
    )
    return figures if load.pace is None else (*figures, load.pace)


def unpack_load(figures: Sequence[float]) -> tuple[EndpointLoad, bool] | None:
    """Return the load of an endpoint and whether it is leaving.

    None if figures are missing or out of range.
    """
    if len(figures) < LOAD_FIELD_COUNT:
        return None
    running, waiting, limit, expected_s, failure_rate = figures[:LOAD_FIELD_COUNT]
    statement = figures[LOAD_FIELD_COUNT:]
    for figure in (running, waiting, limit, expected_s):
        if not 0.0 <= figure <= MAX_FIGURE:
            return None
    for figure in statement:
        if not NO_RATE_LIMIT <= figure <= MAX_FIGURE:
            return None
    if not 0.0 <= failure_rate <= 1.0:
        return None
    rate_limit = statement[0] if statement else NO_RATE_LIMIT
    leaving = statement[1] if len(statement) > 1 else 0.0
    load = EndpointLoad(
        int(running),
        int(waiting),
        max(1, int(limit)),
        expected_s,
        failure_rate,
        None if rate_limit < 0.0 else rate_limit,
        checked_pace(statement[2]) if len(statement) > 2 else None,
    )
    return load, leaving > 0.0
