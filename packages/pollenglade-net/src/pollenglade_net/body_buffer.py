"""Buffers for a body that arrives in parts of any size."""

from __future__ import annotations

from .memory_budget import UNCOUNTED_BYTES
from .memory_budget import MemoryBudget
from .memory_budget import body_memory_bytes


class BodyBuffer:
    """Joins the parts of a body as they arrive.

    A list of parts takes some 40 bytes for each, many times the body if a peer sends single bytes.
    """

    __slots__ = ("_first_part", "_parts")

    def __init__(self) -> None:
        self._first_part = b""
        self._parts: bytearray | None = None

    def __len__(self) -> int:
        return len(self._first_part) if self._parts is None else len(self._parts)

    def append(self, data: bytes) -> None:
        """Add the next part."""
        if self._parts is not None:
            self._parts += data
        elif self._first_part:
            self._parts = bytearray(self._first_part)
            self._parts += data
            self._first_part = b""
        else:
            self._first_part = data

    def take(self) -> bytes:
        """Return the parts as one and empty the buffer; a single part is not copied."""
        data = self._first_part if self._parts is None else bytes(self._parts)
        self.clear()
        return data

    def clear(self) -> None:
        """Drop all parts."""
        self._first_part, self._parts = b"", None


class ReservedBodyBuffer(BodyBuffer):
    """Buffer whose memory is reserved in a budget until the body is taken or dropped.

    A body may have up to `limit_bytes`.
    """

    __slots__ = ("_budget", "_limit_bytes", "_reserved_bytes")

    def __init__(self, budget: MemoryBudget, limit_bytes: int) -> None:
        self._first_part, self._parts = b"", None
        self._budget = budget
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0

    def try_append(self, data: bytes) -> bool:
        """Add the next part; return False if the body is too large or the budget has no room.

        The part is kept all the same, so that the caller can pass the body on or drop it.
        """
        if self._parts is None and not self._first_part and len(data) <= UNCOUNTED_BYTES // 2:
            self._first_part = data
            return True
        self.append(data)
        if len(self) > self._limit_bytes:
            return False
        size_bytes = body_memory_bytes(len(self))
        if size_bytes <= UNCOUNTED_BYTES:
            return True
        if not self._budget.try_resize(self._reserved_bytes, size_bytes):
            return False
        self._reserved_bytes = size_bytes
        return True

    def clear(self) -> None:
        """Drop all parts and release their memory."""
        self._first_part, self._parts = b"", None
        if self._reserved_bytes:
            self._budget.try_resize(self._reserved_bytes, 0)
            self._reserved_bytes = 0
