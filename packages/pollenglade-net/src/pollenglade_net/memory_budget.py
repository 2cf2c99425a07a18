"""Bound on the memory that a process holds for what its peers send and read."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

DEFAULT_MEMORY_BUDGET_BYTES = 128 * 1024 * 1024

LARGE_BYTES = 128 * 1024
"""Size of a body above which it is sent on without a copy."""

LARGE_RESERVATION_BYTES = 2 * LARGE_BYTES
"""Size above which a reservation counts as large."""

UNCOUNTED_BYTES = 4 * 1024
"""Memory of one connection or call that is not counted, so that most requests are not."""

SMALL_ONLY_FRACTION = 0.25
"""Memory beyond the limit on large reservations that only small ones may take, relative to it.

Large bodies therefore leave room for ordinary requests."""

RECLAIM_INTERVAL_S = 0.1
"""Shortest time between two searches for memory that can be given back."""


class MemoryBudget:
    """Bytes that are reserved in one process, at most `limit_bytes` with large reservations.

    `reclaimers` are called when there is no room; they end what makes no progress and release its
    memory.
    """

    def __init__(self, limit_bytes: int = DEFAULT_MEMORY_BUDGET_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.reclaimers: list[Callable[[], None]] = []
        self._reclaimed_at = 0.0

    def try_resize(self, reserved_bytes: int, size_bytes: int) -> bool:
        """Change a reservation, 0 if there is none; return False if the limit is reached.

        To reduce a reservation always succeeds.
        """
        added_bytes = size_bytes - reserved_bytes
        if added_bytes > 0 and not self._has_room(added_bytes, size_bytes):
            self._reclaim()
            if not self._has_room(added_bytes, size_bytes):
                return False
        self.reserved_bytes += added_bytes
        return True

    def _has_room(self, added_bytes: int, size_bytes: int) -> bool:
        is_large = size_bytes > LARGE_RESERVATION_BYTES
        limit_bytes = self.limit_bytes * (1.0 if is_large else 1.0 + SMALL_ONLY_FRACTION)
        return self.reserved_bytes + added_bytes <= limit_bytes

    def _reclaim(self) -> None:
        now = monotonic()
        if now - self._reclaimed_at < RECLAIM_INTERVAL_S:
            return
        self._reclaimed_at = now
        for reclaimer in self.reclaimers:
            reclaimer()


def body_memory_bytes(size: int) -> int:
    """Return the memory that a body takes; a small one is copied when it is sent on."""
    return 2 * size if size <= LARGE_BYTES else size
