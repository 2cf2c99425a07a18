"""Departures of endpoints that have to outlast the process of the node beside the endpoint.

A node that has confirmed a departure sends nothing more to the endpoint. If its process is
restarted, a heartbeat that arrives late would look like the start of an endpoint. The other nodes
remember the departure and tell the new process, and an adapter may keep it in a store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

import structlog

from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.numbers import MAX_INTEGER
from pollenglade_core.numbers import MAX_SECONDS
from pollenglade_core.numbers import is_in_range
from pollenglade_core.serving.endpoint_statement import UNKNOWN_INCARNATION
from pollenglade_core.serving.endpoint_statement import EndpointIdentity

from ..membership.links import Links
from .endpoint_serving import EndpointServing
from .node_state import NodeState

DEPARTURE_TOPIC = "departure"

DEPARTURE_WAIT_S = 1.0
"""Longest time in seconds for which a restarted node with a policy waits for departures before it
uses its endpoint; peers that had a link to the former process tell theirs within it."""

log = structlog.get_logger()


class DepartureExchange:
    """Tells restarted nodes of the departures of their endpoints, and applies what others tell.

    `on_leaving` is called when the local endpoint starts to leave, `on_wait_limited` when the time
    for which a restarted node waits for departures begins to run.
    """

    def __init__(self, view: PeerView, links: Links, serving: EndpointServing) -> None:
        self._view = view
        self._links = links
        self._serving = serving
        self._told_by_node: dict[str, tuple[int, EndpointIdentity]] = {}
        self._wait_timer: asyncio.TimerHandle | None = None
        self.on_leaving: Callable[[EndpointIdentity], None] = lambda endpoint: None
        self.on_wait_limited: Callable[[], None] = lambda: None

    @property
    def is_awaited(self) -> bool:
        """Whether the node does not use its endpoint until it knows of departures."""
        return self._serving.awaits_departure

    def start(self, restarted: bool) -> None:
        """Wait for departures if the process may have had a predecessor on its host."""
        self._serving.awaits_departure = restarted

    def limit_wait(self) -> None:
        """Limit the wait from the first policy on; no request is accepted before it.

        If all nodes were killed, the source of policies and departures may be away until then.
        """
        if self.is_awaited:
            loop = asyncio.get_running_loop()
            self._wait_timer = loop.call_later(DEPARTURE_WAIT_S, self.end_wait)
            self.on_wait_limited()

    def end_wait(self) -> None:
        """Use the endpoint from now on, unless a departure has been applied."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        self._serving.end_departure_wait()

    def apply(self, endpoint: EndpointIdentity, age_s: float, source: str) -> None:
        """Apply a departure of the local endpoint that became known `age_s` seconds ago."""
        if self._serving.restore_departure(endpoint, age_s):
            log.info(
                "departure_restored",
                endpoint=endpoint.endpoint_id,
                incarnation=endpoint.incarnation,
                age_s=round(age_s, 1),
                source=source,
            )

    def on_peer_state(self, state: NodeState) -> None:
        """Tell a peer of the departure of its endpoint if its state shows that it has forgotten."""
        node, endpoint = state.member.node, state.endpoint
        peer = self._view.peer_by_node.get(node)
        departure = None if peer is None else peer.departure
        if departure is None or state.leaving:
            return
        now = monotonic()
        if endpoint.endpoint_id and not departure.covers(endpoint, now):
            return
        told = (state.member.incarnation, endpoint)
        if self._told_by_node.get(node) == told:
            return
        self._told_by_node[node] = told

        def on_reply(reply: object) -> None:
            if reply is None:
                # Told again with the next state of the peer.
                self._told_by_node.pop(node, None)

        left = departure.endpoint
        payload = [left.endpoint_id, left.incarnation, round(now - departure.at, 3)]
        self._links.query_node(node, DEPARTURE_TOPIC, payload, on_reply)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Apply a departure that a peer tells."""
        match payload:
            case [str(endpoint_id), int(incarnation), age_s]:
                is_incarnation = UNKNOWN_INCARNATION <= incarnation <= MAX_INTEGER
                if is_incarnation and is_in_range(age_s, -MAX_SECONDS, MAX_SECONDS):
                    endpoint = EndpointIdentity(endpoint_id, incarnation)
                    self.apply(endpoint, max(0.0, age_s), "peer")
        reply(True)

    def close(self) -> None:
        """Stop waiting for departures."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
