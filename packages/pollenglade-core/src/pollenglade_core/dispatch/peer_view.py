"""View of the endpoints of all nodes, and the choice of the endpoint for the next request.

Balances load over endpoints of unequal and changing speed: a request goes to the endpoint with the
shortest expected time, and some requests go to the endpoint that was not chosen for the longest
time. The speed of an endpoint is measured only by its requests, so an endpoint that was once slow
or has just joined would otherwise get no requests while others have capacity.

The mesh node uses this module; the node's own interface chooses targets by `routing.service_pool`.
"""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter

from ..serving.endpoint_statement import Departure
from ..serving.endpoint_statement import EndpointIdentity
from .slot_use import SlotUse

MAX_REPORT_AGE_S = 3.0
"""Age in seconds of the latest load report at which a node is no longer chosen."""

LINK_FAILURE_AVOIDANCE_S = 0.5
"""Time in seconds for which a node is not chosen after a link to it broke."""

CROSS_ZONE_PENALTY_S = 0.01
"""Time in seconds added to the score of an endpoint in another zone.

It is the waiting time in the local zone that justifies a hop to another zone.
"""

SERVICE_TIME_WEIGHT = 0.25
"""Weight of the expected time at an endpoint in its score, relative to the time in its queue."""

FAILURE_PENALTY_S = 0.2
"""Time in seconds added to the score of an endpoint with a recent failure rate of 1."""

FAILURE_RATE_WEIGHT = 0.1
"""Weight of one result in the failure rate of an endpoint."""

FAILURE_DECAY_S = 3.0
"""Time in seconds without new results within which a failure rate falls to 0."""

EXPLORATION_INTERVAL = 32
"""Number of requests of which one goes to the endpoint not chosen for the longest time."""

MAX_EXPLORATION_FAILURE_RATE = 0.1
"""Failure rate at which an endpoint no longer gets requests just to measure its speed."""

MAX_DEPARTURES = 1024
"""Departures that are kept, one for each node; more than the nodes of the planned size."""


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of an endpoint as its node reports it.

    `limit` is the number of requests that may run at once, `expected_s` the expected time at the
    endpoint, `failure_rate` the fraction of its recent requests that it rejected or did not answer,
    `rate_limit` the requests per second that it takes, or None.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    expected_s: float = 0.05
    failure_rate: float = 0.0
    rate_limit: float | None = None

    @property
    def capacity(self) -> float:
        """Number of requests that can run at once on average, also with its rate limit."""
        if self.rate_limit is None:
            return self.limit
        return min(self.limit, self.rate_limit * self.expected_s)


class Peer:
    """A node and its endpoint, as seen from this node.

    `sent` counts the requests sent from this node since the latest load report. The peer also
    records, in this order, when its latest load report arrived, when it last queried this node for
    its state, and until when it is not chosen after a broken link. It is not ready while its
    endpoint is the one of its latest `departure`, whatever its node says: a restarted node may not
    know that the endpoint is leaving.
    """

    def __init__(
        self, node: str, zone: str, service: str, departure: Departure | None = None
    ) -> None:
        self.node = node
        self.zone = zone
        self.service = service
        self.ready = False
        self.endpoint = EndpointIdentity()
        self.departure = departure
        self.load = EndpointLoad()
        self.sent = 0
        self.use_by_service: Mapping[str, SlotUse] = {}
        self.last_report_at = float("-inf")
        self.last_query_at = float("-inf")
        self.avoided_until = float("-inf")
        self.last_chosen_at = float("-inf")
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0

    def apply_state(
        self, endpoint: EndpointIdentity, ready: bool, leaving: bool, now: float
    ) -> None:
        """Apply what the node says about the state of its endpoint."""
        self.endpoint = endpoint
        if leaving:
            self.mark_leaving(now)
            return
        departed = self.departure is not None and self.departure.covers(endpoint, now)
        self.ready = ready and not departed

    def mark_leaving(self, now: float) -> None:
        """Record that the current endpoint is leaving."""
        self.departure = Departure(self.endpoint, now)
        self.ready = False

    def apply_load_report(self, load: EndpointLoad, now: float) -> None:
        """Apply a load report and reset the count of requests sent since the previous one."""
        self.load = load
        self.sent = 0
        self.last_report_at = now

    def is_usable(self, now: float) -> bool:
        """Whether requests may be sent to the endpoint."""
        return (
            self.ready
            and self.load.capacity > 0.0
            and now - self.last_report_at < MAX_REPORT_AGE_S
            and now >= self.avoided_until
        )

    def record_result(self, failed: bool, now: float) -> None:
        """Update the failure rate with the result of a request to the endpoint."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + ((1.0 if failed else 0.0) - rate) * FAILURE_RATE_WEIGHT
        self._failure_rate_at = now

    def failure_rate(self, now: float) -> float:
        """Return the fraction of recent requests that failed; it decays over time."""
        age_s = max(0.0, now - self._failure_rate_at)
        return self._failure_rate * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def wait_s(self) -> float:
        """Return the expected time in seconds in the endpoint's queue for a request sent now."""
        load = self.load
        capacity = load.capacity
        # One request that runs alone is no queue, however low the rate limit is.
        requests_ahead = load.running + load.waiting + self.sent + 1 - max(1.0, capacity)
        return max(0.0, requests_ahead) * load.expected_s / capacity


class PeerView:
    """All known endpoints by node, and the choice among them by expected completion time."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.peer_by_node: dict[str, Peer] = {}
        self._departure_by_node: OrderedDict[str, Departure] = OrderedDict()
        self._choices_by_service: Counter[str] = Counter()

    def add(self, node: str, zone: str, service: str) -> None:
        """Add a node, unless it is known with this zone and service."""
        peer = self.peer_by_node.get(node)
        if peer is not None and (peer.zone, peer.service) == (zone, service):
            return
        self.remove(node)
        self.peer_by_node[node] = Peer(node, zone, service, self._departure_by_node.get(node))

    def remove(self, node: str) -> None:
        """Remove a node; the departure of its endpoint applies also after its return."""
        peer = self.peer_by_node.pop(node, None)
        if peer is None or peer.departure is None:
            return
        self._departure_by_node[node] = peer.departure
        self._departure_by_node.move_to_end(node)
        if len(self._departure_by_node) > MAX_DEPARTURES:
            self._departure_by_node.popitem(last=False)

    def peers_of_service(self, service: str) -> list[Peer]:
        """Return the endpoints of a service."""
        return [peer for peer in self.peer_by_node.values() if peer.service == service]

    def choose(self, service: str, now: float, excluded: Collection[str] = ()) -> Peer | None:
        """Return the endpoint for the next request, or None if no endpoint is usable."""
        usable = [
            peer
            for peer in self.peers_of_service(service)
            if peer.is_usable(now) and peer.node not in excluded
        ]
        if not usable:
            return None
        fastest = min(usable, key=lambda peer: self._score_s(peer, now))
        chosen = self._exploration_choice(service, usable, now) or fastest
        chosen.sent += 1
        chosen.last_chosen_at = now
        return chosen

    def _exploration_choice(self, service: str, usable: Iterable[Peer], now: float) -> Peer | None:
        """Count a choice; return the endpoint to explore, or None if none is due or qualifies.

        This is the endpoint not chosen for the longest time among those with a free slot and a low
        failure rate.
        """
        self._choices_by_service[service] += 1
        if self._choices_by_service[service] % EXPLORATION_INTERVAL:
            return None
        candidates = [
            peer
            for peer in usable
            if peer.wait_s() == 0.0
            and max(peer.failure_rate(now), peer.load.failure_rate) < MAX_EXPLORATION_FAILURE_RATE
        ]
        return min(candidates, key=attrgetter("last_chosen_at"), default=None)

    def slots(self, service: str, now: float) -> float:
        """Return the requests that can run at once at the usable endpoints of a service."""
        return sum(
            peer.load.capacity for peer in self.peers_of_service(service) if peer.is_usable(now)
        )

    def has_endpoints(self, service: str) -> bool:
        """Whether any known node has an endpoint of the service, usable or not."""
        return any(peer.service == service for peer in self.peer_by_node.values())

    def slot_use(self, service: str, now: float, local_node: str) -> SlotUse:
        """Return the summed slot use of a service that the other reachable nodes reported."""
        return SlotUse.total(
            [
                peer.use_by_service[service]
                for peer in self.peer_by_node.values()
                if service in peer.use_by_service
                and peer.node != local_node
                and now - peer.last_report_at < MAX_REPORT_AGE_S
            ]
        )

    def failure_rate(self, service: str, now: float) -> float:
        """Return the mean failure rate of a service's endpoints, weighted by their slots."""
        loads = [peer.load for peer in self.peers_of_service(service) if peer.is_usable(now)]
        slots = sum(load.capacity for load in loads)
        return sum(load.failure_rate * load.capacity for load in loads) / slots if slots else 0.0

    def _score_s(self, peer: Peer, now: float) -> float:
        score = peer.wait_s() + peer.load.expected_s * SERVICE_TIME_WEIGHT
        score += peer.failure_rate(now) * FAILURE_PENALTY_S
        if peer.zone != self._zone:
            score += CROSS_ZONE_PENALTY_S
        return score
