"""Guards against measures that make a run look better than it was."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_emulator.deployments import RESIDENCIES
from pollenglade_emulator.measures import LatencyHistogram
from pollenglade_emulator.measures import ReferenceTokenBucket
from pollenglade_emulator.measures import summarise
from pollenglade_emulator.measures import time_to_recover_s
from pollenglade_emulator.measures import useful_share
from pollenglade_emulator.measures import wasted_share
from pollenglade_emulator.measures import worst_served
from pollenglade_emulator.measures import wrongful_refusals
from pollenglade_emulator.records import Execution
from pollenglade_emulator.records import RequestRecord
from pollenglade_emulator.workload import Organisation

ORGANISATIONS = {
    "small": Organisation("small", rate_per_s=10, burst=10, weight=1, offered_per_s=5),
    "large": Organisation("large", rate_per_s=100, burst=100, weight=5, offered_per_s=50),
}


def record(
    number: int, at_s: float, organisation: str = "small", good: bool = True
) -> RequestRecord:
    """Return a good or a refused record."""
    return RequestRecord(
        request_id=str(number),
        organisation=organisation,
        route="browse",
        scheduled_s=at_s,
        finished_s=at_s + 0.1,
        status=200 if good else 503,
        outcome="ran" if good else "not-run",
        reason="" if good else "overloaded",
    )


class MeasuresTest(unittest.TestCase):
    @given(st.lists(st.floats(0.0, 0.3), min_size=1), st.floats(1, 50), st.integers(1, 20))
    def test_reference_bucket_admits_at_most_the_contract(
        self, gaps: list[float], rate: float, burst: int
    ) -> None:
        """A lenient bucket would count refusals beyond the contract as wrongful."""
        bucket = ReferenceTokenBucket(rate, burst, burst)
        at_s, admitted = 0.0, 0
        for gap in gaps:
            at_s += gap
            admitted += bucket.try_take(at_s)
            self.assertLessEqual(admitted, burst + rate * at_s + 1e-6)

    def test_useful_share_does_not_depend_on_the_mix(self) -> None:
        """Serving only short requests must not look better with the same slots in use."""
        browse, apply = (RESIDENCIES.routes_by_name[name] for name in ("browse", "apply"))
        ratio = RESIDENCIES.busy_s(apply) / RESIDENCIES.busy_s(browse)
        short = [record(n, 0.5) for n in range(round(1_000 * ratio))]
        long = [replace(record(n, 0.5), route="apply") for n in range(1_000)]
        shares = [useful_share(entries, RESIDENCIES, 0.0, 1.0) for entries in (short, long)]
        self.assertAlmostEqual(shares[0], shares[1], delta=0.01 * shares[0])
        self.assertEqual(0.0, useful_share(long, RESIDENCIES, 1.0, 2.0))

    def test_organisation_above_its_rate_is_not_the_worst_served(self) -> None:
        """Refusals of an organisation above its rate are correct and must not lower the result."""
        noisy = [record(n, n * 0.01, good=n % 10 == 0) for n in range(1_000)]
        calm = [record(10_000 + n, n * 0.05, "large", good=n % 2 == 0) for n in range(200)]
        worst = worst_served([*noisy, *calm], ORGANISATIONS)
        assert worst is not None
        self.assertEqual(("large", 0.5), (worst.organisation, worst.share))
        refused = wrongful_refusals(calm, ORGANISATIONS)
        self.assertEqual(100, refused["overloaded"])
        # 10 s at 10 tokens/s plus a burst of 10 tokens conform.
        conforming_count = sum(wrongful_refusals(noisy, ORGANISATIONS).values())
        self.assertLessEqual(conforming_count, 110)

    @given(st.integers(0, 8))
    def test_recovery_needs_lasting_goodput(self, bad_windows: int) -> None:
        """A short spike of goodput must not count as recovery."""
        records = [
            record(n, n * 0.1, good=not 100 <= n < 200 + 10 * bad_windows or n == 200)
            for n in range(300)
        ]
        self.assertEqual(float(bad_windows), time_to_recover_s(records, 10.0, 20.0))
        unrecovered = [record(n, n * 0.1, good=n < 100) for n in range(300)]
        self.assertIsNone(time_to_recover_s(unrecovered, 10.0, 20.0))

    @given(st.lists(st.floats(1e-5, 50), min_size=1))
    def test_histogram_keeps_three_digits(self, values: list[float]) -> None:
        """An error of units would change every latency by a power of ten."""
        histogram = LatencyHistogram()
        for value in values:
            histogram.record(value)
        self.assertEqual(len(values), histogram.count)
        self.assertAlmostEqual(
            max(values), histogram.quantile_s(1.0), delta=max(values) / 500 + 1e-6
        )

    def test_late_and_wrong_responses_are_waste(self) -> None:
        """Late responses and responses to other requests must not count as goodput."""
        late = RequestRecord("late", "small", "browse", 0.0, 3.0, 200, "ran")
        wrong = RequestRecord("wrong", "small", "browse", 0.0, 0.1, 200, "ran", wrong=True)
        records = [record(1, 0.0), late, wrong]
        executions = [
            Execution(name, "s", "", "", "small", "GET", "/", 0.0, 1.0)
            for name in ("1", "late", "wrong", "absent")
        ]
        self.assertEqual(0.75, wasted_share(records, executions))
        summary = summarise(records, executions, ORGANISATIONS, 2.0)
        self.assertEqual((0.5, 1), (summary.goodput_per_s, summary.wrong))
