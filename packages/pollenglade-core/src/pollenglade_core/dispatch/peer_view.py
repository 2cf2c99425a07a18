"""View of the endpoints of all nodes, and the choice of the endpoint for the next request.

Balances load over endpoints of unequal and changing speed while load reports are old. If all nodes
chose the best of all endpoints by the same old reports, they would flood it until the next report.
A request therefore goes to the best of a few candidates drawn at random, some of them in the zone
of this node. The cost of a choice does not grow with the number of endpoints. Endpoints that state
their pace are drawn in proportion to their free slots, see docs/design/even-load.md.

Some requests go to the endpoint that was not chosen for the longest time. The speed of an endpoint
is measured only by its requests, so an endpoint that was once slow or has just joined would
otherwise get no requests while others have capacity.

The mesh node uses this module; the node's own interface chooses targets by `routing.service_pool`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from operator import attrgetter

from ..randomness import RandomSource
from ..serving.endpoint_statement import PACE_VALIDITY_S
from ..serving.endpoint_statement import Departure
from ..serving.endpoint_statement import EndpointIdentity
from .report_interval import MIN_REPORT_VALIDITY_S
from .report_interval import report_validity_s
from .slot_use import SlotUse
from .slot_use_totals import SlotUseTotals

CANDIDATES = 2
"""Endpoints drawn from the zone of this node, and from all zones, for each choice."""

MAX_DRAWS = 8
"""Draws after which unusable endpoints are taken to be many, and all endpoints are examined."""

TOTALS_MAX_AGE_S = 0.05
"""Time in seconds for which the slots and the failure rate of a service are not computed again; a
fraction of the time of most requests."""

MIN_EXPECTED_S = 1e-6
"""Lower bound on an expected time that is a divisor; a false report may contain 0."""

FREE_SLOTS_EXPONENT = 1.5
"""Exponent of the fraction of free slots in the probability with which a drawn endpoint that states
a pace is a candidate.

Reports of a large mesh are old, and an endpoint that had few free slots may have none by now.
"""

MIN_DRAW_PROBABILITY = 0.05
"""Lower bound on the probability with which a drawn endpoint that states a pace is a candidate; its
report may be old."""

LINK_FAILURE_AVOIDANCE_S = 0.5
"""Time in seconds for which a node is not chosen after a link to it broke or was not opened.

It doubles with each further failure until the node reports its load again.
"""

MAX_LINK_FAILURE_AVOIDANCE_S = 4.0
"""Upper bound on that time in seconds; reports of a larger mesh are that far apart."""

SUSPICION_S = 0.25
"""Time in seconds for which a node is suspected after a check found a link to it silent.

It covers two checks, so that a node remains suspected until it answers or the link is closed.
"""

SUSPICION_PENALTY_S = 1.0
"""Time in seconds added to the score of an endpoint whose node is suspected.

It is about the time after which a silent link is closed. Such an endpoint is chosen only if all
candidates are suspected, as they are when the nodes of a service are merely slow.
"""

CROSS_ZONE_PENALTY_S = 0.01
"""Time in seconds added to the score of an endpoint in another zone.

It is the waiting time in the local zone that justifies a hop to another zone.
"""

SERVICE_TIME_WEIGHT = 0.25
"""Weight of the expected time at an endpoint in its score, relative to the time in its queue.

The expected time counts up to twice, in proportion to the slots in use: among endpoints without a
queue, the one with more free slots is less likely to have one when the request arrives.
"""

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

MAX_FILTERED_GROUPS = 256
"""Groups of endpoints by service and regions that are kept; more than manifests need."""

MAX_DEPARTURES = 1024
"""Departures that are kept, one for each node; more than the nodes of the planned size."""


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of an endpoint as its node reports it.

    `limit` is the number of requests that may run at once, `expected_s` the expected time at the
    endpoint, `failure_rate` the fraction of its recent requests that it rejected or did not answer,
    `rate_limit` the requests per second that it takes, or None. `pace` is the factor by which
    `expected_s` differs from the usual time, None if the endpoint states none.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    expected_s: float = 0.05
    failure_rate: float = 0.0
    rate_limit: float | None = None
    pace: float | None = None

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
    its state, until when it is not chosen after a broken link, and until when it is suspected
    because a link to it is silent. It is silent from a query that
    it did not answer until its next state message. It is not ready while its
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
        self.last_report_at = float("-inf")
        self.last_query_at = float("-inf")
        self.avoided_until = float("-inf")
        self._avoidance_s = LINK_FAILURE_AVOIDANCE_S
        self.suspected_until = float("-inf")
        self.last_chosen_at = float("-inf")
        self.is_silent = False
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
        self._avoidance_s = LINK_FAILURE_AVOIDANCE_S

    def on_link_failed(self, now: float) -> None:
        """Avoid the node for a while, after a link to it broke or could not be opened.

        Requests that fail with the same link count once.
        """
        if now < self.avoided_until:
            return
        self.avoided_until = now + self._avoidance_s
        self._avoidance_s = min(2.0 * self._avoidance_s, MAX_LINK_FAILURE_AVOIDANCE_S)

    def is_usable(self, now: float, validity_s: float = MIN_REPORT_VALIDITY_S) -> bool:
        """Whether requests may be sent to the endpoint.

        `validity_s` is the age in seconds up to which load reports are valid. It is shorter for a
        node that has left a query unanswered.
        """
        max_age_s = MIN_REPORT_VALIDITY_S if self.is_silent else validity_s
        return (
            self.ready
            and self.load.capacity > 0.0
            and now - self.last_report_at < max_age_s
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

    def pace(self, now: float) -> float:
        """Return the pace, which returns to 1 as the report ages; 1 if the endpoint states none."""
        pace = self.load.pace
        if pace is None:
            return 1.0
        age_fraction = min(1.0, max(0.0, now - self.last_report_at) / PACE_VALIDITY_S)
        return pace + (1.0 - pace) * age_fraction

    def expected_s(self, now: float) -> float:
        """Return the expected time in seconds at the endpoint; an old pace does not count."""
        load = self.load
        return (
            load.expected_s if load.pace is None else load.expected_s / load.pace * self.pace(now)
        )

    def draw_probability(self, now: float, usual_s: float) -> float:
        """Return how likely a drawn endpoint with a pace becomes a candidate.

        It falls with the slots in use, and where the endpoint takes longer than `usual_s`, the mean
        of its service at the usual pace, so that the nodes spread their requests over the free
        slots of fast endpoints.
        """
        load = self.load
        used_fraction = (load.running + load.waiting + self.sent) / load.capacity
        free_factor: float = max(0.0, 1.0 - used_fraction) ** FREE_SLOTS_EXPONENT
        speed = min(1.0, usual_s / max(self.expected_s(now), MIN_EXPECTED_S))
        return max(MIN_DRAW_PROBABILITY, free_factor * speed * speed)

    def wait_s(self, now: float) -> float:
        """Return the expected time in seconds in the endpoint's queue for a request sent now."""
        load = self.load
        capacity = load.capacity
        # One request that runs alone is no queue, however low the rate limit is.
        requests_ahead = load.running + load.waiting + self.sent + 1 - max(1.0, capacity)
        return max(0.0, requests_ahead) * self.expected_s(now) / capacity


@dataclass(slots=True)
class _EndpointGroup:
    """The endpoints of one service, those in the local zone once more, and figures about them."""

    peers: list[Peer] = field(default_factory=list)
    local_peers: list[Peer] = field(default_factory=list)
    choices: int = 0
    slots: float = 0.0
    failure_rate: float = 0.0
    usual_s: float = float("inf")
    totals_at: float = float("-inf")


class PeerView:
    """All known endpoints by node, and the choice among them by expected completion time."""

    def __init__(
        self,
        zone: str,
        random_source: RandomSource,
        region_by_zone: Mapping[str, str] | None = None,
    ) -> None:
        self._zone = zone
        self._region_by_zone = region_by_zone or {}
        self._random_source = random_source
        self.peer_by_node: dict[str, Peer] = {}
        self._group_by_service: dict[str, _EndpointGroup] = {}
        self._filtered_group_by_key: dict[tuple[str, frozenset[str] | None], _EndpointGroup] = {}
        self._departure_by_node: OrderedDict[str, Departure] = OrderedDict()
        self._slot_use_totals = SlotUseTotals()
        self._report_validity_s = MIN_REPORT_VALIDITY_S
        self._evacuated_zones: frozenset[str] = frozenset()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose endpoints are not chosen and do not count as slots."""
        return self._evacuated_zones

    @evacuated_zones.setter
    def evacuated_zones(self, zones: frozenset[str]) -> None:
        self._evacuated_zones = zones
        self._filtered_group_by_key.clear()

    @property
    def zones(self) -> set[str]:
        """Zones of all known nodes."""
        return {peer.zone for peer in self.peer_by_node.values()}

    def add(self, node: str, zone: str, service: str) -> None:
        """Add a node, unless it is known with this zone and service."""
        peer = self.peer_by_node.get(node)
        if peer is not None and (peer.zone, peer.service) == (zone, service):
            return
        self.remove(node)
        peer = Peer(node, zone, service, self._departure_by_node.get(node))
        self.peer_by_node[node] = peer
        group = self._group_by_service.setdefault(service, _EndpointGroup())
        group.peers.append(peer)
        if zone == self._zone:
            group.local_peers.append(peer)
        self._filtered_group_by_key.clear()
        self._report_validity_s = report_validity_s(len(self.peer_by_node))

    def remove(self, node: str) -> None:
        """Remove a node; the departure of its endpoint applies also after its return."""
        peer = self.peer_by_node.pop(node, None)
        if peer is None:
            return
        group = self._group_by_service[peer.service]
        group.peers.remove(peer)
        if peer.zone == self._zone:
            group.local_peers.remove(peer)
        self._filtered_group_by_key.clear()
        self._slot_use_totals.remove(node)
        self._report_validity_s = report_validity_s(len(self.peer_by_node))
        if peer.departure is None:
            return
        self._departure_by_node[node] = peer.departure
        self._departure_by_node.move_to_end(node)
        if len(self._departure_by_node) > MAX_DEPARTURES:
            self._departure_by_node.popitem(last=False)

    def is_usable(self, peer: Peer, now: float) -> bool:
        """Whether requests may be sent to an endpoint."""
        return self._is_allowed(peer, None) and peer.is_usable(now, self._report_validity_s)

    def _group(self, service: str, regions: frozenset[str] | None) -> _EndpointGroup | None:
        """Return the endpoints of a service outside of evacuated zones and inside of some regions.

        A group that leaves endpoints out is kept until the members or the evacuated zones change,
        so that a choice among its endpoints costs the same as one among all.
        """
        group = self._group_by_service.get(service)
        if group is None or (regions is None and not self._evacuated_zones):
            return group
        filtered_group = self._filtered_group_by_key.get((service, regions))
        if filtered_group is None:
            filtered_group = _EndpointGroup(
                [peer for peer in group.peers if self._is_allowed(peer, regions)],
                [peer for peer in group.local_peers if self._is_allowed(peer, regions)],
            )
            if len(self._filtered_group_by_key) >= MAX_FILTERED_GROUPS:
                self._filtered_group_by_key.clear()
            self._filtered_group_by_key[service, regions] = filtered_group
        return filtered_group

    def _is_allowed(self, peer: Peer, regions: frozenset[str] | None) -> bool:
        """Whether a zone is not evacuated and in one of the regions, unless these are None."""
        if peer.zone in self._evacuated_zones:
            return False
        return regions is None or self._region_by_zone.get(peer.zone) in regions

    def choose(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        regions: frozenset[str] | None = None,
    ) -> Peer | None:
        """Return the endpoint for the next request, or None if no endpoint is usable.

        Only endpoints in `regions` are usable, unless these are None.
        """
        group = self._group(service, regions)
        if group is None:
            return None
        candidates = self._draw(group, group.local_peers, now, excluded)
        candidates += self._draw(group, group.peers, now, excluded)
        if not candidates:
            candidates = self._usable(group.peers, now, excluded)
        chosen = self._exploration_choice(group, now, excluded) or self._best(candidates, now)
        return self._record_choice(chosen, now)

    def choose_among(
        self, nodes: Iterable[str], now: float, regions: frozenset[str] | None = None
    ) -> Peer | None:
        """Return the endpoint for the next request among those of some nodes."""
        peers = [
            peer
            for node in nodes
            if (peer := self.peer_by_node.get(node)) is not None and self._is_allowed(peer, regions)
        ]
        return self._record_choice(self._best(self._usable(peers, now, ()), now), now)

    def _record_choice(self, peer: Peer | None, now: float) -> Peer | None:
        if peer is not None:
            peer.sent += 1
            peer.last_chosen_at = now
        return peer

    def _draw(
        self,
        group: _EndpointGroup,
        peers: Sequence[Peer],
        now: float,
        excluded: Collection[str],
    ) -> list[Peer]:
        """Return up to `CANDIDATES` usable endpoints at random, or all usable ones of a few."""
        if len(peers) <= 2 * CANDIDATES:
            return self._usable(peers, now, excluded)
        drawn: list[Peer] = []
        validity_s = self._report_validity_s
        passed_over: Peer | None = None
        usual_s = group.usual_s
        for _ in range(MAX_DRAWS):
            position = self._random_source.random() * len(peers)
            peer = peers[int(position)]
            if peer in drawn or peer.node in excluded or not peer.is_usable(now, validity_s):
                continue
            # The fraction of the position is a second random number.
            if peer.load.pace is not None and position % 1.0 >= peer.draw_probability(now, usual_s):
                passed_over = peer
                continue
            drawn.append(peer)
            if len(drawn) == CANDIDATES:
                break
        # Without it, all endpoints would be examined for each choice in a surge.
        return drawn or ([passed_over] if passed_over is not None else [])

    def _usable(self, peers: Iterable[Peer], now: float, excluded: Collection[str]) -> list[Peer]:
        validity_s = self._report_validity_s
        return [
            peer for peer in peers if peer.node not in excluded and peer.is_usable(now, validity_s)
        ]

    def _best(self, candidates: Iterable[Peer], now: float) -> Peer | None:
        return min(candidates, key=lambda peer: self._score_s(peer, now), default=None)

    def _exploration_choice(
        self, group: _EndpointGroup, now: float, excluded: Collection[str]
    ) -> Peer | None:
        """Count a choice; return the endpoint to explore, or None if none is due or qualifies.

        This is the endpoint not chosen for the longest time among those with a free slot and a low
        failure rate.
        """
        group.choices += 1
        if group.choices % EXPLORATION_INTERVAL:
            return None
        candidates = [
            peer
            for peer in self._usable(group.peers, now, excluded)
            if peer.wait_s(now) == 0.0
            and now >= peer.suspected_until
            and max(peer.failure_rate(now), peer.load.failure_rate) < MAX_EXPLORATION_FAILURE_RATE
        ]
        return min(candidates, key=attrgetter("last_chosen_at"), default=None)

    def slots(self, service: str, now: float, regions: frozenset[str] | None = None) -> float:
        """Return the requests that can run at once at the usable endpoints of a service."""
        group = self._group(service, regions)
        return 0.0 if group is None else self._with_totals(group, now).slots

    def failure_rate(self, service: str, now: float) -> float:
        """Return the mean failure rate of a service's endpoints, weighted by their slots."""
        group = self._group(service, None)
        return 0.0 if group is None else self._with_totals(group, now).failure_rate

    def _with_totals(self, group: _EndpointGroup, now: float) -> _EndpointGroup:
        """Compute the figures of a service unless they are recent."""
        if group.totals_at <= now < group.totals_at + TOTALS_MAX_AGE_S:
            return group
        loads = [peer.load for peer in self._usable(group.peers, now, ())]
        group.slots = sum(load.capacity for load in loads)
        failed_slots = sum(load.failure_rate * load.capacity for load in loads)
        group.failure_rate = failed_slots / group.slots if group.slots else 0.0
        if loads:
            group.usual_s = sum(load.expected_s / (load.pace or 1.0) for load in loads) / len(loads)
        group.totals_at = now
        return group

    def has_endpoints(self, service: str) -> bool:
        """Whether any known node has an endpoint of the service, usable or not."""
        group = self._group_by_service.get(service)
        return group is not None and bool(group.peers)

    def apply_slot_use(self, node: str, use_by_service: Mapping[str, SlotUse], now: float) -> None:
        """Apply the slot use that another node reported."""
        self._slot_use_totals.apply(node, use_by_service, now)

    def slot_use(self, service: str, now: float) -> SlotUse:
        """Return the summed slot use of a service that the other reachable nodes reported."""
        return self._slot_use_totals.total(service, now - self._report_validity_s)

    def _score_s(self, peer: Peer, now: float) -> float:
        load = peer.load
        requests = load.running + load.waiting + peer.sent
        used_fraction = min(1.0, requests / max(1.0, load.capacity))
        score = peer.wait_s(now) + peer.expected_s(now) * SERVICE_TIME_WEIGHT * (
            1.0 + used_fraction
        )
        score += peer.failure_rate(now) * FAILURE_PENALTY_S
        if now < peer.suspected_until:
            score += SUSPICION_PENALTY_S
        if peer.zone != self._zone:
            score += CROSS_ZONE_PENALTY_S
        return score
