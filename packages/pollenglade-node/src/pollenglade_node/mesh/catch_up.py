"""What a node that has just started asks the other nodes before it accepts requests.

Its former process, if there was one, knew the members, the evacuated zones and the requests that
crash endpoints. The store may be away, and does not have all of it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..membership.links import Links
from ..serving.crash_notices import CrashNotices
from .evacuation_exchange import EvacuationExchange
from .node_state import MeshMember
from .peer_exchange import PeerExchange

MEMBERS_TOPIC = "members"

MAX_ASKED_NODES = 8
"""Number of nodes with and without a policy that are asked; each tells all that it knows."""


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
        self._asked_by_has_policy: dict[bool, set[str]] = {False: set(), True: set()}

    def ask(self, node: str, has_policy: bool = False) -> None:
        """Ask a node, unless it or enough others have been asked.

        A node that has got a policy is asked again: it may have been restarted at the same time,
        and have known nothing before.
        """
        asked_nodes = self._asked_by_has_policy[has_policy]
        if node in asked_nodes or len(asked_nodes) >= MAX_ASKED_NODES:
            return
        asked_nodes.add(node)

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
