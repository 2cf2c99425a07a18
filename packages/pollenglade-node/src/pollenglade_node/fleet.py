"""The nodes of the fleet as this node knows them, and the announcement of this node."""

from __future__ import annotations

import asyncio
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

RENEWAL_INTERVAL_S = 10.0
"""Interval of announcements; 880 nodes make 88 writes per second."""

RETRY_INTERVAL_S = 2.0
POLL_INTERVAL_S = 1.0
DEAD_AFTER_S = 30.0
"""An announcement that has not changed for this time counts as that of a dead node."""

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
        self._seen_by_node: dict[str, tuple[int, float]] = {}
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
                self._take(rows)
            await asyncio.sleep(POLL_INTERVAL_S * self._source.uniform(0.9, 1.1))

    def _take(self, rows: Sequence[Row]) -> None:
        now = monotonic()
        by_node: dict[str, NodeAnnouncement] = {}
        for row in rows:
            announcement = announcement_from_wire(row.value)
            if announcement is None:
                continue
            version, seen_at = self._seen_by_node.get(announcement.node, (-1, 0.0))
            if row.version != version:
                seen_at = now
                self._seen_by_node[announcement.node] = (row.version, now)
            if now - seen_at < DEAD_AFTER_S:
                by_node[announcement.node] = announcement
        if by_node != self.by_node:
            self.by_node = by_node
            self.on_change()

    async def close(self) -> None:
        """Stop announcing and reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)
