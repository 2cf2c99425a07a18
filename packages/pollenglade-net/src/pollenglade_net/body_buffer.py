"""Buffer for a body that arrives in parts of any size."""

from __future__ import annotations


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
