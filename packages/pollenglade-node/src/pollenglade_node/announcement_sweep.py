"""Overwrites rows of nodes that ended long ago.

The platform offers no delete, and hosts that are replaced get new names. Without this the rows of
former nodes would grow by dozens a day, and every read of the table with them.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable
from collections.abc import Sequence
from hashlib import blake2b

import structlog

from pollenglade_net.platform_api import AnswerLost
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import Written

from .announcement import TOMBSTONE
from .announcement import announcement_from_wire
from .announcement import row_name

SWEEP_INTERVAL_S = 60.0
ROW_RETENTION_S = 3_600.0
MAX_WRITES = 8
"""Writes in one sweep, so that a zone that lost many hosts does not add a burst of writes."""

log = structlog.get_logger()


class AnnouncementSweep:
    """Sweeps the rows of one zone; the live node of the zone with the lowest hash does it."""

    def __init__(self, node: str, zone: str, table: Table) -> None:
        self._node = node
        self._zone = zone
        self._table = table
        self._due_at = 0.0

    def is_due(self, live_nodes: Sequence[str], now: float) -> bool:
        """Return whether this node has to sweep now, and set the next time if so."""
        if now < self._due_at or self._node != min(live_nodes, key=_order, default=""):
            return False
        self._due_at = now + SWEEP_INTERVAL_S
        return True

    async def sweep(self, rows: Iterable[Row], wall_s: float | None = None) -> int:
        """Overwrite old rows among `rows`, which must not have changed for the lease time.

        A clock that is ahead makes rows look old, so the age alone would remove live nodes. The
        write expects the version that was seen, so a node that returns keeps its row. Return the
        number of rows that were overwritten.
        """
        before = (time.time() if wall_s is None else wall_s) - ROW_RETENTION_S
        old = [row for row in rows if self._is_old(row, before)]
        swept = 0
        for row in old[:MAX_WRITES]:
            result = await self._table.write(row.name, TOMBSTONE, row.version, uuid.uuid4().hex)
            if isinstance(result, Unavailable | AnswerLost):
                break
            swept += isinstance(result, Written)
        if swept:
            log.info("announcements_swept", rows=swept, left=len(old) - swept)
        return swept

    def _is_old(self, row: Row, before: float) -> bool:
        announcement = announcement_from_wire(row.value)
        if announcement is None or announcement.announced_at is None:
            return False
        in_zone = row.name == row_name(self._zone, announcement.node)
        return in_zone and announcement.announced_at < before


def _order(node: str) -> bytes:
    return blake2b(node.encode(), digest_size=8).digest()
