"""The platform as seen by this project: a transactional table and an object store.

The version of a row starts at 1 and goes up by exactly 1 with each write.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; `operation_id` is that of the write that made this version."""

    name: str
    version: int
    value: Any
    operation_id: str


@dataclass(frozen=True, slots=True)
class Absent:
    """There is no row or object of this name."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and made this version."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect; `current` is None where the row does not exist."""

    current: Row | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not answer, or refused; a write did not take effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The write may have taken effect or may still do so."""

    operation_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Stored:
    """The object was stored."""


ReadResult = Row | Absent | Unavailable
WriteResult = Written | VersionConflict | Unavailable | AnswerLost


class Table(Protocol):
    """Rows with JSON values that are written by compare-and-set."""

    async def read(self, name: str) -> ReadResult:
        """Return the current row."""

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write where the row has the expected version; 0 inserts."""

    async def read_prefix(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        """Return all rows whose name starts with the prefix, by name."""


class ObjectStore(Protocol):
    """Named byte strings; a later write replaces an earlier one."""

    async def read_object(self, name: str) -> bytes | Absent | Unavailable:
        """Return the content of an object."""

    async def write_object(self, name: str, data: bytes) -> Stored | Unavailable:
        """Store an object; after `Unavailable` it may be stored or not."""
