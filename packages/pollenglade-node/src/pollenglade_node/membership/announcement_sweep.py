"""Overwrites rows of nodes that ended long ago.

The platform offers no delete, and hosts that are replaced get new names. Without this the rows of
former nodes would grow by dozens a day, and every read of the table with them.
"""

from __future__ import annotations

import uuid
from collections.abc import Sequence

import structlog

from pollenglade_net.platform_api import AnswerLost
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import Written

from .announcement import TOMBSTONE
from .announcement import announcement_from_wire
from .announcement import row_name

ROW_RETENTION_S = 3_600.0
MAX_WRITES = 8
"""Writes in one sweep, so that a zone that lost many hosts does not add a burst of writes."""

log = structlog.get_logger()


async def sweep(table: Table, zone: str, rows: Sequence[Row], wall_s: float) -> int:
    """Overwrite old rows of a zone and return their number; `wall_s` is seconds since the epoch.

    The rows must not have changed for longer than a lease, because with a clock that is ahead the
    rows of live nodes look old. The write expects the version that was seen, so a node that returns
    keeps its row.
    """
    old = [row for row in rows if _is_old(row, zone, wall_s - ROW_RETENTION_S)]
    swept = 0
    for row in old[:MAX_WRITES]:
        result = await table.write(row.name, TOMBSTONE, row.version, uuid.uuid4().hex)
        if isinstance(result, Unavailable | AnswerLost):
            break
        swept += isinstance(result, Written)
    if swept:
        log.info("announcements_swept", rows=swept, left=len(old) - swept)
    return swept


def _is_old(row: Row, zone: str, before: float) -> bool:
    announcement = announcement_from_wire(row.value)
    if announcement is None or announcement.announced_at is None:
        return False
    return row.name == row_name(zone, announcement.node) and announcement.announced_at < before
