"""Announces this node in the platform's table, and reads the announcements of other nodes."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from collections.abc import Sequence
from time import monotonic

import structlog

from pollenglade_core.membership.gossip_wire import WireError
from pollenglade_core.membership.gossip_wire import member_from_wire
from pollenglade_core.membership.gossip_wire import member_to_wire
from pollenglade_core.membership.member import Member
from pollenglade_core.membership.member import MemberState
from pollenglade_core.membership.member import ServiceOffer
from pollenglade_core.randomness import RandomSource
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict

from ..supervision import keep_running
from .announcement import AnnouncedTarget
from .announcement import NodeAnnouncement
from .announcement import announcement_from_wire
from .announcement import announcement_row_name
from .announcement_sweep import sweep_announcements

RENEWAL_INTERVAL_S = 10.0
"""Interval of announcements; 880 nodes cause 88 writes per second."""

RETRY_INTERVAL_S = 2.0

RESEED_INTERVAL_S = 300.0
"""Interval at which a node that polls the platform for its zone reads all announcements.

Gossip cannot join two groups of nodes that know no member of each other. With 880 nodes, one read
is about 350 KB, which is 1.2 KB/s for each of these nodes. This is also the least time for which a
row must have been unchanged before it is swept.
"""

ROW_PREFIX = "nodes/"

log = structlog.get_logger()


class Presence:
    """Renews the announcement of this node and seeds gossip with those of other nodes."""

    def __init__(
        self, table: Table, local_member: Callable[[], Member], source: RandomSource
    ) -> None:
        self._table = table
        self._local_member = local_member
        self._source = source
        self._tasks: list[asyncio.Task[None]] = []
        self._loop = asyncio.get_running_loop()
        self._row_version = 0
        self._renewal = 0
        self._wake = asyncio.Event()
        self._first_announced = asyncio.Event()
        self._version_by_row_name: dict[str, int] = {}
        self.is_sweeper: Callable[[], bool] = lambda: False
        self.is_relay: Callable[[], bool] = lambda: True
        self.on_members: Callable[[Sequence[Member]], None] = lambda members: None
        self.on_renewed: Callable[[float], None] = lambda requested_at: None

    async def start(self) -> None:
        """Start the announcements, and the reads after the first announcement is written."""
        self._tasks = [
            self._loop.create_task(keep_running("announcements", self._announce_periodically)),
            self._loop.create_task(keep_running("reads of rows", self._read_rows_periodically)),
        ]

    def announce_now(self) -> None:
        """Write the announcement now instead of at the end of the interval."""
        self._wake.set()

    async def _announce_periodically(self) -> None:
        while True:
            self._wake.clear()
            renewed = await self._write_announcement()
            interval_s = RENEWAL_INTERVAL_S if renewed else RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(interval_s * self._source.uniform(0.9, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _write_announcement(self) -> bool:
        local_member = self._local_member()
        self._renewal += 1
        name = announcement_row_name(local_member.zone, local_member.node)
        value = announcement_for(local_member, self._renewal).model_dump(mode="json")
        operation_id = uuid.uuid4().hex
        requested_at = monotonic()
        result = await self._table.write(name, value, self._row_version, operation_id)
        if isinstance(result, VersionConflict):
            self._row_version = 0 if result.current is None else result.current.version
            requested_at = monotonic()
            result = await self._table.write(name, value, self._row_version, operation_id)
        if not isinstance(result, RowWritten):
            return False
        self._row_version = result.version
        self._first_announced.set()
        self.on_renewed(requested_at)
        return True

    async def _read_rows_periodically(self) -> None:
        # Reading after writing ensures that of two nodes that start at the same time, the one that
        # writes last reads the rows of both.
        await self._first_announced.wait()
        while True:
            rows = await self._table.read_prefix(ROW_PREFIX)
            if isinstance(rows, Unavailable):
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            await self.process_rows(rows)
            await asyncio.sleep(RESEED_INTERVAL_S * self._source.uniform(0.9, 1.1))
            while not self.is_relay():
                await asyncio.sleep(RESEED_INTERVAL_S)

    async def process_rows(self, rows: Sequence[Row]) -> None:
        """Seed gossip, and sweep old rows that have not changed since the previous read."""
        self.on_members(members_from_rows(rows, time.time()))
        if self.is_sweeper():
            unchanged = [
                row for row in rows if self._version_by_row_name.get(row.name) == row.version
            ]
            await sweep_announcements(
                self._table, self._local_member().zone, unchanged, time.time()
            )
        self._version_by_row_name = {row.name: row.version for row in rows}

    async def close(self) -> None:
        """Stop the announcements and the reads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)


def announcement_for(member: Member, renewal: int) -> NodeAnnouncement:
    """Return the announcement for the member entry of this node."""
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
    """Return a member entry for each valid announcement that is neither leaving nor stale.

    `wall_s` is the local time in seconds since the epoch. A node whose row looks stale because of a
    wrong clock is learned by gossip instead. The sequence of the entries is 0, so that an entry of
    the same process that is known from gossip takes precedence.
    """
    announcements = [announcement_from_wire(row.value) for row in rows]
    return [
        member
        for item in announcements
        if item is not None and not item.leaving and not item.is_stale(wall_s)
        if (member := _member_of(item)) is not None
    ]


def _member_of(announcement: NodeAnnouncement) -> Member | None:
    """Return the member entry of an announcement; None if no gossip message can carry it."""
    targets = announcement.targets
    member = Member(
        node=announcement.node,
        incarnation=announcement.incarnation,
        zone=announcement.zone,
        region=announcement.region,
        host=announcement.link_address.rpartition(":")[0],
        link_address=announcement.link_address,
        control_address=announcement.control_address,
        offers=tuple(ServiceOffer(target.service, target.slots) for target in targets),
    )
    try:
        # Peers reject the whole message of a node that passes such an entry on.
        return member_from_wire(member_to_wire(member), "announcement")
    except WireError as error:
        log.warning("announcement_rejected", member=member.node[:200], reason=str(error))
        return None
