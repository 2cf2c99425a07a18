"""Members of the mesh and the state that they tell each other over the links."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from time import monotonic

import structlog

from pollenglade_core.dispatch.peer_view import FAILED_S
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.slot_use import PRIORITIES
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_net.address import Address

from ..membership.links import Links
from ..membership.links import PeerAddress

STATE_TOPIC = "state"

PERIOD_S = 0.75
"""Time in seconds between two states sent to a peer in a small mesh."""

PEERS_PER_S = 64.0
"""States that a node sends in a second at most; in a larger mesh the period grows."""

PUSH_DELAY_S = 0.01
"""Time in seconds in which changes are collected before they are sent to all peers."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class MeshMember:
    """A node as it announces itself; `link_address` is `host:port`."""

    node: str
    zone: str
    service: str
    link_address: str
    incarnation: int

    def is_at(self, other: MeshMember) -> bool:
        """Whether another record puts the node at the same place, whatever its start."""
        place = (self.zone, self.service, self.link_address)
        return place == (other.zone, other.service, other.link_address)


@dataclass(frozen=True, slots=True)
class NodeState:
    """What a node tells about itself and the endpoint beside it."""

    member: MeshMember
    ready: bool
    endpoint_id: str
    load: EndpointLoad
    policy_version: int
    use_by_service: Mapping[str, SlotUse] = field(default_factory=dict)

    def to_wire(self) -> list[object]:
        """Return the state as a list for the link."""
        member, load = self.member, self.load
        return [
            member.node,
            member.zone,
            member.service,
            member.link_address,
            member.incarnation,
            self.ready,
            self.endpoint_id,
            [load.running, load.waiting, load.limit, load.expected_s, load.failure_rate],
            self.policy_version,
            {
                name: [round(slots, 2) for slots in (*use.occupied, *use.offered)]
                for name, use in self.use_by_service.items()
            },
        ]

    @classmethod
    def from_wire(cls, value: object) -> NodeState | None:
        """Decode a state; None where a field is missing or has another type."""
        match value:
            case [
                str(node),
                str(zone),
                str(service),
                str(address),
                int(incarnation),
                bool(ready),
                str(endpoint_id),
                [
                    int(running),
                    int(waiting),
                    int(limit),
                    float() | int() as expected_s,
                    float() | int() as failure_rate,
                ],
                int(version),
                dict(occupied),
                *_,
            ]:
                member = MeshMember(node, zone, service, address, incarnation)
                load = EndpointLoad(
                    running, waiting, max(1, limit), float(expected_s), float(failure_rate)
                )
                use_by_service = {
                    name: SlotUse(tuple(use[:PRIORITIES]), tuple(use[PRIORITIES:]))
                    for name, use in occupied.items()
                    if isinstance(name, str) and _is_slot_use(use)
                }
                return cls(member, ready, endpoint_id, load, version, use_by_service)
        return None


def _is_slot_use(value: object) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 2 * PRIORITIES
        and all(isinstance(item, int | float) for item in value)
    )


class PeerExchange:
    """Keeps the list of members, sends the own state to all of them and applies theirs."""

    def __init__(
        self,
        own: MeshMember,
        links: Links,
        view: PeerView,
        state: Callable[[], NodeState],
        source: random.Random,
    ) -> None:
        self._own = own
        self._links = links
        self._view = view
        self._state = state
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._ticker: asyncio.TimerHandle | None = None
        self._push_timer: asyncio.TimerHandle | None = None
        self._asking: set[str] = set()
        self.member_by_node: dict[str, MeshMember] = {own.node: own}
        self.unreachable_since: dict[str, float] = {}
        self.on_members: Callable[[], None] = lambda: None
        self.on_state: Callable[[str, int], None] = lambda node, version: None

    def start(self) -> None:
        """Send states from now on."""
        self._tick()

    @property
    def nodes(self) -> list[str]:
        """All members, whether they answer or not."""
        return list(self.member_by_node)

    def is_alive(self, node: str) -> bool:
        """Whether a node answered recently."""
        peer = self._view.by_node.get(node)
        return peer is not None and monotonic() < peer.heard_at + 3 * self._period_s()

    def add(self, members: Iterable[MeshMember], source: str) -> None:
        """Learn about members that are not known, or that have moved.

        Incarnations are not compared: they come from the time of day, which may step back.
        """
        changed = False
        for member in members:
            known = self.member_by_node.get(member.node)
            if member.node == self._own.node or (known is not None and known.is_at(member)):
                continue
            log.info("member_joined", member=member.node, source=source)
            self._set(member)
            changed = True
        if changed:
            self.on_members()

    def _set(self, member: MeshMember) -> None:
        for node, other in list(self.member_by_node.items()):
            # A host that was replaced at the same address has left.
            if node != member.node and other.link_address == member.link_address:
                self._forget(node)
        self.member_by_node[member.node] = member
        peer = self._view.by_node.get(member.node)
        if peer is None or peer.service != member.service or peer.zone != member.zone:
            self._view.by_node[member.node] = Peer(member.node, member.zone, member.service)
        address = Address.parse(member.link_address)
        self._links.peers_by_node[member.node] = PeerAddress(address, member.incarnation)

    def remove(self, node: str, source: str) -> None:
        """Forget a member that has gone."""
        if node == self._own.node or node not in self.member_by_node:
            return
        log.info("member_left", member=node, source=source)
        self._forget(node)
        self.on_members()

    def _forget(self, node: str) -> None:
        self.member_by_node.pop(node, None)
        self._view.by_node.pop(node, None)
        self.unreachable_since.pop(node, None)
        self._links.forget_peer(node)

    def push(self) -> None:
        """Tell all peers about a change soon."""
        if self._push_timer is None:
            self._push_timer = self._loop.call_later(PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._push_timer = None
        for node in self.nodes:
            self._send(node, force=True)

    def _period_s(self) -> float:
        return max(PERIOD_S, len(self.member_by_node) / PEERS_PER_S)

    def _tick(self) -> None:
        # States to all peers share one turn of the loop; a turn for each costs more in sum.
        for node in self.nodes:
            self._send(node)
        delay_s = self._period_s() * (0.8 + 0.4 * self._source.random())
        self._ticker = self._loop.call_later(delay_s, self._tick)

    def _send(self, node: str, force: bool = False) -> None:
        if node == self._own.node or node not in self.member_by_node:
            return
        if not force and (node in self._asking or self._leaves_it_to(node)):
            return
        self._asking.add(node)

        def on_answer(answer: object) -> None:
            self._asking.discard(node)
            state = NodeState.from_wire(answer)
            if state is None:
                self._on_silence(node)
            else:
                self.apply(state)

        self._links.ask_node(node, STATE_TOPIC, self._state().to_wire(), on_answer)

    def _leaves_it_to(self, node: str) -> bool:
        """Whether the peer is the one of the two that asks, and does so."""
        peer = self._view.by_node.get(node)
        if peer is None or node > self._own.node:
            return False
        return monotonic() - peer.asked_at < 2 * self._period_s()

    def _on_silence(self, node: str) -> None:
        peer = self._view.by_node.get(node)
        if peer is None:
            return
        now = monotonic()
        peer.avoid_until = now + FAILED_S
        if node not in self.unreachable_since:
            self.unreachable_since[node] = now
            log.warning("peer_lost", peer=node)

    def answer(self, payload: object, answer: Callable[[object], None]) -> None:
        """Apply the state of a peer and answer with the own one."""
        state = NodeState.from_wire(payload)
        if state is not None:
            self.apply(state)
            peer = self._view.by_node.get(state.member.node)
            if peer is not None:
                peer.asked_at = monotonic()
        answer(self._state().to_wire())

    def apply(self, state: NodeState) -> None:
        """Take the state of a peer."""
        node = state.member.node
        if node == self._own.node:
            return
        self.add([state.member], node)
        peer = self._view.by_node.get(node)
        if peer is None:
            return
        peer.ready = state.ready
        peer.endpoint_id = state.endpoint_id
        peer.use_by_service = state.use_by_service
        peer.report(state.load, monotonic())
        if self.unreachable_since.pop(node, None) is not None:
            peer.avoid_until = float("-inf")
            log.info("peer_regained", peer=node)
        self.on_state(node, state.policy_version)

    def close(self) -> None:
        """Stop sending."""
        if self._ticker is not None:
            self._ticker.cancel()
        if self._push_timer is not None:
            self._push_timer.cancel()
