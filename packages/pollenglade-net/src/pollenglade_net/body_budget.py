"""Bound on the memory that the bodies of requests take in one process."""

from __future__ import annotations

DEFAULT_BODY_BUDGET_BYTES = 128 * 1024 * 1024


class BodyBudget:
    """Bytes of request bodies that the process holds, of at most `limit_bytes`."""

    def __init__(self, limit_bytes: int = DEFAULT_BODY_BUDGET_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a body or a part of one; return False if the limit is reached."""
        if self.reserved_bytes + size_bytes > self.limit_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return reserved memory."""
        self.reserved_bytes -= size_bytes
