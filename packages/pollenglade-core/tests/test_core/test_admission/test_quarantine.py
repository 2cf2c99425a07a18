"""Tests that a call crashes few targets before it is refused and that harmless calls still run."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.admission.quarantine import MAX_COMPLETED
from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.admission.quarantine import node_for_suspected_call
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.retry import RetryAllowance

NOTICE_LISTS = st.lists(
    st.builds(
        CrashNotice,
        st.sampled_from(["n1/1", "n2/1", "n3/1"]),
        st.sampled_from(["f", "g"]),
        st.floats(0.0, 500.0),
        st.booleans(),
    ),
    max_size=12,
)
RANDOM_SOURCE = Random(0)


def make_call(call_id: str, fingerprint: str = "f") -> CallContext:
    allowance = RetryAllowance(0)
    return CallContext(
        call_id, "a", "p", "fees", Importance.NORMAL, 1e9, allowance, fingerprint=fingerprint
    )


def deliver(ledgers: list[CrashLedger], notices: list[CrashNotice], now: float) -> None:
    """Deliver notices to all ledgers until none of them returns further notices."""
    while notices:
        notices = [reply for ledger in ledgers for reply in ledger.apply_notices(notices, now)]


class CrashLedgerTest(unittest.TestCase):
    @given(NOTICE_LISTS, st.randoms(use_true_random=False))
    def test_merge_ignores_order_and_repetition(
        self, notices: list[CrashNotice], random: Random
    ) -> None:
        """Gossip repeats and reorders notices; a repeated one must not count as another crash."""
        first, second = CrashLedger(), CrashLedger()
        first.apply_notices(notices, 0.0)
        shuffled = notices + notices
        random.shuffle(shuffled)
        second.apply_notices(shuffled, 0.0)
        second.apply_notices(second.notices(50.0), 50.0)
        for fingerprint in "fg":
            of_fingerprint = [notice for notice in notices if notice.fingerprint == fingerprint]
            crashes = {notice.crash_id for notice in of_fingerprint}
            cleared = {notice.crash_id for notice in of_fingerprint if notice.cleared}
            for ledger in (first, second):
                self.assertEqual(len(crashes - cleared), ledger.crashes(fingerprint, 50.0))
                self.assertEqual(0, ledger.crashes(fingerprint, 600.0))

    @given(
        st.integers(1, 5),
        st.lists(st.tuples(st.integers(0, 4), st.floats(0, 20)), max_size=30),
    )
    def test_resent_call_crashes_at_most_two_targets(
        self, count: int, sends: list[tuple[int, float]]
    ) -> None:
        """A caller that resends a harmful call would otherwise crash one target after another."""
        ledgers = [CrashLedger() for _ in range(count)]
        now, crashes = 0.0, 0
        for number, (index, step_s) in enumerate(sends):
            now += step_s
            ledger = ledgers[index % count]
            harmless = make_call(f"harmless-{number}", "h")
            self.assertIsNone(ledger.check(harmless, now, RANDOM_SOURCE))
            ledger.on_call_started(harmless, "t")
            call = make_call(str(number))
            refusal = ledger.check(call, now, RANDOM_SOURCE)
            if refusal is None:
                crashes += 1
                ledger.on_call_started(call, "t")
                deliver(ledgers, ledger.on_target_crashed("t", f"c{number}", now), now)
            else:
                self.assertIs(Outcome.NOT_RUN, refusal.outcome)
            # The harmless call completes elsewhere, before or after each crash.
            ledgers[0].on_call_started(make_call("again", "h"), "t2")
            deliver(ledgers, ledgers[0].on_call_ended("again", now, completed=True), now)
            deliver(ledgers, ledger.on_call_ended(harmless.call_id, now, completed=True), now)
        self.assertLessEqual(crashes, 2)

    def test_quarantine_lasts_10_minutes_from_the_second_crash(self) -> None:
        """A node that joins late must refuse the call even if the first crash is 10 minutes old."""
        ledger, late_joiner = CrashLedger(), CrashLedger()
        for number, now in enumerate((0.0, 550.0)):
            ledger.on_call_started(make_call(str(number)), "t")
            ledger.on_target_crashed("t", f"c{number}", now)
        late_joiner.apply_notices(ledger.notices(1_100.0), 1_100.0)
        for node_ledger in (ledger, late_joiner):
            self.assertIsNotNone(node_ledger.check(make_call("x"), 1_149.0, RANDOM_SOURCE))
            self.assertIsNone(node_ledger.check(make_call("x"), 1_150.0, RANDOM_SOURCE))

    def test_expired_records_do_not_return(self) -> None:
        """Message delays make ages too small; two nodes must not extend each other's records."""
        ledgers = [CrashLedger(), CrashLedger()]
        ledgers[0].apply_notices([CrashNotice("c1", "f", 0.0)], 0.0)
        in_transit: list[list[list[CrashNotice]]] = [[[], []], [[], []]]
        for step in range(1_400):
            now = step * 0.5
            in_transit.append([ledger.notices(now) for ledger in ledgers])
            if now > 640.0:
                self.assertEqual([[], []], in_transit[-1])
            from_first, from_second = in_transit.pop(0)
            ledgers[0].apply_notices(from_second, now)
            ledgers[1].apply_notices(from_first, now)

    def test_one_completion_does_not_clear_all_crashes(self) -> None:
        """A call that completed once and crashes its target from then on must be refused."""
        ledger, crashes = CrashLedger(), 0
        ledger.on_call_started(make_call("first"), "t")
        ledger.on_call_ended("first", 0.0, completed=True)
        while (
            ledger.check(make_call("again"), 1.0 + crashes, RANDOM_SOURCE) is None and crashes < 9
        ):
            ledger.on_call_started(make_call("again"), "t")
            ledger.on_target_crashed("t", f"c{crashes}", 1.0 + crashes)
            crashes += 1
        self.assertLessEqual(crashes, 3)

    def test_suspected_call_runs_at_one_target_at_a_time(self) -> None:
        """Copies of a suspected call in flight together would crash several targets at once."""
        ledger = CrashLedger()
        ledger.apply_notices([CrashNotice("c1", "f", 0.0)], 0.0)
        self.assertIsNone(ledger.check(make_call("1"), 1.0, RANDOM_SOURCE))
        ledger.on_call_started(make_call("1"), "t")
        self.assertIsNotNone(ledger.check(make_call("2"), 1.0, RANDOM_SOURCE))
        ledger.on_call_ended("1", 2.0, completed=False)
        self.assertIsNone(ledger.check(make_call("2"), 2.0, RANDOM_SOURCE))
        nodes = [f"n{number}" for number in range(9)]
        self.assertEqual(
            node_for_suspected_call("f", nodes), node_for_suspected_call("f", reversed(nodes))
        )

    def test_memory_is_bounded(self) -> None:
        """Without eviction, some hundred different completed calls per second fill the memory."""
        ledger = CrashLedger()
        for number in range(MAX_COMPLETED + 10):
            ledger.on_call_started(make_call("c", str(number)), "t")
            ledger.on_call_ended("c", 0.0, completed=True)
        for number, count in ((0, 1), (MAX_COMPLETED + 9, 0)):
            ledger.apply_notices([CrashNotice("c1", str(number), 0.0)], 1.0)
            self.assertEqual(count, ledger.crashes(str(number), 1.0))
