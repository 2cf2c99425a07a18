"""The configuration on the platform: reading it and committing changes to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import orjson

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration_head import HEAD_ROW
from pollenglade_core.configuration.configuration_head import Head
from pollenglade_core.configuration.configuration_head import head_from_wire
from pollenglade_core.configuration.configuration_head import head_to_wire
from pollenglade_core.configuration.configuration_head import snapshot_name
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.configuration_wire import from_wire
from pollenglade_core.configuration.configuration_wire import to_wire
from pollenglade_core.finding import Findings
from pollenglade_core.randomness import RandomSource
from pollenglade_core.randomness import jittered

from .platform_api import Absent
from .platform_api import AnswerLost
from .platform_api import ObjectStore
from .platform_api import Stored
from .platform_api import Table
from .platform_api import Unavailable
from .platform_api import Written

MAX_COMMIT_ATTEMPTS = 20
"""Attempts of one commit. Each failed attempt means that another operator's change came first."""

RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Committed:
    """The change is accepted; `configuration` contains it, and possibly later changes."""

    version: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Unreadable:
    """What the platform holds is not a configuration; an operator has to repair it."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Loaded:
    row_version: int
    head: Head


CommitResult = Committed | Conflict | Findings | Unavailable | AnswerLost | Unreadable


class ConfigurationStore:
    """Reads and commits the configuration by compare-and-set of `configuration/head`."""

    def __init__(self, table: Table, objects: ObjectStore, random: RandomSource) -> None:
        self._table = table
        self._objects = objects
        self._random = random

    async def refresh(
        self, history: ConfigurationHistory
    ) -> Configuration | Unavailable | Unreadable:
        """Bring a history to the version on the platform; it never goes back."""
        loaded = await self._load(history)
        return history.current if isinstance(loaded, _Loaded) else loaded

    async def commit(self, change: Change) -> CommitResult:
        """Commit a change; repeats where a change of another name came first.

        A repeat with the same operation id finds the change that was already committed, as long as
        the head knows it (at least the last 64 changes).
        """
        lost: AnswerLost | None = None
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if attempt > 0:
                delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** (attempt - 1))
                await asyncio.sleep(jittered(delay_s, self._random))
            result = await self._try_commit(change)
            if isinstance(result, AnswerLost):
                lost = result
            elif isinstance(result, Unavailable | Unreadable):
                return lost or result
            elif result is not None:
                return result
        return lost or Unavailable("other changes came first at every attempt; try again")

    async def _try_commit(self, change: Change) -> CommitResult | None:
        """Return the result, or None where another change came first."""
        history = ConfigurationHistory()
        loaded = await self._load(history)
        if not isinstance(loaded, _Loaded):
            return loaded
        operation_id = change.stamp.operation_id
        version = loaded.head.operations().get(operation_id)
        if version is not None:
            return Committed(version, history.current)
        before = history.current
        after = history.apply(change)
        if not isinstance(after, Configuration):
            return after
        head = (await self._with_snapshot(loaded.head, before)).extended(change)
        written = await self._table.write(
            HEAD_ROW, head_to_wire(head), loaded.row_version, operation_id
        )
        match written:
            case Written():
                return Committed(after.version, after)
            case Unavailable() | AnswerLost():
                return written
        return None

    async def _with_snapshot(self, head: Head, configuration: Configuration) -> Head:
        """Return the head after a new snapshot where one is due.

        A snapshot that cannot be stored does not hold up the change; the next commit tries again.
        """
        if not head.needs_snapshot:
            return head
        data = orjson.dumps(to_wire(configuration))
        stored = await self._objects.write_object(snapshot_name(configuration), data)
        return head.with_snapshot(configuration) if isinstance(stored, Stored) else head

    async def _load(self, history: ConfigurationHistory) -> _Loaded | Unavailable | Unreadable:
        row = await self._table.read(HEAD_ROW)
        if isinstance(row, Unavailable):
            return row
        if isinstance(row, Absent):
            return _Loaded(0, Head())
        head = head_from_wire(row.value)
        if isinstance(head, Findings):
            return Unreadable(f"row {HEAD_ROW}: {head}")
        if head.snapshot_version > history.current.version:
            snapshot = await self._snapshot(head)
            if not isinstance(snapshot, Configuration):
                return snapshot
            history.replace(snapshot)
        result = history.advance(head.snapshot_version + 1, head.changes)
        if not isinstance(result, Configuration):
            return Unreadable(f"row {HEAD_ROW}: a change does not follow from the version before")
        return _Loaded(row.version, head)

    async def _snapshot(self, head: Head) -> Configuration | Unavailable | Unreadable:
        data = await self._objects.read_object(head.snapshot_name)
        if isinstance(data, Unavailable):
            return data
        if isinstance(data, Absent):
            return Unreadable(f"object {head.snapshot_name} is missing")
        try:
            snapshot = from_wire(orjson.loads(data))
        except orjson.JSONDecodeError as error:
            return Unreadable(f"object {head.snapshot_name}: {error}")
        if isinstance(snapshot, Findings):
            return Unreadable(f"object {head.snapshot_name}: {snapshot}")
        if snapshot_name(snapshot) != head.snapshot_name:
            return Unreadable(f"object {head.snapshot_name} has another content than its name")
        return snapshot
