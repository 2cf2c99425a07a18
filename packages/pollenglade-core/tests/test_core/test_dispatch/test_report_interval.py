"""Guards against reports that expire before the next one arrives and against wrong sums."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.dispatch.report_interval import INTERVAL_SPREAD
from pollenglade_core.dispatch.report_interval import MAX_REPORTS_PER_S
from pollenglade_core.dispatch.report_interval import report_interval_s
from pollenglade_core.dispatch.report_interval import report_validity_s
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.slot_use_totals import SlotUseTotals

SERVICES = ("calls", "fees")
SLOTS = st.tuples(*[st.integers(0, 900).map(lambda units: units / 100)] * 3)
USES = st.dictionaries(st.sampled_from(SERVICES), st.builds(SlotUse, SLOTS, SLOTS))
REPORTS = st.lists(st.tuples(st.sampled_from(["n1", "n2", "n3"]), st.none() | USES), max_size=20)


class ReportIntervalTest(unittest.TestCase):
    @given(st.integers(1, 2000))
    def test_a_report_expires_before_the_next_one_arrives(self, node_count: int) -> None:
        """At 195 nodes 5 % of the sound endpoints were out of use at any moment."""
        longest_interval_s = report_interval_s(node_count) * (1.0 + INTERVAL_SPREAD)
        self.assertGreaterEqual(report_validity_s(node_count), 2.0 * longest_interval_s)
        self.assertLessEqual(node_count / report_interval_s(node_count), MAX_REPORTS_PER_S)


class SlotUseTotalsTest(unittest.TestCase):
    @given(REPORTS, st.integers(0, 20))
    def test_sums_differ_from_those_of_the_valid_reports(
        self, reports: list[tuple[str, dict[str, SlotUse] | None]], oldest_at: int
    ) -> None:
        """A report that is counted twice, or after its node has left, refuses requests for long."""
        totals = SlotUseTotals()
        report_by_node: dict[str, tuple[int, dict[str, SlotUse]]] = {}
        for at, (node, use_by_service) in enumerate(reports):
            if use_by_service is None:
                totals.remove(node)
                report_by_node.pop(node, None)
            else:
                totals.apply(node, use_by_service, at)
                report_by_node[node] = at, use_by_service
        for service in SERVICES:
            valid = [use for at, use in report_by_node.values() if at >= oldest_at]
            expected = SlotUse.total([use[service] for use in valid if service in use])
            total = totals.total(service, oldest_at)
            for actual, wanted in zip(
                (*total.occupied, *total.offered),
                (*expected.occupied, *expected.offered),
                strict=True,
            ):
                self.assertAlmostEqual(actual, wanted)
