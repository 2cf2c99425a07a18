"""Placement of one request while the load reports of endpoints are old.

Handles loads from a half of the slots upwards, at which an endpoint with free slots in its latest
report may be full when the request arrives. A request is first sent to an endpoint under the
condition that it starts at once. An endpoint without a free slot declines it, which costs a round
trip between nodes, and the request is placed elsewhere. After `MAX_DECLINES` the request waits at
the best of the endpoints that declined it, whose load is known from their answers. In a surge all
queues are long; requests then wait at the first endpoint, because declines would only add load.
"""

from __future__ import annotations

from collections.abc import Set

from .peer_view import Peer
from .peer_view import PeerView

MAX_DECLINES = 2
"""Number of endpoints without a free slot after which a request waits at the best of them."""

LONG_QUEUE_FRACTION = 0.25
"""Expected wait above which a queue is long, as a fraction of the expected time at the endpoint."""

NO_NODES: frozenset[str] = frozenset()


class Placement:
    """The endpoints that declined one request, and the choice of the next one for it.

    The request reaches only endpoints of `regions`, or of all regions if they are None.
    """

    __slots__ = ("_view", "declined_by", "regions", "service")

    def __init__(self, view: PeerView, service: str, regions: frozenset[str] | None = None) -> None:
        self._view = view
        self.service = service
        self.regions = regions
        self.declined_by: Set[str] = NO_NODES

    @property
    def _may_be_declined(self) -> bool:
        return len(self.declined_by) < MAX_DECLINES

    def choose(self, now: float, excluded: Set[str] = NO_NODES) -> Peer | None:
        """Return the endpoint for the next attempt, or None if no endpoint is usable."""
        if not self.declined_by:
            return self._view.choose(self.service, now, excluded, self.regions)
        peer: Peer | None = None
        if self._may_be_declined:
            peer = self._view.choose(self.service, now, excluded | self.declined_by, self.regions)
        if peer is None:
            peer = self.choose_among(self.declined_by - excluded, now)
        return peer or self._view.choose(self.service, now, excluded, self.regions)

    def choose_among(self, nodes: Set[str], now: float) -> Peer | None:
        """Return the endpoint for the next attempt among those of some nodes."""
        return self._view.choose_among(nodes, now, self.regions)

    def may_wait(self, peer: Peer, now: float) -> bool:
        """Whether the request may wait for a slot of the chosen endpoint."""
        if not self._may_be_declined or peer.node in self.declined_by:
            return True
        if peer.wait_s(now) > LONG_QUEUE_FRACTION * peer.expected_s(now):
            return True
        has_others = self._view.slots(self.service, now, self.regions) > peer.load.capacity
        return not has_others

    def on_declined(self, peer: Peer) -> None:
        """Record that an endpoint without a free slot declined the request."""
        self.declined_by |= {peer.node}
