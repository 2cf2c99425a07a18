"""Guards against member tables that do not converge, and against wrong member states."""

from __future__ import annotations

import json
import random
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.membership.member import ServiceOffer
from pollenglade_core.membership.membership import GossipMessage
from pollenglade_core.membership.membership import Member
from pollenglade_core.membership.membership import MemberState
from pollenglade_core.membership.membership import MemberTable
from pollenglade_core.membership.membership import Ping
from pollenglade_core.membership.membership import Prober
from pollenglade_core.membership.membership import WireError

OFFERS = (ServiceOffer("fees", 10),)


def member(name: str, zone: str = "z0", incarnation: int = 1) -> Member:
    """Return a live member with the given name, zone and incarnation."""
    return Member(name, incarnation, zone, "r", name, "10.0.0.1:1", "10.0.0.1:2", OFFERS)


def exchange(a: MemberTable, b: MemberTable, now: float) -> None:
    """Exchange the differing members of two tables in both directions."""
    to_b, to_a = a.differing_members(b.digests()), b.differing_members(a.digests())
    b.merge(to_b, now)
    a.merge(to_a, now)


MEMBER_VERSIONS = st.builds(
    lambda name, incarnation, sequence, state: replace(
        member(name, f"z{len(name)}", incarnation), sequence=sequence, state=state
    ),
    st.sampled_from(["a", "b", "cc"]),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from(MemberState),
)


class MemberTableTest(unittest.TestCase):
    @given(st.lists(MEMBER_VERSIONS), st.lists(MEMBER_VERSIONS))
    def test_exchange_makes_tables_equal(
        self, members_a: list[Member], members_b: list[Member]
    ) -> None:
        """A merge whose result depends on the order of updates would never converge."""
        a, b = MemberTable(member("own-a")), MemberTable(member("own-b"))
        a.merge(members_a, 0.0)
        b.merge(members_b, 0.0)
        for _ in range(2):
            exchange(a, b, 0.0)
        self.assertEqual(a.digests(), b.digests())
        self.assertEqual([], a.differing_members(b.digests()))
        self.assertEqual(set(a.live_members()), set(b.live_members()))

    @given(st.lists(MEMBER_VERSIONS))
    def test_incremental_digest_equals_that_of_a_new_table(self, updates: list[Member]) -> None:
        """A wrong digest would make nodes exchange whole zones forever without any change."""
        table = MemberTable(member("own"))
        for now, item in enumerate(updates):
            table.merge([item], float(now))
        table.remove_expired(1e6)
        new_table = MemberTable(member("own"))
        new_table.merge(table.live_members(), 0.0)
        self.assertEqual(new_table.digests(), table.digests())

    def test_local_node_refutes_its_death_but_not_a_later_incarnation(self) -> None:
        """A running node must be able to refute its death, or it would stay excluded."""
        table = MemberTable(member("own", incarnation=2))
        table.merge([replace(table.local, state=MemberState.DEAD, sequence=7)], 0.0)
        self.assertEqual((MemberState.ALIVE, 8), (table.local.state, table.local.sequence))
        self.assertEqual([], table.merge([member("own", incarnation=3)], 0.0))

    def test_dead_member_is_not_restored_by_old_gossip(self) -> None:
        """Late gossip about a dead node must not attract calls to it."""
        table = MemberTable(member("own"))
        table.merge([member("x")], 0.0)
        table.mark_dead("x", 1, 0, 0.0)
        self.assertEqual([], table.merge([member("x")], 1.0))
        self.assertEqual(1, len(table.merge([member("x", incarnation=2)], 2.0)))


class ProberTest(unittest.TestCase):
    @given(st.integers(0, 2**32))
    def test_fleet_removes_a_failed_node_and_keeps_a_running_one(self, seed: int) -> None:
        """A failed node must leave all tables; a node that one peer cannot reach must stay."""
        source = random.Random(seed)
        names = [f"n{index}" for index in range(8)]
        tables = {name: MemberTable(member(name, f"z{int(name[1]) % 2}")) for name in names}
        for table in tables.values():
            table.merge([other.local for other in tables.values()], 0.0)
        probers = {name: Prober(table, source) for name, table in tables.items()}
        failed_node, partitioned = "n0", {"n1", "n3"}
        for step in range(4 * 45):
            now = step / 4
            for name in names[1:]:
                for action in probers[name].advance(now):
                    prober = name if isinstance(action, Ping) else action.intermediary
                    if failed_node in (prober, action.node) or {prober, action.node} == partitioned:
                        continue
                    if {name, prober} != partitioned:
                        exchange(tables[prober], tables[action.node], now)
                        probers[name].on_ack(action.probe)
        for name in names[1:]:
            self.assertEqual(set(names[1:]), {item.node for item in tables[name].live_members()})


class GossipWireTest(unittest.TestCase):
    @given(
        st.lists(MEMBER_VERSIONS, max_size=3), st.none() | st.floats(0, 1e9), st.integers(0, 2**40)
    )
    def test_messages_survive_json(
        self, members: list[Member], age_s: float | None, version: int
    ) -> None:
        """A field lost in conversion would be merged with its default value."""
        table = MemberTable(member("own"))
        table.merge(members, 0.0)
        sent = GossipMessage("own", "z0", 1, table.digests(), version, age_s, tuple(members))
        self.assertEqual(sent, GossipMessage.from_wire(json.loads(json.dumps(sent.to_wire()))))

    @given(st.data())
    def test_errors_name_the_invalid_field(self, data: st.DataObject) -> None:
        """An invalid message must raise WireError; other exceptions would stop the gossip loop."""
        sent = GossipMessage("own", "z0", 1, {"z0": 1}, 1, 0.5, (member("x"),)).to_wire()
        wire = json.loads(json.dumps(sent))
        container, prefix = data.draw(
            st.sampled_from([(wire, "gossip"), (wire["members"][0], "gossip.members[0]")])
        )
        name = data.draw(st.sampled_from(sorted(container)))
        container[name] = data.draw(
            st.sampled_from([True, -1, "", "x" * 256, [None] * 5_000, {"z": "?"}, 1e400, 2**64])
        )
        with self.assertRaises(WireError) as caught:
            GossipMessage.from_wire(wire)
        self.assertTrue(caught.exception.path.startswith(f"{prefix}.{name}"))

    def test_exchange_without_differences_does_not_grow_with_the_fleet(self) -> None:
        """The message size without differences must stay constant as the fleet grows."""
        sizes = set()
        for count in (10, 880):
            table = MemberTable(member("own"))
            table.merge([member(f"n{i}", f"z{i % 7}") for i in range(count)], 0.0)
            members = tuple(table.differing_members(table.digests()))
            message = GossipMessage("own", "z0", 1, table.digests(), 5, 0.5, members)
            sizes.add(len(json.dumps(message.to_wire())))
        self.assertEqual(1, len(sizes))
