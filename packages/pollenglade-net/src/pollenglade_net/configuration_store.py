"""Reads the configuration from the platform and commits changes to it."""

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

from .platform_api import AnswerLost
from .platform_api import NotFound
from .platform_api import ObjectStore
from .platform_api import ObjectStored
from .platform_api import RowWritten
from .platform_api import Table
from .platform_api import Unavailable

MAX_COMMIT_ATTEMPTS = 20
"""Maximum attempts per commit; an attempt fails when another operator's change is written first."""

INITIAL_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Committed:
    """The change was accepted in `version`; `configuration` has it and possibly later changes."""

    version: int
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The stored configuration is incomplete or invalid; an operator has to repair it."""

    reason: str


@dataclass(frozen=True, slots=True)
class _LoadedHead:
    row_version: int
    head: Head


CommitResult = Committed | Conflict | Findings | Unavailable | AnswerLost | Unreadable


class ConfigurationStore:
    """Reads the configuration and commits changes by compare-and-set on `configuration/head`."""

    def __init__(self, table: Table, objects: ObjectStore, random: RandomSource) -> None:
        self._table = table
        self._objects = objects
        self._random = random

    async def refresh(
        self, history: ConfigurationHistory
    ) -> Configuration | Unavailable | Unreadable:
        """Advance `history` to the version on the platform, never backwards, and return it."""
        loaded = await self._load_head(history)
        return history.current if isinstance(loaded, _LoadedHead) else loaded

    async def commit(self, change: Change) -> CommitResult:
        """Commit a change; retry if a change to another name was committed first.

        A commit is idempotent by operation id: a further commit with the same id returns the change
        that was already committed, as long as the head records it (at least the last 64 changes).
        """
        lost_answer: AnswerLost | None = None
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if attempt > 0:
                delay_s = min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** (attempt - 1))
                await asyncio.sleep(jittered(delay_s, self._random))
            result = await self._try_commit(change)
            if isinstance(result, AnswerLost):
                lost_answer = result
            elif isinstance(result, Unavailable | Unreadable):
                return lost_answer or result
            elif result is not None:
                return result
        return lost_answer or Unavailable(
            "other changes were committed first at every attempt; try again"
        )

    async def _try_commit(self, change: Change) -> CommitResult | None:
        """Return the result, or None if another change was written first."""
        history = ConfigurationHistory()
        loaded = await self._load_head(history)
        if not isinstance(loaded, _LoadedHead):
            return loaded
        operation_id = change.stamp.operation_id
        version = loaded.head.operations().get(operation_id)
        if version is not None:
            return Committed(version, history.current)
        current = history.current
        changed = history.apply(change)
        if not isinstance(changed, Configuration):
            return changed
        head = (await self._store_snapshot_if_due(loaded.head, current)).extended(change)
        write_result = await self._table.write(
            HEAD_ROW, head_to_wire(head), loaded.row_version, operation_id
        )
        match write_result:
            case RowWritten():
                return Committed(changed.version, changed)
            case Unavailable() | AnswerLost():
                return write_result
        return None

    async def _store_snapshot_if_due(self, head: Head, configuration: Configuration) -> Head:
        """Store a snapshot if one is due, and return the head that refers to it.

        If the snapshot cannot be stored, the change is committed without it, and the next commit
        tries again.
        """
        if not head.needs_snapshot:
            return head
        data = orjson.dumps(to_wire(configuration))
        store_result = await self._objects.write_object(snapshot_name(configuration), data)
        return head.with_snapshot(configuration) if isinstance(store_result, ObjectStored) else head

    async def _load_head(
        self, history: ConfigurationHistory
    ) -> _LoadedHead | Unavailable | Unreadable:
        row = await self._table.read(HEAD_ROW)
        if isinstance(row, Unavailable):
            return row
        if isinstance(row, NotFound):
            return _LoadedHead(0, Head())
        head = head_from_wire(row.value)
        if isinstance(head, Findings):
            return Unreadable(f"row {HEAD_ROW}: {head}")
        if head.snapshot_version > history.current.version:
            snapshot = await self._load_snapshot(head)
            if not isinstance(snapshot, Configuration):
                return snapshot
            history.replace(snapshot)
        result = history.advance(head.snapshot_version + 1, head.changes)
        if not isinstance(result, Configuration):
            return Unreadable(f"row {HEAD_ROW}: a change does not apply to the version before it")
        return _LoadedHead(row.version, head)

    async def _load_snapshot(self, head: Head) -> Configuration | Unavailable | Unreadable:
        data = await self._objects.read_object(head.snapshot_name)
        if isinstance(data, Unavailable):
            return data
        if isinstance(data, NotFound):
            return Unreadable(f"object {head.snapshot_name} is missing")
        try:
            snapshot = from_wire(orjson.loads(data))
        except orjson.JSONDecodeError as error:
            return Unreadable(f"object {head.snapshot_name}: {error}")
        if isinstance(snapshot, Findings):
            return Unreadable(f"object {head.snapshot_name}: {snapshot}")
        if snapshot_name(snapshot) != head.snapshot_name:
            return Unreadable(
                f"object {head.snapshot_name} does not have the content that its name states"
            )
        return snapshot
