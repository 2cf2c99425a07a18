"""Interface of the platform: a transactional table and an object store.

`pollenglade-node` and the command line tool use it; `PlatformClient` implements it with requests to
`/table` and `/objects/`. The sidecar `pollenglade_platform` uses another service, the row store.

The version of a row starts at 1 and increases by exactly 1 with each write.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; `operation_id` identifies the write that created this version."""

    name: str
    version: int
    value: Any
    operation_id: str


@dataclass(frozen=True, slots=True)
class NotFound:
    """No row or object of this name exists."""


@dataclass(frozen=True, slots=True)
class RowWritten:
    """The write took effect and created this version."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The write did not take effect; `current` is None if the row does not exist."""

    current: Row | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not respond or refused the request; a row write did not take effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The response to the write was lost; it may have taken effect or may still do so."""

    operation_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ObjectStored:
    """The object was stored."""


ReadResult = Row | NotFound | Unavailable
WriteResult = RowWritten | VersionConflict | Unavailable | AnswerLost


class Table(Protocol):
    """Rows with JSON values, written by compare-and-set."""

    async def read(self, name: str) -> ReadResult:
        """Return the current row."""

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write if the row has the expected version; 0 inserts a new row."""

    async def read_prefix(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        """Return all rows whose name starts with the prefix, sorted by name."""


class ObjectStore(Protocol):
    """Named byte strings; a later write replaces an earlier one."""

    async def read_object(self, name: str) -> bytes | NotFound | Unavailable:
        """Return the content of an object."""

    async def write_object(self, name: str, data: bytes) -> ObjectStored | Unavailable:
        """Store an object; after `Unavailable` it may or may not be stored."""
