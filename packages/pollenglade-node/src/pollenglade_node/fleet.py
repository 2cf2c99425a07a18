"""The nodes of the fleet as this node knows them, and the announcement of this node."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from collections.abc import Sequence
from time import monotonic

import structlog

from pollenglade_core.randomness import RandomSource
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import Written

from .announcement import AnnouncedTarget
from .announcement import NodeAnnouncement
from .announcement import announcement_from_wire
from .announcement import row_name
from .announcement_sweep import AnnouncementSweep

RENEWAL_INTERVAL_S = 10.0
"""Interval of announcements; 880 nodes make 88 writes per second."""

RETRY_INTERVAL_S = 2.0
POLL_INTERVAL_S = 1.0
DEAD_AFTER_S = 30.0
"""An announcement that has not changed for this time counts as that of a dead node."""

MAX_POLL_GAP_S = 5.0
"""A longer gap between two reads does not count as time without a change.

After an outage of the platform every row is unchanged, although the nodes live.
"""

log = structlog.get_logger()


class Fleet:
    """Announces this node to the platform and reads the announcements of others."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        zone: str,
        region: str,
        link_address: str,
        control_address: str,
        table: Table,
        source: RandomSource,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._zone = zone
        self._region = region
        self._link_address = link_address
        self._control_address = control_address
        self._table = table
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self._row_version = 0
        self._renewal = 0
        self._wake = asyncio.Event()
        self._seen_by_row: dict[str, tuple[int, float]] = {}
        self._sweep = AnnouncementSweep(node, zone, table)
        self._read_at = 0.0
        self._watched_s = 0.0
        self.leaving = False
        self.targets: tuple[AnnouncedTarget, ...] = ()
        self.by_node: dict[str, NodeAnnouncement] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_renewed: Callable[[float, bool], None] = lambda requested_at, alone: None

    def live_nodes(self, zone: str) -> Sequence[str]:
        """Return the nodes of a zone that are believed to be alive and stay."""
        return [
            item.node for item in self.by_node.values() if item.zone == zone and not item.leaving
        ]

    def nodes_of_service(self, service: str) -> Sequence[str]:
        """Return the nodes that announce a target of a service."""
        return [
            item.node
            for item in self.by_node.values()
            if any(target.service == service for target in item.targets)
        ]

    async def start(self) -> None:
        """Start to announce and to read."""
        self._tasks = [
            self._loop.create_task(self._announce()),
            self._loop.create_task(self._poll()),
        ]

    def announce_now(self) -> None:
        """Write the announcement without waiting for the interval."""
        self._wake.set()

    def announcement(self) -> NodeAnnouncement:
        """Return the announcement of this node."""
        return NodeAnnouncement(
            node=self._node,
            incarnation=self._incarnation,
            zone=self._zone,
            region=self._region,
            link_address=self._link_address,
            control_address=self._control_address,
            announced_at=time.time(),
            renewal=self._renewal,
            leaving=self.leaving,
            targets=self.targets,
        )

    async def _announce(self) -> None:
        while True:
            self._wake.clear()
            renewed = await self._write()
            interval_s = RENEWAL_INTERVAL_S if renewed else RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(interval_s * self._source.uniform(0.9, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _write(self) -> bool:
        self._renewal += 1
        requested_at = monotonic()
        name = row_name(self._zone, self._node)
        value = self.announcement().model_dump(mode="json")
        operation_id = uuid.uuid4().hex
        result = await self._table.write(name, value, self._row_version, operation_id)
        if isinstance(result, VersionConflict):
            self._row_version = 0 if result.current is None else result.current.version
            requested_at = monotonic()
            result = await self._table.write(name, value, self._row_version, operation_id)
        if not isinstance(result, Written):
            return False
        self._row_version = result.version
        self.on_renewed(requested_at, len(self.live_nodes(self._zone)) <= 1)
        return True

    async def _poll(self) -> None:
        while True:
            rows = await self._table.read_prefix("nodes/")
            if not isinstance(rows, Unavailable):
                await self._take_and_sweep(rows)
            await asyncio.sleep(POLL_INTERVAL_S * self._source.uniform(0.9, 1.1))

    async def _take_and_sweep(self, rows: Sequence[Row]) -> None:
        self.take(rows, monotonic(), time.time())
        if self._sweep.is_due(self.live_nodes(self._zone), monotonic()):
            await self._sweep.sweep([row for row in rows if not self._is_live(row)])

    def take(self, rows: Sequence[Row], now: float, wall_s: float) -> None:
        """Take the rows as read at `now`, which is `wall_s` in seconds since the epoch."""
        self._watched_s += min(now - self._read_at, MAX_POLL_GAP_S)
        self._read_at = now
        self._seen_by_row = {row.name: self._seen(row, wall_s) for row in rows}
        announcements = [announcement_from_wire(row.value) for row in rows if self._is_live(row)]
        by_node = {item.node: item for item in announcements if item is not None}
        if by_node != self.by_node:
            self.by_node = by_node
            self.on_change()

    def _seen(self, row: Row, wall_s: float) -> tuple[int, float]:
        """Return the version of a row and the time on the watch at which it was seen to be new."""
        known = self._seen_by_row.get(row.name)
        if known is not None:
            return known if known[0] == row.version else (row.version, self._watched_s)
        announcement = announcement_from_wire(row.value)
        stale = announcement is None or announcement.is_stale(wall_s)
        # The clock of a host can be wrong, so a row that looks stale counts again once it changes.
        return row.version, self._watched_s - DEAD_AFTER_S if stale else self._watched_s

    def _is_live(self, row: Row) -> bool:
        return self._watched_s - self._seen_by_row[row.name][1] < DEAD_AFTER_S

    async def close(self) -> None:
        """Stop announcing and reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)
