"""Guards against lost call counts, wrong burn rates and alerts for short or past failures."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.burn import BUCKET_S
from pollenglade_core.calls.burn import DEFAULT_OBJECTIVE
from pollenglade_core.calls.burn import REPORT_WINDOWS_S
from pollenglade_core.calls.burn import BurnRates
from pollenglade_core.calls.burn import Severity
from pollenglade_core.calls.call_counts import CallCount
from pollenglade_core.calls.call_counts import CallCounts
from pollenglade_core.calls.call_counts import CountReader
from pollenglade_core.calls.outcome import Outcome

NOW = 100_000.0


def count(calls: int, bad: int) -> CallCount:
    """Return a call count of one organisation and service."""
    return CallCount("alder", "fees", "p", Outcome.RAN, calls, bad)


class CallCountsTest(unittest.TestCase):
    @given(
        st.lists(st.lists(st.tuples(st.sampled_from(Outcome), st.booleans())), max_size=12),
        st.data(),
    )
    def test_batches_lose_no_call_and_gaps_are_seen(
        self, intervals: list[list[tuple[Outcome, bool]]], data: st.DataObject
    ) -> None:
        """An undetected loss or duplicate of a batch would make the counts wrong."""
        counts, reader = CallCounts("n1", 4), CountReader()
        for number, calls in enumerate(intervals):
            for outcome, good in calls:
                counts.count_call("alder", "fees", "p", outcome, good=good)
            batch = counts.close_batch(number * 10.0)
            self.assertEqual(len(calls), sum(entry.calls for entry in batch.counts))
            self.assertEqual(
                sum(not good for _, good in calls), sum(entry.bad for entry in batch.counts)
            )
        batches = counts.batches_since(0)
        received = data.draw(st.lists(st.sampled_from(batches))) if batches else []
        accepted = [batch.sequence for batch in received if reader.accept(batch)]
        self.assertEqual(len(accepted), len({batch.sequence for batch in received}))
        expected = set(range(min(accepted, default=1), max(accepted, default=0) + 1))
        gaps = tuple(sorted(expected - set(accepted)))
        self.assertEqual({("n1", 4): gaps} if gaps else {}, reader.missing())


class BurnRatesTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 30_000), st.integers(0, 50), st.integers(0, 50)), max_size=30
        )
    )
    def test_windows_count_what_lies_in_them(self, batches: list[tuple[int, int, int]]) -> None:
        """A window without recent counts hides a loss; one with old counts reports a past loss."""
        rates = BurnRates()
        for age, good, bad in batches:
            rates.add([count(good + bad, bad)], NOW - age)
        for burn in rates.burns(NOW):
            inner = sum(g + b for age, g, b in batches if age <= burn.window_s)
            outer = sum(g + b for age, g, b in batches if age <= burn.window_s + BUCKET_S)
            self.assertTrue(inner <= burn.calls <= outer, (inner, burn, outer))
            expected = burn.bad / burn.calls / (1 - DEFAULT_OBJECTIVE) if burn.calls else 0.0
            self.assertAlmostEqual(expected, burn.rate)
        newest = min((age for age, _, _ in batches), default=max(REPORT_WINDOWS_S) + BUCKET_S)
        if newest <= max(REPORT_WINDOWS_S):
            self.assertEqual(len(REPORT_WINDOWS_S), len(rates.burns(NOW)))

    def test_alert_needs_both_windows(self) -> None:
        """A rule with one window would page for a short spike, or long after a loss has ended."""
        for loss_end_age_s, loss_start_age_s, expected in (
            (0, 3_600, {Severity.PAGE, Severity.TICKET}),
            (0, 60, set()),
            (600, 3_600, {Severity.TICKET}),
            (3_600, 21_600, set()),
        ):
            rates = BurnRates()
            for age in range(0, 21_600, 10):
                rates.add(
                    [count(100, 5 if loss_end_age_s <= age < loss_start_age_s else 0)], NOW - age
                )
            with self.subTest(loss_end_age_s=loss_end_age_s, loss_start_age_s=loss_start_age_s):
                self.assertEqual(expected, {alert.severity for alert in rates.alerts(NOW)})
