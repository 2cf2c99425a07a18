"""Guards against two processes granting from one slot, and against slots without a holder."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_core.quota.lease_evidence import AnnouncementWatch
from pollenglade_core.quota.lease_rows import SLOT_COUNT
from pollenglade_core.quota.lease_rows import SlotRow
from pollenglade_core.quota.lease_rows import StoredSlotRow
from pollenglade_core.quota.lease_rows import WriteSlot
from pollenglade_core.quota.lease_rows import preferred_holder
from pollenglade_core.quota.lease_rows import slot_of
from pollenglade_core.quota.quota import Account
from pollenglade_core.quota.quota import GrantingRight
from pollenglade_core.quota.quota import QuotaHolder
from pollenglade_core.quota.quota import TokenRequest
from pollenglade_core.quota.quota import TokensDenied
from pollenglade_core.quota.quota import TokensGranted
from pollenglade_core.quota.quota import ZoneShare
from pollenglade_core.quota.slot_lease import SlotLease

from .quota_fleet import TICK_S
from .quota_fleet import Fleet
from .quota_fleet import Host
from .rate_window import excess
from .test_quota import HoardingBorrower

ACCOUNT = Account("p", "abbey")
RATE, BURST = 40, 20


class HolderFailure:
    """Zone under constant overload, with the holder of the only slot to be made to fail."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.fleet = Fleet(seed, {"a": hosts}, {ACCOUNT: (RATE, BURST)}, HoardingBorrower)
        self.fleet.run(20.0)
        self.load(2.0)
        holder = self.fleet.holder_of("a", ACCOUNT)
        assert holder is not None
        self.holder = holder

    def load(self, length_s: float) -> None:
        """Run for `length_s` with 16 calls per second at each host."""
        for _ in range(int(length_s * 16)):
            for name in self.fleet.hosts:
                self.fleet.call(name, ACCOUNT)
            self.fleet.run(64 * TICK_S)

    def excess(self) -> float:
        return float(excess(self.fleet.spent[ACCOUNT], RATE, BURST))

    def granting_hosts(self) -> list[Host]:
        """Return the hosts that may grant from the slot now."""
        slot = slot_of(ACCOUNT.organisation)
        clock = self.fleet.clock
        return [h for h in self.fleet.hosts.values() if h.leases.granting_right(slot, clock(h))]


SEEDS = st.integers(0, 2**32)


class TakeoverTest(unittest.TestCase):
    @settings(max_examples=15)
    @given(SEEDS)
    def test_new_holder_waits_for_grants_of_a_crashed_one(self, seed: int) -> None:
        """Tokens granted just before a crash would be spent besides those of the new holder."""
        failure = HolderFailure(seed)
        failure.fleet.start(failure.holder.name, failure.holder.incarnation + 1)
        failure.load(6.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting_hosts()))

    @settings(max_examples=5)
    @given(SEEDS, st.integers(31, 60))
    def test_paused_holder_has_lost_its_slot(self, seed: int, length_s: int) -> None:
        """A holder that resumes after a takeover must not continue to grant from the slot."""
        failure = HolderFailure(seed)
        failure.holder.paused_until = failure.fleet.now + length_s
        failure.load(length_s + 12.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting_hosts()))

    @settings(max_examples=5)
    @given(SEEDS, st.integers(40, 70))
    def test_isolated_holder_stops_and_another_takes_over(self, seed: int, length_s: int) -> None:
        """An unreachable holder must stop granting before a candidate takes over.

        A takeover takes the delay of 30 s, three polls of 2 s, and 1 s for former grants.
        """
        failure = HolderFailure(seed)
        failure.holder.isolated = True
        failure.load(length_s)
        self.assertNotIn(failure.holder, failure.granting_hosts())
        self.assertEqual(1, len(failure.granting_hosts()))
        failure.holder.isolated = False
        failure.load(12.0)
        self.assertEqual(0, failure.excess())

    @settings(max_examples=5)
    @given(SEEDS, st.integers(35, 90), st.booleans())
    def test_zone_without_platform_keeps_its_holder(
        self, seed: int, length_s: int, holder_returns_last: bool
    ) -> None:
        """The holder must grant during a platform outage, without two holders at its end."""
        failure = HolderFailure(seed)
        failure.fleet.zones_without_platform = {"a"}
        failure.load(length_s)
        self.assertEqual([failure.holder], failure.granting_hosts())
        if holder_returns_last:
            failure.holder.without_platform = True
        failure.fleet.zones_without_platform = set()
        failure.load(45.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting_hosts()))

    @settings(max_examples=5)
    @given(SEEDS, st.booleans())
    def test_lone_holder_stops_when_a_node_may_have_joined(self, seed: int, cut: bool) -> None:
        """A holder without peers or platform would not notice a takeover by a node that joins."""
        failure = HolderFailure(seed, hosts=1)
        failure.holder.without_platform = True
        failure.load(5.0)
        failure.fleet.start("a1", 1)
        failure.fleet.hosts["a1"].isolated = cut
        failure.load(20.0)
        failure.fleet.hosts["a1"].isolated = False
        failure.load(50.0)
        self.assertEqual(0, failure.excess())
        self.assertEqual(1, len(failure.granting_hosts()))


class RulesTest(unittest.TestCase):
    @given(st.floats(0, 1e6), st.floats(0, 0.999))
    def test_claim_grants_after_former_grants_have_expired(self, now: float, early: float) -> None:
        """After a takeover by a refused connection, former grants may still be in use."""
        lease = SlotLease(3, "n", 1)
        lease.claim(1, True, True, now)
        former = SlotRow("other", 1, 4, "x")
        lease.on_row(StoredSlotRow(9, former), now)
        write = lease.claim(1, True, True, now)
        assert isinstance(write, WriteSlot)
        lease.on_written(10, now)
        self.assertIsNone(lease.granting_right(1, now + early))
        self.assertEqual(5, getattr(lease.granting_right(1, now + 1.001), "epoch", None))
        self.assertIsNone(lease.granting_right(2, now + 1.001), "needs confirmation after a lapse")

    @given(st.lists(st.floats(0.1, 9.0), max_size=60))
    def test_takeover_needs_30_s_of_gapless_reads(self, gaps: list[float]) -> None:
        """The first read after an outage must not permit an immediate takeover."""
        watch, now, observed_s = AnnouncementWatch(), 100.0, 0.0
        watch.on_read(1, 1, now, now)
        for gap in gaps:
            now += gap
            observed_s = observed_s + gap if gap <= 5.0 else 0.0
            watch.on_read(1, 1, now, now)
            if watch.has_lapsed(now):
                self.assertGreaterEqual(observed_s, 29.999)

    def test_new_epoch_starts_empty(self) -> None:
        """Tokens of an earlier epoch would add to those that another holder granted since."""
        authority = FixedAuthority(GrantingRight(1, 0.0))
        holder = QuotaHolder(authority)
        holder.set_share(ACCOUNT, ZoneShare(1, 50), 0.0)
        ask = TokenRequest("b", "1", ACCOUNT, 1, 1)
        self.assertIsInstance(holder.handle_request(ask, 60.0), TokensGranted)
        authority.current = GrantingRight(2, 60.0)
        self.assertIsInstance(
            holder.handle_request(replace(ask, request_id="2"), 60.5), TokensDenied
        )
        self.assertEqual(
            TokensGranted("1", 1, 1),
            holder.handle_request(ask, 61.0),
            "a repeat gets no second grant",
        )


@dataclass
class FixedAuthority:
    """Authority that always returns the given granting right."""

    current: GrantingRight

    def granting_right(self, slot: int, now: float) -> GrantingRight | None:
        return self.current


class PreferenceTest(unittest.TestCase):
    @given(st.sets(st.text("abc123", min_size=1), min_size=2, max_size=20), st.data())
    def test_a_lost_node_moves_only_its_own_slots(
        self, nodes: set[str], data: st.DataObject
    ) -> None:
        """Each slot that moves unnecessarily is without grants for a second."""
        lost = data.draw(st.sampled_from(sorted(nodes)))
        for slot in range(SLOT_COUNT):
            before = preferred_holder(slot, nodes)
            if before != lost:
                self.assertEqual(before, preferred_holder(slot, nodes - {lost}))

    def test_slots_are_stable(self) -> None:
        """Releases with different hashes would have two holders for one organisation."""
        self.assertEqual([0, 19], [slot_of("abbey"), slot_of("brook")])
