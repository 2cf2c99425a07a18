"""Guards against zone shares that add up to more or less than the contract."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.zone_shares import zone_shares

WEIGHTS = st.dictionaries(
    st.text("abcdefg", min_size=1, max_size=2), st.integers(1, 50), min_size=1, max_size=7
)


class ZoneSharesTest(unittest.TestCase):
    @given(st.integers(0, 5_000), st.integers(0, 500), WEIGHTS)
    def test_shares_sum_and_never_fall_when_the_total_rises(
        self, total: int, rise: int, weights: dict[str, int]
    ) -> None:
        """A share that falls as the total rises lets zones exceed both totals during a change."""
        before = zone_shares(total, list(weights), weights)
        after = zone_shares(total + rise, sorted(weights, reverse=True), weights)
        self.assertEqual(total, sum(before.values()))
        self.assertEqual(total + rise, sum(after.values()))
        for zone, weight in weights.items():
            self.assertLessEqual(before[zone], after[zone])
            self.assertGreaterEqual(before[zone], total * weight // sum(weights.values()))

    def test_views_that_cannot_be_divided_are_rejected(self) -> None:
        """A zone named twice would be granted its share twice."""
        for zones, weights in (([], {}), (["a", "a"], {}), (["a"], {"a": 0}), (["a"], {"a": -1})):
            with self.subTest(zones=zones, weights=weights), self.assertRaises(ValueError):
                zone_shares(1, zones, weights)
