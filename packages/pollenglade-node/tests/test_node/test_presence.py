"""Guards against rows of former nodes that remain, and against live nodes that lose their row."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from pollenglade_core.membership.member import Member
from pollenglade_net.http_client import HttpClient
from pollenglade_net.platform_api import NotFound
from pollenglade_net.platform_api import ReadResult
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import WriteResult
from pollenglade_node.membership.announcement import STALE_AFTER_S
from pollenglade_node.membership.announcement import TOMBSTONE_VALUE
from pollenglade_node.membership.announcement_sweep import MAX_WRITES_PER_SWEEP
from pollenglade_node.membership.announcement_sweep import ROW_RETENTION_S
from pollenglade_node.membership.announcement_sweep import sweep_announcements
from pollenglade_node.membership.fleet import Fleet
from pollenglade_node.membership.gossip import Gossip
from pollenglade_node.membership.presence import Presence
from pollenglade_node.membership.presence import members_from_rows

WALL_S = 1e9


def row(node: str, version: int, announced_at: float | None, zone: str = "east") -> Row:
    """Return the announcement row of a node."""
    value = {"node": node, "incarnation": 1, "zone": zone, "announced_at": announced_at}
    value |= {"link_address": "127.0.0.1:1", "control_address": "127.0.0.1:2"}
    return Row(f"nodes/{zone}/{node}", version, value, "x")


class MemoryTable:
    """Stand-in for the platform's table with rows in memory."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows_by_name = {item.name: item for item in rows}

    async def read(self, name: str) -> ReadResult:
        """Return a row by name, or NotFound."""
        return self.rows_by_name.get(name, NotFound())

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write a row if its version is the expected one."""
        current = self.rows_by_name.get(name)
        if (current.version if current else 0) != expected_version:
            return VersionConflict(current)
        self.rows_by_name[name] = Row(name, expected_version + 1, value, operation_id)
        return RowWritten(expected_version + 1)

    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows, whatever the prefix."""
        return tuple(self.rows_by_name.values())

    def tombstones(self) -> list[str]:
        """Return the names of the rows with a tombstone."""
        return [item.name for item in self.rows_by_name.values() if item.value == TOMBSTONE_VALUE]


class OddAnnouncementTest(unittest.TestCase):
    """Rows of another writer among the announcements."""

    def test_one_odd_announcement_ends_the_gossip_of_all_nodes(self) -> None:
        """Peers rejected each message that passed it on, and its address raised an exception."""
        odd: list[dict[str, Any]] = [
            {"link_address": "nowhere"},
            {"link_address": "127.0.0.1:70000"},
            {"control_address": "127.0.0.1:0"},
            {"control_address": "127.0.0.1:\u0663"},
            {"incarnation": 2**64},
            {"node": "n" * 300},
            {"targets": [{"service": "fees", "slots": -1, "state": "ready"}]},
            {"region": []},
        ]
        rows = [row("proper", 1, WALL_S)]
        for changes in odd:
            item = row("odd", 1, WALL_S)
            rows.insert(0, Row(item.name, 1, {**item.value, **changes}, "x"))
        self.assertEqual([item.node for item in members_from_rows(rows, WALL_S)], ["proper"])


class SweepTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_old_rows_of_the_zone_are_overwritten(self) -> None:
        """Sweeping a row too early would hide a node that returns from the other nodes."""
        old_time = WALL_S - ROW_RETENTION_S - 1.0
        rows_read = [
            row("old", 5, old_time),
            row("returned", 5, old_time),
            row("recent", 5, WALL_S - ROW_RETENTION_S + 1.0),
            row("other-zone", 5, old_time, "west"),
            row("no-time", 5, None),
        ]
        table = MemoryTable(rows_read)
        returned = row("returned", 6, WALL_S)
        table.rows_by_name[returned.name] = returned
        self.assertEqual(1, await sweep_announcements(table, "east", rows_read, WALL_S))
        self.assertEqual(["nodes/east/old"], table.tombstones())
        self.assertEqual(
            0, await sweep_announcements(table, "east", await table.read_prefix(""), WALL_S)
        )
        many_rows_table = MemoryTable(
            [row(f"m{number}", 1, old_time) for number in range(3 * MAX_WRITES_PER_SWEEP)]
        )
        rows = await many_rows_table.read_prefix("")
        self.assertEqual(
            MAX_WRITES_PER_SWEEP, await sweep_announcements(many_rows_table, "east", rows, WALL_S)
        )

    async def test_row_that_changed_since_the_last_read_stays(self) -> None:
        """The rows of live nodes look old to a clock that is an hour ahead."""
        table = MemoryTable([row("live", 1, 0.0), row("former", 1, 0.0)])
        presence = self.presence(table)
        presence.is_sweeper = lambda: True
        await presence.process_rows(await table.read_prefix(""))
        self.assertEqual([], table.tombstones())
        table.rows_by_name["nodes/east/live"] = row("live", 2, 0.0)
        await presence.process_rows(await table.read_prefix(""))
        self.assertEqual(["nodes/east/former"], table.tombstones())

    def presence(self, table: MemoryTable) -> Presence:
        """Return the presence of a node in zone `east`."""
        address = "127.0.0.1:1"
        local_member = Member("n1", 1, "east", "r", "127.0.0.1", address, address)
        return Presence(table, lambda: local_member, Random(1))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_node_of_a_zone_sweeps(self) -> None:
        """Several sweepers would multiply the writes; without one, the rows would accumulate."""
        members = members_from_rows([row(f"n{i}", 1, WALL_S) for i in range(9)], WALL_S)
        members += members_from_rows([row("w1", 1, WALL_S, "west")], WALL_S)
        sweepers: list[str] = []
        for local_member in members:
            gossip = Gossip(local_member, HttpClient(), Random(1))
            gossip.merge_announced(members)
            if Fleet(gossip).is_sweeper():
                sweepers.append(local_member.zone)
        self.assertEqual(["east", "west"], sweepers)


class SeedTest(unittest.TestCase):
    def test_former_nodes_are_not_seeded(self) -> None:
        """A new node must not call former nodes or treat a tombstone as a node."""
        leaving = row("leaving", 7, WALL_S)
        leaving.value["leaving"] = True
        rows = [
            row("fresh", 7, WALL_S - STALE_AFTER_S + 1.0),
            row("old", 7, WALL_S - STALE_AFTER_S - 1.0),
            row("ahead", 7, WALL_S + 1e6),
            row("no-time", 7, None),
            Row("nodes/east/gone", 2, TOMBSTONE_VALUE, "x"),
            leaving,
        ]
        seeded = {member.node for member in members_from_rows(rows, WALL_S)}
        self.assertEqual({"fresh", "ahead", "no-time"}, seeded)
