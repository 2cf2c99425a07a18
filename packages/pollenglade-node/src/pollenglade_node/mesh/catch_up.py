"""What a node that has just started asks the other nodes before it accepts requests.

Its former process, if there was one, knew the members, the evacuated zones and the requests that
crash endpoints. The store may be away, and does not have all of it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..membership.links import Links
from ..serving.crash_notices import CrashNotices
from .evacuation_exchange import EvacuationExchange
from .peer_exchange import MeshMember
from .peer_exchange import PeerExchange

MEMBERS_TOPIC = "members"

MAX_ASKED_NODES = 8
"""Number of nodes that are asked; each tells all that it knows."""


class CatchUp:
    """Asks some nodes for members, crash notices and evacuated zones.

    A node answers in the order of the queries, so a policy that is asked for afterwards is applied
    with the knowledge of the node that it comes from. With too few members known, the node would
    take too large a share of each limit.
    """

    def __init__(
        self,
        peers: PeerExchange,
        links: Links,
        crash_notices: CrashNotices,
        evacuation: EvacuationExchange,
    ) -> None:
        self._peers = peers
        self._links = links
        self._crash_notices = crash_notices
        self._evacuation = evacuation
        self._asked_nodes: set[str] = set()

    def ask(self, node: str) -> None:
        """Ask a node, unless it or enough others have been asked."""
        if node in self._asked_nodes or len(self._asked_nodes) >= MAX_ASKED_NODES:
            return
        self._asked_nodes.add(node)

        def on_reply(reply: object) -> None:
            items = reply if isinstance(reply, list) else []
            members = [MeshMember.from_wire(item) for item in items]
            self._peers.add([member for member in members if member is not None], node)

        self._links.query_node(node, MEMBERS_TOPIC, None, on_reply)
        self._crash_notices.request_ledger(node)
        self._evacuation.ask(node)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply with all members that this node knows."""
        reply([member.to_wire() for member in self._peers.member_by_node.values()])
