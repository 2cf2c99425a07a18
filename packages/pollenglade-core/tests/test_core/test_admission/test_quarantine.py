"""Guards against calls that crash target after target, and against quarantine of harmless calls."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.admission.quarantine import COMPLETED_SIZE
from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.admission.quarantine import suspect_runner
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.retry import RetryAllowance

NOTICES = st.lists(
    st.builds(
        CrashNotice,
        st.sampled_from(["n1/1", "n2/1", "n3/1"]),
        st.sampled_from(["f", "g"]),
        st.floats(0.0, 500.0),
        st.booleans(),
    ),
    max_size=12,
)
SOURCE = Random(0)


def make_call(call_id: str, fingerprint: str = "f") -> CallContext:
    allowance = RetryAllowance(0)
    return CallContext(
        call_id, "a", "p", "fees", Importance.NORMAL, 1e9, allowance, fingerprint=fingerprint
    )


def spread(ledgers: list[CrashLedger], notices: list[CrashNotice], now: float) -> None:
    """Deliver notices to all ledgers until no ledger has an answer."""
    while notices:
        notices = [answer for ledger in ledgers for answer in ledger.merge(notices, now)]


class CrashLedgerTest(unittest.TestCase):
    @given(NOTICES, st.randoms(use_true_random=False))
    def test_merge_ignores_order_and_repetition(
        self, notices: list[CrashNotice], random: Random
    ) -> None:
        """Gossip repeats and reorders notices; a repeated one must not count a second crash."""
        one, other = CrashLedger(), CrashLedger()
        one.merge(notices, 0.0)
        shuffled = notices + notices
        random.shuffle(shuffled)
        other.merge(shuffled, 0.0)
        other.merge(other.notices(50.0), 50.0)
        for fingerprint in "fg":
            of_fingerprint = [n for n in notices if n.fingerprint == fingerprint]
            crashes = {n.crash_id for n in of_fingerprint}
            cleared = {n.crash_id for n in of_fingerprint if n.cleared}
            for ledger in (one, other):
                self.assertEqual(len(crashes - cleared), ledger.crashes(fingerprint, 50.0))
                self.assertEqual(0, ledger.crashes(fingerprint, 600.0))

    @given(
        st.integers(1, 5),
        st.lists(st.tuples(st.integers(0, 4), st.floats(0, 20)), max_size=30),
    )
    def test_resent_call_crashes_at_most_two_targets(
        self, count: int, sends: list[tuple[int, float]]
    ) -> None:
        """A caller that resends a harmful call would crash one target after the other."""
        ledgers = [CrashLedger() for _ in range(count)]
        now, crashes = 0.0, 0
        for number, (index, step_s) in enumerate(sends):
            now += step_s
            ledger = ledgers[index % count]
            harmless = make_call(f"harmless-{number}", "h")
            self.assertIsNone(ledger.check(harmless, now, SOURCE))
            ledger.start(harmless, "t")
            call = make_call(str(number))
            refusal = ledger.check(call, now, SOURCE)
            if refusal is None:
                crashes += 1
                ledger.start(call, "t")
                spread(ledgers, ledger.crash("t", f"c{number}", now), now)
            else:
                self.assertIs(Outcome.NOT_RUN, refusal.outcome)
            # The harmless call completes elsewhere, before or after each crash.
            ledgers[0].start(make_call("again", "h"), "t2")
            spread(ledgers, ledgers[0].finish("again", now, completed=True), now)
            spread(ledgers, ledger.finish(harmless.call_id, now, completed=True), now)
        self.assertLessEqual(crashes, 2)

    def test_quarantine_lasts_10_minutes_from_the_second_crash(self) -> None:
        """A node that joins late must not run the call because the first crash is old."""
        ledger, late = CrashLedger(), CrashLedger()
        for number, now in enumerate((0.0, 550.0)):
            ledger.start(make_call(str(number)), "t")
            ledger.crash("t", f"c{number}", now)
        late.merge(ledger.notices(1_100.0), 1_100.0)
        for each in (ledger, late):
            self.assertIsNotNone(each.check(make_call("x"), 1_149.0, SOURCE))
            self.assertIsNone(each.check(make_call("x"), 1_150.0, SOURCE))

    def test_expired_records_do_not_return(self) -> None:
        """Message delays make ages late; two nodes must not extend a record for each other."""
        ledgers = [CrashLedger(), CrashLedger()]
        ledgers[0].merge([CrashNotice("c1", "f", 0.0)], 0.0)
        under_way: list[list[list[CrashNotice]]] = [[[], []], [[], []]]
        for step in range(1_400):
            now = step * 0.5
            under_way.append([ledger.notices(now) for ledger in ledgers])
            if now > 640.0:
                self.assertEqual([[], []], under_way[-1])
            from_first, from_second = under_way.pop(0)
            ledgers[0].merge(from_second, now)
            ledgers[1].merge(from_first, now)

    def test_one_completion_does_not_excuse_all_crashes(self) -> None:
        """A call that worked once and crashes its target from then on has to be stopped."""
        ledger, crashes = CrashLedger(), 0
        ledger.start(make_call("first"), "t")
        ledger.finish("first", 0.0, completed=True)
        while ledger.check(make_call("again"), 1.0 + crashes, SOURCE) is None and crashes < 9:
            ledger.start(make_call("again"), "t")
            ledger.crash("t", f"c{crashes}", 1.0 + crashes)
            crashes += 1
        self.assertLessEqual(crashes, 3)

    def test_suspect_runs_alone(self) -> None:
        """Copies in flight at the same time would crash several targets at once."""
        ledger = CrashLedger()
        ledger.merge([CrashNotice("c1", "f", 0.0)], 0.0)
        self.assertIsNone(ledger.check(make_call("1"), 1.0, SOURCE))
        ledger.start(make_call("1"), "t")
        self.assertIsNotNone(ledger.check(make_call("2"), 1.0, SOURCE))
        ledger.finish("1", 2.0, completed=False)
        self.assertIsNone(ledger.check(make_call("2"), 2.0, SOURCE))
        nodes = [f"n{number}" for number in range(9)]
        self.assertEqual(suspect_runner("f", nodes), suspect_runner("f", reversed(nodes)))

    def test_memory_is_bounded(self) -> None:
        """A node completes some hundred different calls a second for weeks."""
        ledger = CrashLedger()
        for number in range(COMPLETED_SIZE + 10):
            ledger.start(make_call("c", str(number)), "t")
            ledger.finish("c", 0.0, completed=True)
        for number, count in ((0, 1), (COMPLETED_SIZE + 9, 0)):
            ledger.merge([CrashNotice("c1", str(number), 0.0)], 1.0)
            self.assertEqual(count, ledger.crashes(str(number), 1.0))
