"""Guards against tables that do not converge, and against wrong verdicts on members."""

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
    """Return a live member."""
    return Member(name, incarnation, zone, "r", name, "10.0.0.1:1", "10.0.0.1:2", OFFERS)


def exchange(a: MemberTable, b: MemberTable, now: float) -> None:
    """Run one gossip exchange in both directions."""
    to_b, to_a = a.delta(b.digests()), b.delta(a.digests())
    b.merge(to_b, now)
    a.merge(to_a, now)


VERSIONS = st.builds(
    lambda name, incarnation, sequence, state: replace(
        member(name, f"z{len(name)}", incarnation), sequence=sequence, state=state
    ),
    st.sampled_from(["a", "b", "cc"]),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from(MemberState),
)


class MemberTableTest(unittest.TestCase):
    @given(st.lists(VERSIONS), st.lists(VERSIONS))
    def test_exchange_makes_tables_equal(self, left: list[Member], right: list[Member]) -> None:
        """Merging that depends on the order of news would never settle."""
        a, b = MemberTable(member("own-a")), MemberTable(member("own-b"))
        a.merge(left, 0.0)
        b.merge(right, 0.0)
        for _ in range(2):
            exchange(a, b, 0.0)
        self.assertEqual(a.digests(), b.digests())
        self.assertEqual([], a.delta(b.digests()))
        self.assertEqual(set(a.live()), set(b.live()))

    @given(st.lists(VERSIONS))
    def test_incremental_digest_equals_that_of_a_new_table(self, news: list[Member]) -> None:
        """A digest that drifts makes quiet nodes exchange whole zones for ever."""
        table = MemberTable(member("own"))
        for now, item in enumerate(news):
            table.merge([item], float(now))
        table.expire(1e6)
        rebuilt = MemberTable(member("own"))
        rebuilt.merge(table.live(), 0.0)
        self.assertEqual(rebuilt.digests(), table.digests())

    def test_own_node_refutes_its_death_but_not_its_successor(self) -> None:
        """A wrong verdict that nobody can refute would exclude a running node."""
        table = MemberTable(member("own", incarnation=2))
        table.merge([replace(table.own, state=MemberState.DEAD, sequence=7)], 0.0)
        self.assertEqual((MemberState.ALIVE, 8), (table.own.state, table.own.sequence))
        self.assertEqual([], table.merge([member("own", incarnation=3)], 0.0))

    def test_dead_member_does_not_come_back_with_old_news(self) -> None:
        """Late gossip about a dead node would attract calls to it."""
        table = MemberTable(member("own"))
        table.merge([member("x")], 0.0)
        table.confirm_dead("x", 1, 0, 0.0)
        self.assertEqual([], table.merge([member("x")], 1.0))
        self.assertEqual(1, len(table.merge([member("x", incarnation=2)], 2.0)))


class ProberTest(unittest.TestCase):
    @given(st.integers(0, 2**32))
    def test_fleet_agrees_on_a_failed_node_and_spares_a_running_one(self, seed: int) -> None:
        """A node that fails must leave all tables; one that only one peer cannot reach must not."""
        source = random.Random(seed)
        names = [f"n{index}" for index in range(8)]
        tables = {name: MemberTable(member(name, f"z{int(name[1]) % 2}")) for name in names}
        for table in tables.values():
            table.merge([other.own for other in tables.values()], 0.0)
        probers = {name: Prober(table, source) for name, table in tables.items()}
        down, cut = "n0", {"n1", "n3"}
        for step in range(4 * 45):
            now = step / 4
            for name in names[1:]:
                for action in probers[name].advance(now):
                    via = name if isinstance(action, Ping) else action.helper
                    if down in (via, action.node) or {via, action.node} == cut:
                        continue
                    if {name, via} != cut:
                        exchange(tables[via], tables[action.node], now)
                        probers[name].on_answer(action.probe)
        for name in names[1:]:
            self.assertEqual(set(names[1:]), {item.node for item in tables[name].live()})


class GossipWireTest(unittest.TestCase):
    @given(st.lists(VERSIONS, max_size=3), st.none() | st.floats(0, 1e9), st.integers(0, 2**40))
    def test_messages_survive_json(
        self, members: list[Member], age_s: float | None, version: int
    ) -> None:
        """A field lost on the way would be merged as a default."""
        table = MemberTable(member("own"))
        table.merge(members, 0.0)
        sent = GossipMessage("own", "z0", 1, table.digests(), version, age_s, tuple(members))
        self.assertEqual(sent, GossipMessage.from_wire(json.loads(json.dumps(sent.to_wire()))))

    @given(st.data())
    def test_every_malformed_field_is_named(self, data: st.DataObject) -> None:
        """A malformed message must raise the one typed error, or it stops the gossip loop."""
        sent = GossipMessage("own", "z0", 1, {"z0": 1}, 1, 0.5, (member("x"),)).to_wire()
        wire = json.loads(json.dumps(sent))
        holder, prefix = data.draw(
            st.sampled_from([(wire, "gossip"), (wire["members"][0], "gossip.members[0]")])
        )
        name = data.draw(st.sampled_from(sorted(holder)))
        holder[name] = data.draw(
            st.sampled_from([True, -1, "", "x" * 256, [None] * 5_000, {"z": "?"}, 1e400, 2**64])
        )
        with self.assertRaises(WireError) as caught:
            GossipMessage.from_wire(wire)
        self.assertTrue(caught.exception.place.startswith(f"{prefix}.{name}"))

    def test_quiet_exchange_does_not_grow_with_the_fleet(self) -> None:
        """Cost for each node must stay constant as the fleet grows."""
        sizes = set()
        for count in (10, 880):
            table = MemberTable(member("own"))
            table.merge([member(f"n{i}", f"z{i % 7}") for i in range(count)], 0.0)
            members = tuple(table.delta(table.digests()))
            message = GossipMessage("own", "z0", 1, table.digests(), 5, 0.5, members)
            sizes.add(len(json.dumps(message.to_wire())))
        self.assertEqual(1, len(sizes))
