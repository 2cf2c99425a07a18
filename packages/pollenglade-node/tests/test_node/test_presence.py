"""Guards against rows of former nodes that stay, and against live nodes that lose theirs."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_net.platform_api import Absent
from pollenglade_net.platform_api import ReadResult
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import WriteResult
from pollenglade_net.platform_api import Written
from pollenglade_node.announcement import TOMBSTONE
from pollenglade_node.announcement_sweep import MAX_WRITES
from pollenglade_node.announcement_sweep import ROW_RETENTION_S
from pollenglade_node.announcement_sweep import AnnouncementSweep
from pollenglade_node.presence import members_from_rows

WALL_S = 1e9


def row(node: str, version: int, announced_at: float | None, zone: str = "east") -> Row:
    """Return the row of a node."""
    value = {"node": node, "incarnation": 1, "zone": zone, "announced_at": announced_at}
    value |= {"link_address": "127.0.0.1:1", "control_address": "127.0.0.1:2"}
    return Row(f"nodes/{zone}/{node}", version, value, "x")


class MemoryTable:
    """Rows in memory."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows_by_name = {item.name: item for item in rows}

    async def read(self, name: str) -> ReadResult:
        """Return a row."""
        return self.rows_by_name.get(name, Absent())

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write by compare-and-set."""
        current = self.rows_by_name.get(name)
        if (current.version if current else 0) != expected_version:
            return VersionConflict(current)
        self.rows_by_name[name] = Row(name, expected_version + 1, value, operation_id)
        return Written(expected_version + 1)

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows."""
        return tuple(self.rows_by_name.values())


class SweepTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_old_rows_of_the_zone_are_overwritten(self) -> None:
        """A row that is overwritten too early makes callers lose a node that returns."""
        old = WALL_S - ROW_RETENTION_S - 1.0
        seen = [
            row("old", 5, old),
            row("returned", 5, old),
            row("recent", 5, WALL_S - ROW_RETENTION_S + 1.0),
            row("other-zone", 5, old, "west"),
            row("no-time", 5, None),
        ]
        table = MemoryTable(seen)
        returned = row("returned", 6, WALL_S)
        table.rows_by_name[returned.name] = returned
        sweep = AnnouncementSweep("n1", "east", table)
        self.assertEqual(1, await sweep.sweep(seen, WALL_S))
        swept = [r.name for r in table.rows_by_name.values() if r.value == TOMBSTONE]
        self.assertEqual(["nodes/east/old"], swept)
        self.assertEqual(0, await sweep.sweep(await table.read_prefix(""), WALL_S))
        many = MemoryTable([row(f"m{number}", 1, old) for number in range(3 * MAX_WRITES)])
        rows = await many.read_prefix("")
        swept_at_once = await AnnouncementSweep("n1", "east", many).sweep(rows, WALL_S)
        self.assertEqual(MAX_WRITES, swept_at_once)

    @given(st.sets(st.text("abc", min_size=1), min_size=1, max_size=6), st.randoms())
    def test_one_node_of_a_zone_sweeps(self, names: set[str], random: Random) -> None:
        """Several sweepers would multiply the writes; none would let the rows grow."""
        live = list(names)
        random.shuffle(live)
        sweeps = [AnnouncementSweep(name, "east", MemoryTable([])) for name in names]
        self.assertEqual(1, sum(sweep.is_due(live, 1.0) for sweep in sweeps))
        self.assertEqual(0, sum(sweep.is_due(live, 2.0) for sweep in sweeps))


class SeedTest(unittest.TestCase):
    def test_former_nodes_are_not_seeded(self) -> None:
        """A new node must not call former nodes, nor take a tombstone for a node."""
        leaving = row("leaving", 7, WALL_S)
        leaving.value["leaving"] = True
        rows = [
            row("fresh", 7, WALL_S - 20.0),
            row("old", 7, WALL_S - 61.0),
            row("no-time", 7, None),
            Row("nodes/east/gone", 2, TOMBSTONE, "x"),
            leaving,
        ]
        seeded = {member.node for member in members_from_rows(rows, WALL_S)}
        self.assertEqual({"fresh", "no-time"}, seeded)
