"""The nodes of the fleet, as far as this node knows them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from hashlib import blake2b

from pollenglade_core.membership.member import Member
from pollenglade_core.membership.member import MemberState
from pollenglade_core.membership.member import ServiceOffer
from pollenglade_core.routing.endpoint import AnnouncedState
from pollenglade_core.routing.endpoint import Endpoint
from pollenglade_net.address import Address

from .gossip import Gossip
from .links import PeerAddress

RELAYS_PER_ZONE = 2
"""Nodes of each zone that poll the platform for the whole zone; one of them may be down."""


class Fleet:
    """Queries on the member table, and updates of the entry of this node."""

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip
        self._draining_incarnation_by_node: dict[str, int] = {}
        self._incarnations_by_service: dict[str, dict[str, int]] = {}

    @property
    def local_member(self) -> Member:
        """The member entry of this node."""
        return self._gossip.table.local

    def live_nodes(self, zone: str) -> Sequence[str]:
        """Return the live nodes of a zone that are not leaving."""
        return [
            member.node
            for member in self._gossip.table.live_members(zone)
            if member.state is not MemberState.LEAVING
        ]

    def live_count(self, zone: str) -> int:
        """Return the number of live nodes of a zone, including leaving ones."""
        return len(self._gossip.table.live_members(zone))

    @property
    def live_node_count(self) -> int:
        """Number of live nodes in all zones."""
        return len(self._gossip.table.live_members())

    def record_offers(self) -> set[str]:
        """Record which nodes offer each service; return those that offer one for the first time.

        A restarted node counts as new, because it has lost its state.
        """
        new_nodes: set[str] = set()
        for member in self._gossip.table.live_members():
            for offer in member.offers:
                incarnations = self._incarnations_by_service.setdefault(offer.service, {})
                if incarnations.get(member.node) != member.incarnation:
                    incarnations[member.node] = member.incarnation
                    new_nodes.add(member.node)
        return new_nodes

    def nodes_of_service(self, service: str) -> Sequence[str]:
        """Return the live nodes that offer a service or have offered it before.

        A node whose target has crashed offers no service until the target restarts, but still needs
        notices of further crashes.
        """
        incarnations = self._incarnations_by_service.get(service, {})
        return [
            member.node
            for member in self._gossip.table.live_members()
            if member.node in incarnations
        ]

    def is_process_alive(self, process: str) -> bool:
        """Return whether the process `<node>/<hexadecimal incarnation>` may still be running."""
        node, _, incarnation = process.rpartition("/")
        member = self._gossip.table.get(node)
        return member is not None and member.is_live and f"{member.incarnation:x}" == incarnation

    def is_platform_poller(self) -> bool:
        """Return whether this node is one of those that poll the platform for its zone."""
        local = self.local_member
        nodes = sorted(self.live_nodes(local.zone), key=_election_hash)
        return local.node in nodes[:RELAYS_PER_ZONE]

    def is_sweeper(self) -> bool:
        """Return whether this node sweeps the announcements of its zone."""
        local = self.local_member
        return local.node == min(self.live_nodes(local.zone), key=_election_hash, default="")

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints of all services at all live nodes."""
        return [
            Endpoint(
                node=member.node,
                service=offer.service,
                zone=member.zone,
                address=f"{member.link_address}/{member.incarnation:x}",
                slots=offer.slots,
                state=(
                    AnnouncedState.DRAINING if self._is_draining(member) else AnnouncedState.READY
                ),
            )
            for member in self._gossip.table.live_members()
            for offer in member.offers
        ]

    def _is_draining(self, member: Member) -> bool:
        has_sent_drain = self._draining_incarnation_by_node.get(member.node) == member.incarnation
        return has_sent_drain or member.state is MemberState.LEAVING

    def peer_addresses(self) -> dict[str, PeerAddress]:
        """Return the link addresses of the other live nodes."""
        local_node = self.local_member.node
        return {
            member.node: PeerAddress(Address.parse(member.link_address), member.incarnation)
            for member in self._gossip.table.live_members()
            if member.node != local_node
        }

    def on_peer_drain(self, node: str, incarnation: int) -> None:
        """Record a drain message from a link, which arrives before the gossip about it."""
        self._draining_incarnation_by_node[node] = incarnation

    def set_offers(self, offers: tuple[ServiceOffer, ...]) -> None:
        """Set the services that this node offers."""
        if offers != self.local_member.offers:
            self._gossip.update_local_member(replace(self.local_member, offers=offers))

    def set_leaving(self) -> None:
        """Mark this node as leaving."""
        self._gossip.update_local_member(replace(self.local_member, state=MemberState.LEAVING))


def _election_hash(node: str) -> bytes:
    return blake2b(node.encode(), digest_size=8).digest()
