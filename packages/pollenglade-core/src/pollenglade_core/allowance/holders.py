"""Selection of the nodes that hold shares of an organisation's limit."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from .token_share import holder_count


def limit_holders(organisation: str, burst: float, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the holders of a limit by rendezvous hashing, independent of the order of `nodes`."""
    ranked_nodes = sorted(
        nodes, key=lambda node: _rendezvous_hash(organisation, node), reverse=True
    )
    return tuple(ranked_nodes[: holder_count(burst, len(ranked_nodes))])


def _rendezvous_hash(organisation: str, node: str) -> bytes:
    return blake2b(f"{organisation}\0{node}".encode(), digest_size=8).digest()
