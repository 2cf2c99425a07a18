"""Hands on what is known about call trees, so that a restarted node need not learn it anew."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import structlog

from pollenglade_core.dispatch.learnt_trees import LearntTree

from ..membership.links import Links
from .entry import MeshEntry

TREES_TOPIC = "trees"

log = structlog.get_logger()


class TreeMemory:
    """Asks one peer after the start, answers others, and gives the document that is kept."""

    def __init__(self, entry: MeshEntry, links: Links) -> None:
        self._entry = entry
        self._links = links
        self._asked = False

    def on_peer(self, node: str) -> None:
        """Ask the first peer that is heard of after the start."""
        if self._asked or self._entry.learnt_trees():
            return
        self._asked = True

        def on_answer(answer: object) -> None:
            # A peer that has just started as well knows nothing; ask the next one.
            self._asked = self.restore(answer, node) > 0

        self._links.ask_node(node, TREES_TOPIC, None, on_answer)

    def answer(self, payload: object, answer: Callable[[object], None]) -> None:
        """Answer a peer with all that is known."""
        answer(self.document())

    def document(self) -> dict[str, Any]:
        """Return what is known by route, as plain values."""
        return {route: tree.to_wire() for route, tree in self._entry.learnt_trees().items()}

    def restore(self, document: object, source: str) -> int:
        """Take a document and return how many trees it has; malformed ones are left out."""
        trees = decode_trees(document)
        self._entry.restore_trees(trees)
        if trees:
            log.info("trees_restored", source=source, routes=len(trees))
        return len(trees)

    def differs_from(self, document: object) -> bool:
        """Whether a kept document should be written again."""
        kept = decode_trees(document)
        learnt = self._entry.learnt_trees()
        return any(tree.differs_from(kept.get(route)) for route, tree in learnt.items())


def decode_trees(document: object) -> Mapping[str, LearntTree]:
    """Return the well-formed trees of a document by route."""
    if not isinstance(document, dict):
        return {}
    trees = {route: LearntTree.from_wire(value) for route, value in document.items()}
    return {route: tree for route, tree in trees.items() if tree and isinstance(route, str)}
