"""What a node knows about the endpoints of other nodes, and which one gets the next request.

Answers load on endpoints of unequal and changing speed: requests go where they would be done first,
and some go to the endpoint that was left alone longest. Its speed is known from its requests only,
so that one which was slow once, or has just joined, would otherwise get nothing while others have
room.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter

from .slot_use import SlotUse

SILENT_S = 3.0
"""Age in seconds of the latest sign of life from which a node is not chosen any more."""

FAILED_S = 0.5
"""Time in seconds for which a node is avoided after a link to it broke."""

OTHER_ZONE_S = 0.01
"""Waiting time in seconds at an endpoint of the own zone that is worth a hop to another zone."""

SERVICE_TIME_PART = 0.25
"""Weight of an endpoint's own speed beside the time in its queue."""

FAILURE_PENALTY_S = 0.2
"""Time in seconds that is added to an endpoint's score for a recent failure rate of 1."""

FAILURE_WEIGHT = 0.1
"""Weight of one result in the failure rate of an endpoint."""

FAILURE_DECAY_S = 3.0
"""Time constant in seconds with which a failure rate fades without new results."""

EXPLORE_EVERY = 32
"""Requests of which one goes to the endpoint that was left alone longest."""

EXPLORE_MAX_FAILURES = 0.1
"""Failure rate from which an endpoint gets no request for the sake of knowing its speed."""


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of an endpoint as its node reports it.

    `expected_s` is the time at the endpoint, `failure_rate` the recent part of the requests that it
    rejected or did not answer.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    expected_s: float = 0.05
    failure_rate: float = 0.0


class Peer:
    """One node with its endpoint, as seen from this node."""

    def __init__(self, node: str, zone: str, service: str) -> None:
        self.node = node
        self.zone = zone
        self.service = service
        self.ready = False
        self.endpoint_id = ""
        self.load = EndpointLoad()
        self.sent = 0
        self.use_by_service: Mapping[str, SlotUse] = {}
        self.heard_at = float("-inf")
        self.asked_at = float("-inf")
        self.avoid_until = float("-inf")
        self.chosen_at = float("-inf")
        self._failure_rate = 0.0
        self._failure_at = 0.0

    def report(self, load: EndpointLoad, now: float) -> None:
        """Take a newer load; requests sent from here since then are counted in it."""
        self.load = load
        self.sent = 0
        self.heard_at = now

    def is_usable(self, now: float) -> bool:
        """Whether requests may be sent to the endpoint."""
        return self.ready and now - self.heard_at < SILENT_S and now >= self.avoid_until

    def note_result(self, failed: bool, now: float) -> None:
        """Learn from the result of a request at the endpoint."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + ((1.0 if failed else 0.0) - rate) * FAILURE_WEIGHT
        self._failure_at = now

    def failure_rate(self, now: float) -> float:
        """Return the recent share of failures, which fades with time."""
        age_s = max(0.0, now - self._failure_at)
        return self._failure_rate * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def wait_s(self) -> float:
        """Expected time in the endpoint's queue for a request sent now, in seconds."""
        load = self.load
        ahead = max(0, load.running + load.waiting + self.sent + 1 - load.limit)
        return ahead * load.expected_s / load.limit


class PeerView:
    """All known endpoints by node; chooses by the time in which a request would be done."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.by_node: dict[str, Peer] = {}
        self._choices_by_service: Counter[str] = Counter()

    def of_service(self, service: str) -> list[Peer]:
        """Return the endpoints of a service."""
        return [peer for peer in self.by_node.values() if peer.service == service]

    def choose(self, service: str, now: float, excluded: Collection[str] = ()) -> Peer | None:
        """Return the endpoint for the next request, or None where none is usable."""
        usable = [
            peer
            for peer in self.of_service(service)
            if peer.is_usable(now) and peer.node not in excluded
        ]
        if not usable:
            return None
        soonest = min(usable, key=lambda peer: self._score_s(peer, now))
        chosen = self._to_explore(service, usable, now) or soonest
        chosen.sent += 1
        chosen.chosen_at = now
        return chosen

    def _to_explore(self, service: str, usable: Iterable[Peer], now: float) -> Peer | None:
        """Return the endpoint left alone longest that has room and does not fail, if it is time."""
        self._choices_by_service[service] += 1
        if self._choices_by_service[service] % EXPLORE_EVERY:
            return None
        candidates = [
            peer
            for peer in usable
            if peer.wait_s() == 0.0
            and max(peer.failure_rate(now), peer.load.failure_rate) < EXPLORE_MAX_FAILURES
        ]
        return min(candidates, key=attrgetter("chosen_at"), default=None)

    def slots(self, service: str, now: float) -> float:
        """Return the slots of the usable endpoints of a service."""
        return sum(peer.load.limit for peer in self.of_service(service) if peer.is_usable(now))

    def is_known(self, service: str) -> bool:
        """Whether any node stands beside an endpoint of the service."""
        return any(peer.service == service for peer in self.by_node.values())

    def slot_use(self, service: str, now: float, own_node: str) -> SlotUse:
        """Return the sum of what the other reachable nodes tell about a service."""
        return SlotUse.total(
            [
                peer.use_by_service[service]
                for peer in self.by_node.values()
                if service in peer.use_by_service
                and peer.node != own_node
                and now - peer.heard_at < SILENT_S
            ]
        )

    def failure_rate(self, service: str, now: float) -> float:
        """Return the failure rate of a service, its endpoints weighted by their slots."""
        loads = [peer.load for peer in self.of_service(service) if peer.is_usable(now)]
        slots = sum(load.limit for load in loads)
        return sum(load.failure_rate * load.limit for load in loads) / slots if slots else 0.0

    def keep_only(self, nodes: Iterable[str]) -> None:
        """Forget nodes that are not members any more."""
        kept = set(nodes)
        for node in [node for node in self.by_node if node not in kept]:
            del self.by_node[node]

    def _score_s(self, peer: Peer, now: float) -> float:
        score = peer.wait_s() + peer.load.expected_s * SERVICE_TIME_PART
        score += peer.failure_rate(now) * FAILURE_PENALTY_S
        if peer.zone != self._zone:
            score += OTHER_ZONE_S
        return score
