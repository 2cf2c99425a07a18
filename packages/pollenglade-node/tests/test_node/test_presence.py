"""Guards against rows of former nodes that stay, and against live nodes that lose theirs."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from pollenglade_core.membership.member import Member
from pollenglade_net.http_client import HttpClient
from pollenglade_net.platform_api import Absent
from pollenglade_net.platform_api import ReadResult
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import WriteResult
from pollenglade_net.platform_api import Written
from pollenglade_node.membership.announcement import STALE_AFTER_S
from pollenglade_node.membership.announcement import TOMBSTONE
from pollenglade_node.membership.announcement_sweep import MAX_WRITES
from pollenglade_node.membership.announcement_sweep import ROW_RETENTION_S
from pollenglade_node.membership.announcement_sweep import sweep
from pollenglade_node.membership.fleet import Fleet
from pollenglade_node.membership.gossip import Gossip
from pollenglade_node.membership.presence import Presence
from pollenglade_node.membership.presence import members_from_rows

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

    def tombstones(self) -> list[str]:
        """Return the names of overwritten rows."""
        return [item.name for item in self.rows_by_name.values() if item.value == TOMBSTONE]


class SweepTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_old_rows_of_the_zone_are_overwritten(self) -> None:
        """A row that is overwritten too early makes others lose a node that returns."""
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
        self.assertEqual(1, await sweep(table, "east", seen, WALL_S))
        self.assertEqual(["nodes/east/old"], table.tombstones())
        self.assertEqual(0, await sweep(table, "east", await table.read_prefix(""), WALL_S))
        many = MemoryTable([row(f"m{number}", 1, old) for number in range(3 * MAX_WRITES)])
        rows = await many.read_prefix("")
        self.assertEqual(MAX_WRITES, await sweep(many, "east", rows, WALL_S))

    async def test_row_that_changed_since_the_last_read_stays(self) -> None:
        """With a clock that is an hour ahead, all rows of live nodes look old."""
        table = MemoryTable([row("live", 1, 0.0), row("former", 1, 0.0)])
        presence = self.presence(table)
        presence.is_sweeper = lambda: True
        await presence.take(await table.read_prefix(""))
        self.assertEqual([], table.tombstones())
        table.rows_by_name["nodes/east/live"] = row("live", 2, 0.0)
        await presence.take(await table.read_prefix(""))
        self.assertEqual(["nodes/east/former"], table.tombstones())

    def presence(self, table: MemoryTable) -> Presence:
        """Return the presence of a node of the zone."""
        address = "127.0.0.1:1"
        own = Member("n1", 1, "east", "r", "127.0.0.1", address, address)
        return Presence(table, lambda: own, Random(1))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_node_of_a_zone_sweeps(self) -> None:
        """Several sweepers would multiply the writes; none would let the rows grow."""
        members = members_from_rows([row(f"n{i}", 1, WALL_S) for i in range(9)], WALL_S)
        members += members_from_rows([row("w1", 1, WALL_S, "west")], WALL_S)
        sweepers: list[str] = []
        for own in members:
            gossip = Gossip(own, HttpClient(), Random(1))
            gossip.seed(members)
            if Fleet(gossip).is_sweeper():
                sweepers.append(own.zone)
        self.assertEqual(["east", "west"], sweepers)


class SeedTest(unittest.TestCase):
    def test_former_nodes_are_not_seeded(self) -> None:
        """A new node must not call former nodes, nor take a tombstone for a node."""
        leaving = row("leaving", 7, WALL_S)
        leaving.value["leaving"] = True
        rows = [
            row("fresh", 7, WALL_S - STALE_AFTER_S + 1.0),
            row("old", 7, WALL_S - STALE_AFTER_S - 1.0),
            row("ahead", 7, WALL_S + 1e6),
            row("no-time", 7, None),
            Row("nodes/east/gone", 2, TOMBSTONE, "x"),
            leaving,
        ]
        seeded = {member.node for member in members_from_rows(rows, WALL_S)}
        self.assertEqual({"fresh", "ahead", "no-time"}, seeded)
