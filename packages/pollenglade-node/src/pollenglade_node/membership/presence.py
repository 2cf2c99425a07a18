"""The announcement of this node on the platform, and the members that it finds there."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from collections.abc import Sequence
from time import monotonic

from pollenglade_core.membership.member import Member
from pollenglade_core.membership.member import MemberState
from pollenglade_core.membership.member import ServiceOffer
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
from .announcement_sweep import sweep

RENEWAL_INTERVAL_S = 10.0
"""Interval of announcements; 880 nodes make 88 writes per second."""

RETRY_INTERVAL_S = 2.0

RESEED_INTERVAL_S = 300.0
"""Interval at which a relay reads all announcements.

Gossip cannot join two groups of nodes that know nothing of each other. At 880 nodes one read is
about 350 KB, which makes 1.2 KB/s for a relay. Also the least time for which a row must not have
changed before it is overwritten.
"""

PREFIX = "nodes/"


class Presence:
    """Renews the row of this node and seeds gossip with the rows of others."""

    def __init__(self, table: Table, own: Callable[[], Member], source: RandomSource) -> None:
        self._table = table
        self._own = own
        self._source = source
        self._tasks: list[asyncio.Task[None]] = []
        self._loop = asyncio.get_running_loop()
        self._row_version = 0
        self._renewal = 0
        self._wake = asyncio.Event()
        self._announced = asyncio.Event()
        self._version_by_row: dict[str, int] = {}
        self.is_sweeper: Callable[[], bool] = lambda: False
        self.is_relay: Callable[[], bool] = lambda: True
        self.on_members: Callable[[Sequence[Member]], None] = lambda members: None
        self.on_renewed: Callable[[float], None] = lambda requested_at: None

    async def start(self) -> None:
        """Start to announce, and to read once the own row is written."""
        self._tasks = [
            self._loop.create_task(self._announce()),
            self._loop.create_task(self._seed()),
        ]

    def announce_now(self) -> None:
        """Write the announcement without waiting for the interval."""
        self._wake.set()

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
        own = self._own()
        self._renewal += 1
        name = row_name(own.zone, own.node)
        value = announcement_of(own, self._renewal).model_dump(mode="json")
        operation_id = uuid.uuid4().hex
        requested_at = monotonic()
        result = await self._table.write(name, value, self._row_version, operation_id)
        if isinstance(result, VersionConflict):
            self._row_version = 0 if result.current is None else result.current.version
            requested_at = monotonic()
            result = await self._table.write(name, value, self._row_version, operation_id)
        if not isinstance(result, Written):
            return False
        self._row_version = result.version
        self._announced.set()
        self.on_renewed(requested_at)
        return True

    async def _seed(self) -> None:
        # Of two nodes that start at the same time, the one that writes its row last reads both.
        await self._announced.wait()
        while True:
            rows = await self._table.read_prefix(PREFIX)
            if isinstance(rows, Unavailable):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            await self.take(rows)
            await asyncio.sleep(RESEED_INTERVAL_S * self._source.uniform(0.9, 1.1))
            while not self.is_relay():
                await asyncio.sleep(RESEED_INTERVAL_S)

    async def take(self, rows: Sequence[Row]) -> None:
        """Seed gossip, and overwrite old rows that have not changed since the last read."""
        self.on_members(members_from_rows(rows, time.time()))
        if self.is_sweeper():
            unchanged = [row for row in rows if self._version_by_row.get(row.name) == row.version]
            await sweep(self._table, self._own().zone, unchanged, time.time())
        self._version_by_row = {row.name: row.version for row in rows}

    async def close(self) -> None:
        """Stop announcing and reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)


def announcement_of(member: Member, renewal: int) -> NodeAnnouncement:
    """Return the announcement for a member entry."""
    return NodeAnnouncement(
        node=member.node,
        incarnation=member.incarnation,
        zone=member.zone,
        region=member.region,
        link_address=member.link_address,
        control_address=member.control_address,
        announced_at=time.time(),
        renewal=renewal,
        leaving=member.state is MemberState.LEAVING,
        targets=tuple(
            AnnouncedTarget(offer.service, offer.slots, "ready") for offer in member.offers
        ),
    )


def members_from_rows(rows: Sequence[Row], wall_s: float) -> list[Member]:
    """Return a member entry for each valid row of a node that is not leaving or gone.

    `wall_s` is the time in seconds since the epoch; it leaves out rows of former nodes. A node with
    a wrong clock is learned by gossip instead. The sequence of the entries is 0, so that whatever
    gossip knows of the same process goes first.
    """
    announcements = [announcement_from_wire(row.value) for row in rows]
    return [
        Member(
            node=item.node,
            incarnation=item.incarnation,
            zone=item.zone,
            region=item.region,
            host=item.link_address.rpartition(":")[0],
            link_address=item.link_address,
            control_address=item.control_address,
            offers=tuple(ServiceOffer(target.service, target.slots) for target in item.targets),
        )
        for item in announcements
        if item is not None and not item.leaving and not item.is_stale(wall_s)
    ]
