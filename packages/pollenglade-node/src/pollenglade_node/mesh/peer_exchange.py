"""The member list of a node, and the state messages that members exchange over the links."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from time import monotonic

import structlog

from pollenglade_core.dispatch.evacuation import ZoneRecord
from pollenglade_core.dispatch.peer_view import SUSPICION_S
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.report_interval import INTERVAL_SPREAD
from pollenglade_core.dispatch.report_interval import report_interval_s
from pollenglade_net.address import Address

from ..membership.links import Links
from ..membership.links import PeerAddress
from .node_state import MeshMember
from .node_state import NodeState

STATE_TOPIC = "state"

MAX_SILENCE_STEP_S = 2.0
"""Largest time in seconds that one failed query adds to the silence of a peer.

More has passed between two of them if this process stood still, and a peer that was not asked
meanwhile was not silent.
"""

MAX_STATE_AGE_S = 0.02
"""Age in seconds up to which the own state is sent again; all messages of a round share one.

Its changes are pushed, apart from the load, of which each response carries a newer value.
"""

RUMOR_COUNT = 16
"""Peers to which a node passes a change on; one in e^16 nodes gets it from none of the others."""

PUSH_DELAY_S = 0.01
"""Time in seconds in which changes are batched before a state message to all peers."""

log = structlog.get_logger()


@dataclass(slots=True)
class _Silence:
    """Time in seconds for which a peer has left queries unanswered."""

    last_failure_at: float
    seconds: float = 0.0


class PeerExchange:
    """Maintains the member list and exchanges state messages with all members.

    `on_members_changed` is called after a change of the member list, `on_peer_state` with the node
    and its policy version after each state message, `on_evacuations` with the node and its records
    of evacuated zones before the state is applied, `on_source_age` with the age in seconds of the
    latest check of the policy source that the peer knows of, `on_endpoint_state` with each state
    after the endpoint's part of it is applied.
    """

    def __init__(
        self,
        local_member: MeshMember,
        links: Links,
        view: PeerView,
        read_state: Callable[[], NodeState],
        random_source: random.Random,
    ) -> None:
        self._local_member = local_member
        self._links = links
        self._view = view
        self._read_state = read_state
        self._random_source = random_source
        self._loop = asyncio.get_running_loop()
        self._send_timer: asyncio.TimerHandle | None = None
        self._push_timer: asyncio.TimerHandle | None = None
        self._queried_nodes: set[str] = set()
        self._encoded_state: list[object] = []
        self._state_at = float("-inf")
        self.member_by_node: dict[str, MeshMember] = {local_member.node: local_member}
        self._silence_by_node: dict[str, _Silence] = {}
        self.on_members_changed: Callable[[], None] = lambda: None
        self.on_peer_state: Callable[[str, int], None] = lambda node, version: None
        self.on_evacuations: Callable[[tuple[ZoneRecord, ...], str], None] = lambda records, node: (
            None
        )
        self.on_source_age: Callable[[float], None] = lambda age_s: None
        self.on_endpoint_state: Callable[[NodeState], None] = lambda state: None

    def start(self) -> None:
        """Start sending state messages periodically."""
        self._send_periodically()

    @property
    def nodes(self) -> list[str]:
        """Node names of all members including this node, reachable or not."""
        return list(self.member_by_node)

    @property
    def other_nodes(self) -> list[str]:
        """Node names of all other members, reachable or not."""
        return [node for node in self.member_by_node if node != self._local_member.node]

    def silent_nodes(self) -> dict[str, float]:
        """Return the time in seconds for which each unreachable node has not answered."""
        return {node: silence.seconds for node, silence in self._silence_by_node.items()}

    def is_alive(self, node: str) -> bool:
        """Whether a load report of the node arrived within the last three state intervals.

        The endpoint of the node need not be ready.
        """
        peer = self._view.peer_by_node.get(node)
        return peer is not None and monotonic() < peer.last_report_at + 3 * self._state_interval_s()

    def add(self, members: Iterable[MeshMember], source: str) -> None:
        """Add members that are unknown or whose location changed.

        Incarnations are not compared, because they come from the wall clock, which may step back.
        """
        changed = False
        for member in members:
            known_member = self.member_by_node.get(member.node)
            if member.node == self._local_member.node or (
                known_member is not None and known_member.has_same_location(member)
            ):
                continue
            if known_member is not None and source != member.node and self.is_alive(member.node):
                # A node itself knows best where it is; an entry may come from another writer.
                log.warning("member_entry_rejected", member=member.node, source=source)
                continue
            log.info("member_joined", member=member.node, source=source)
            self._put_member(member)
            changed = True
        if changed:
            self.on_members_changed()

    def _put_member(self, member: MeshMember) -> None:
        address = Address.parse_peer(member.link_address)
        for node, other in list(self.member_by_node.items()):
            # Only one node can use an address, so another one there that is silent was replaced.
            # One that is alive may be named wrongly; its link shows which of the two is there.
            if (
                node not in (member.node, self._local_member.node)
                and other.link_address == member.link_address
                and not self.is_alive(node)
            ):
                self._forget_member(node)
        self.member_by_node[member.node] = member
        self._view.add(member.node, member.zone, member.service)
        self._links.peers_by_node[member.node] = PeerAddress(address, member.incarnation)

    def remove(self, node: str, source: str) -> None:
        """Remove a member that has left; this node itself is never removed."""
        if node == self._local_member.node or node not in self.member_by_node:
            return
        log.info("member_left", member=node, source=source)
        self._forget_member(node)
        self.on_members_changed()

    def _forget_member(self, node: str) -> None:
        self.member_by_node.pop(node, None)
        self._view.remove(node)
        self._silence_by_node.pop(node, None)
        self._links.forget_peer(node)

    def push(self) -> None:
        """Schedule a state message to all peers, batched with other changes."""
        self._forget_state()
        if self._push_timer is None:
            self._push_timer = self._loop.call_later(PUSH_DELAY_S, self._push)

    def push_now(self) -> None:
        """Send a state message to all peers at once; what is confirmed next must not be lost."""
        if self._push_timer is not None:
            self._push_timer.cancel()
        self._push()

    def _push(self) -> None:
        self._push_timer = None
        self._forget_state()
        for node in self.nodes:
            self._send(node, force=True)

    def push_to_some(self) -> None:
        """Send a state message to `RUMOR_COUNT` random peers.

        For changes that nearly all nodes learn by themselves and then pass on in the same way.
        """
        self._forget_state()
        peers = self.other_nodes
        for node in self._random_source.sample(peers, min(RUMOR_COUNT, len(peers))):
            self._send(node, force=True)

    def _state_to_send(self) -> list[object]:
        """Return the state of this node for a message, computed anew only if it is old."""
        now = monotonic()
        if now > self._state_at + MAX_STATE_AGE_S:
            self._state_at = now
            self._encoded_state = self._read_state().to_wire()
        return self._encoded_state

    def _forget_state(self) -> None:
        self._state_at = float("-inf")

    def _state_interval_s(self) -> float:
        return report_interval_s(len(self.member_by_node))

    def _send_periodically(self) -> None:
        spread = INTERVAL_SPREAD * (2.0 * self._random_source.random() - 1.0)
        delay_s = self._state_interval_s() * (1.0 + spread)
        self._send_timer = self._loop.call_later(delay_s, self._send_periodically)
        # All peers share one iteration of the event loop; one for each peer costs more in total.
        for node in self.nodes:
            self._send(node)

    def _send(self, node: str, force: bool = False) -> None:
        if node == self._local_member.node or node not in self.member_by_node:
            return
        if not force and (node in self._queried_nodes or self._is_polled_by(node)):
            return
        self._queried_nodes.add(node)

        def on_reply(reply: object) -> None:
            self._queried_nodes.discard(node)
            state = NodeState.from_wire(reply)
            if state is None:
                self._on_no_reply(node)
            else:
                self.apply(state)

        self._links.query_node(node, STATE_TOPIC, self._state_to_send(), on_reply)

    def _is_polled_by(self, node: str) -> bool:
        """Whether the peer is the one that polls in this pair, and did so within two intervals.

        The node with the lower node name polls; one exchange transfers the states of both nodes.
        """
        peer = self._view.peer_by_node.get(node)
        if peer is None or node > self._local_member.node:
            return False
        return monotonic() - peer.last_query_at < 2 * self._state_interval_s()

    def _on_no_reply(self, node: str) -> None:
        peer = self._view.peer_by_node.get(node)
        if peer is None:
            return
        now = monotonic()
        peer.on_link_failed(now)
        peer.is_silent = True
        silence = self._silence_by_node.get(node)
        if silence is None:
            self._silence_by_node[node] = _Silence(now)
            log.warning("peer_lost", peer=node)
            return
        silence.seconds += min(MAX_SILENCE_STEP_S, now - silence.last_failure_at)
        silence.last_failure_at = now

    def on_disconnected(self, node: str) -> None:
        """Poll a peer that has polled this node until now; it may have been restarted."""
        peer = self._view.peer_by_node.get(node)
        if peer is not None:
            peer.last_query_at = float("-inf")

    def on_replaced(self, node: str, other: str) -> None:
        """Remove a member at whose address another node has answered."""
        log.warning("member_replaced", member=node, by=other)
        self.remove(node, "link")

    def on_suspected(self, node: str) -> None:
        """Prefer other endpoints to that of a peer whose link is silent."""
        peer = self._view.peer_by_node.get(node)
        if peer is not None:
            peer.suspected_until = monotonic() + SUSPICION_S

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Apply the state of a peer and reply with this node's state."""
        state = NodeState.from_wire(payload)
        if state is not None:
            self.apply(state)
            peer = self._view.peer_by_node.get(state.member.node)
            if peer is not None:
                peer.last_query_at = monotonic()
        reply(self._state_to_send())

    def apply(self, state: NodeState) -> None:
        """Apply the state of a peer; this node's own state is ignored."""
        node = state.member.node
        if node == self._local_member.node:
            return
        if state.evacuations:
            self.on_evacuations(state.evacuations, node)
        self.add([state.member], node)
        peer = self._view.peer_by_node.get(node)
        if peer is None:
            return
        peer.apply_state(state.endpoint, state.ready, state.leaving, monotonic())
        self.on_endpoint_state(state)
        self._view.apply_slot_use(node, state.use_by_service, monotonic())
        peer.apply_load_report(state.load, monotonic())
        peer.is_silent = False
        if self._silence_by_node.pop(node, None) is not None:
            peer.avoided_until = float("-inf")
            log.info("peer_regained", peer=node)
        self.on_source_age(state.source_age_s)
        self.on_peer_state(node, state.policy_version)

    def close(self) -> None:
        """Stop sending state messages."""
        if self._send_timer is not None:
            self._send_timer.cancel()
        if self._push_timer is not None:
            self._push_timer.cancel()
