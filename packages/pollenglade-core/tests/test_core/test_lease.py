"""Guards against two processes that grant from one slot, and against slots without a holder."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_core.lease_rows import SLOT_COUNT
from pollenglade_core.lease_rows import preferred_holder
from pollenglade_core.lease_rows import slot_of
from pollenglade_core.quota import Account

from .quota_fleet import TICK_S
from .quota_fleet import Fleet
from .quota_fleet import Host
from .rate_window import excess
from .test_quota import HoardingBorrower

ACCOUNT = Account("p", "abbey")
RATE, BURST = 40, 20


class HolderFailure:
    """A zone under constant overload in which the holder of the only slot fails."""

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(seed, {"a": 3}, {ACCOUNT: (RATE, BURST)}, HoardingBorrower)
        self.fleet.run(20.0)
        self.load(2.0)
        holder = self.fleet.holder_of("a", ACCOUNT)
        assert holder is not None
        self.holder = holder

    def load(self, length_s: float) -> None:
        """Run with 16 calls per second at each host."""
        for _ in range(int(length_s * 16)):
            for name in self.fleet.hosts:
                self.fleet.call(name, ACCOUNT)
            self.fleet.run(64 * TICK_S)

    def excess(self) -> float:
        return float(excess(self.fleet.spent[ACCOUNT], RATE, BURST))

    def granting(self) -> list[Host]:
        """Return the processes that would grant now."""
        slot = slot_of(ACCOUNT.organisation)
        clock = self.fleet.clock
        return [h for h in self.fleet.hosts.values() if h.leases.hold(slot, clock(h))]


SEEDS = st.integers(0, 2**32)


class TakeoverTest(unittest.TestCase):
    @settings(max_examples=15)
    @given(SEEDS)
    def test_new_holder_waits_for_grants_of_a_crashed_one(self, seed: int) -> None:
        """Tokens granted just before a crash would be spent on top of the new holder's."""
        failure = HolderFailure(seed)
        failure.fleet.start(failure.holder.name, failure.holder.incarnation + 1)
        failure.load(6.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting()))

    @settings(max_examples=5)
    @given(SEEDS, st.integers(31, 60))
    def test_paused_holder_has_lost_its_slot(self, seed: int, length_s: int) -> None:
        """A holder that resumes must not believe that it still holds the slot."""
        failure = HolderFailure(seed)
        failure.holder.paused_until = failure.fleet.now + length_s
        failure.load(length_s + 12.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting()))

    @settings(max_examples=5)
    @given(SEEDS, st.integers(40, 70))
    def test_isolated_holder_stops_and_another_takes_over(self, seed: int, length_s: int) -> None:
        """A holder that nobody can reach must stop before a candidate takes over.

        A takeover takes the lease of 30 s, three polls of 2 s, and 1 s for former grants.
        """
        failure = HolderFailure(seed)
        failure.holder.isolated = True
        failure.load(length_s)
        self.assertNotIn(failure.holder, failure.granting())
        self.assertEqual(1, len(failure.granting()))
        failure.holder.isolated = False
        failure.load(12.0)
        self.assertEqual(0, failure.excess())

    @settings(max_examples=5)
    @given(SEEDS, st.integers(35, 90), st.booleans())
    def test_zone_without_platform_keeps_its_holder(
        self, seed: int, length_s: int, holder_returns_last: bool
    ) -> None:
        """An outage must stop neither the zone, nor let a candidate take over at its end."""
        failure = HolderFailure(seed)
        failure.fleet.zones_without_platform = {"a"}
        failure.load(length_s)
        self.assertEqual([failure.holder], failure.granting())
        if holder_returns_last:
            failure.holder.without_platform = True
        failure.fleet.zones_without_platform = set()
        failure.load(45.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting()))


class PreferenceTest(unittest.TestCase):
    @given(st.sets(st.text("abc123", min_size=1), min_size=2, max_size=20), st.data())
    def test_a_lost_node_moves_only_its_own_slots(
        self, nodes: set[str], data: st.DataObject
    ) -> None:
        """A choice that moves other slots would interrupt them for a second each."""
        lost = data.draw(st.sampled_from(sorted(nodes)))
        for slot in range(SLOT_COUNT):
            before = preferred_holder(slot, nodes)
            if before != lost:
                self.assertEqual(before, preferred_holder(slot, nodes - {lost}))

    def test_slots_are_stable(self) -> None:
        """Releases with different hashes would let two holders grant for one organisation."""
        self.assertEqual([0, 19], [slot_of("abbey"), slot_of("brook")])
