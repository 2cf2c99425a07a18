"""How long an entry node waits for one attempt before it repeats the request elsewhere.

Answers endpoints that run requests and lose their answers without closing the connection. Such a
request would be held until its deadline, and with it the whole tree that it belongs to. Only
requests without calls of their own are given up early: they are short, and a repeat costs one
arrival. A request that still waits in the queue of its endpoint is not lost.
"""

from __future__ import annotations

from .peer_view import EndpointLoad

MIN_PATIENCE_S = 0.15
"""Shortest time in seconds; requests of a few milliseconds vary by more than their mean."""

USUAL_TIMES = 6.0
"""Multiple of the endpoint's usual time after which an answer counts as lost; the longest requests
take five times the mean."""

MIN_LEFT_TIMES = 1.5
"""Multiple of the usual time that must be left for the repeat."""

LEAF_CALLS = 1.5
"""Mean calls of a tree, the request included, up to which it counts as one without calls."""


def patience_s(load: EndpointLoad, wait_s: float, calls: float, left_s: float) -> float | None:
    """Return after how many seconds an answer counts as lost; None to wait until the deadline.

    `wait_s` is the expected time in the queue, `calls` the mean number of calls of the tree (0 where
    none is known) and `left_s` the time until the deadline.
    """
    if not 0.0 < calls <= LEAF_CALLS:
        return None
    patience = wait_s + max(MIN_PATIENCE_S, USUAL_TIMES * load.expected_s)
    if left_s - patience < MIN_LEFT_TIMES * load.expected_s:
        return None
    return patience
