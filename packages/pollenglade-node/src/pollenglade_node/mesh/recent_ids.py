"""The latest ids of a kind, in bounded memory."""

from __future__ import annotations


class RecentIds:
    """Remembers up to `limit` ids and forgets the oldest first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # A dictionary keeps the order in which its keys were added.
        self._ids: dict[bytes, None] = {}

    def __contains__(self, item: bytes) -> bool:
        return item in self._ids

    def add(self, item: bytes) -> None:
        """Remember an id as the latest."""
        self._ids.pop(item, None)
        self._ids[item] = None
        if len(self._ids) > self._limit:
            del self._ids[next(iter(self._ids))]
