"""Exchange of learnt call trees, so that a restarted node need not learn them again."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import structlog

from pollenglade_core.dispatch.learnt_trees import LearntTree
from pollenglade_core.dispatch.route_trees import RouteTrees

from ..membership.links import Links

TREES_TOPIC = "trees"

log = structlog.get_logger()


class TreeExchange:
    """Fetches call trees from a peer after the start and provides them to peers and the store."""

    def __init__(self, trees: RouteTrees, links: Links) -> None:
        self._trees = trees
        self._links = links
        self._is_requested = False

    def on_peer_seen(self, node: str) -> None:
        """Query a peer for its call trees unless this node has some or a query is pending."""
        if self._is_requested or self._trees.has_any:
            return
        self._is_requested = True

        def on_reply(reply: object) -> None:
            # A peer that has just started may have none; then the next peer is queried.
            self._is_requested = self.restore(reply, node) > 0

        self._links.query_node(node, TREES_TOPIC, None, on_reply)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply with all learnt call trees."""
        reply(self.document())

    def document(self) -> dict[str, Any]:
        """Return the learnt call trees by `tree_key`, as plain values."""
        return {route: tree.to_wire() for route, tree in self._trees.learnt().items()}

    def restore(self, document: object, source: str) -> int:
        """Add the call trees of a document and return their number; malformed ones are skipped."""
        trees = decode_trees(document)
        self._trees.restore(trees)
        if trees:
            log.info("trees_restored", source=source, routes=len(trees))
        return len(trees)

    def differs_from(self, document: object) -> bool:
        """Whether learnt trees differ enough from a stored document that it should be rewritten."""
        stored = decode_trees(document)
        learnt = self._trees.learnt()
        return any(tree.needs_update(stored.get(route)) for route, tree in learnt.items())


def decode_trees(document: object) -> Mapping[str, LearntTree]:
    """Return the well-formed call trees of a document by `tree_key`."""
    if not isinstance(document, dict):
        return {}
    trees = {route: LearntTree.from_wire(value) for route, value in document.items()}
    return {route: tree for route, tree in trees.items() if tree and isinstance(route, str)}
