"""Overwrites the announcements of former nodes with tombstones.

The platform has no delete, and a replacement host gets a new name. Without the sweep, the table
would grow by dozens of rows of former nodes a day, and every read of the table with it.
"""

from __future__ import annotations

import uuid
from collections.abc import Sequence

import structlog

from pollenglade_net.platform_api import AnswerLost
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable

from .announcement import TOMBSTONE_VALUE
from .announcement import announcement_from_wire
from .announcement import announcement_row_name

ROW_RETENTION_S = 3_600.0
MAX_WRITES_PER_SWEEP = 8
"""Limit of writes in one sweep; it prevents a burst of writes after the loss of many hosts."""

log = structlog.get_logger()


async def sweep_announcements(table: Table, zone: str, rows: Sequence[Row], wall_s: float) -> int:
    """Overwrite old announcements of a zone with tombstones and return their number.

    `wall_s` is the local time in seconds since the epoch. The caller must pass only rows that have
    not changed for longer than a lease, because the rows of live nodes look old to a clock that is
    ahead. Each write expects the version of the row that was read, so a node that returns keeps its
    row.
    """
    old_rows = [row for row in rows if _is_old(row, zone, wall_s - ROW_RETENTION_S)]
    swept = 0
    for row in old_rows[:MAX_WRITES_PER_SWEEP]:
        result = await table.write(row.name, TOMBSTONE_VALUE, row.version, uuid.uuid4().hex)
        if isinstance(result, Unavailable | AnswerLost):
            break
        swept += isinstance(result, RowWritten)
    if swept:
        log.info("announcements_swept", rows=swept, left=len(old_rows) - swept)
    return swept


def _is_old(row: Row, zone: str, cutoff: float) -> bool:
    announcement = announcement_from_wire(row.value)
    if announcement is None or announcement.announced_at is None:
        return False
    return (
        row.name == announcement_row_name(zone, announcement.node)
        and announcement.announced_at < cutoff
    )
