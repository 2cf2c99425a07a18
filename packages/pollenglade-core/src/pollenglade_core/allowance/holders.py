"""Which nodes hold shares of an organisation's limit."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from .token_share import holder_count


def holders(organisation: str, burst: float, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the holders of a limit, the same at every node that knows the same nodes."""
    ranked = sorted(nodes, key=lambda node: _weight(organisation, node), reverse=True)
    return tuple(ranked[: holder_count(burst, len(ranked))])


def _weight(organisation: str, node: str) -> bytes:
    return blake2b(f"{organisation}\0{node}".encode(), digest_size=8).digest()
