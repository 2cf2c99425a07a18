"""A bounded set of the most recently added ids."""

from __future__ import annotations


class RecentIds:
    """Set of up to `limit` ids that evicts the least recently added id first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # A dictionary preserves insertion order.
        self._ids: dict[bytes, None] = {}

    def __contains__(self, item: bytes) -> bool:
        return item in self._ids

    def add(self, item: bytes) -> None:
        """Add an id, or move it to the most recent position."""
        self._ids.pop(item, None)
        self._ids[item] = None
        if len(self._ids) > self._limit:
            del self._ids[next(iter(self._ids))]
