"""Guards against zone shares that add up to more or less than the contract."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.quota.quota_messages import Account
from pollenglade_core.quota.zone_shares import contract_shares
from pollenglade_core.quota.zone_shares import home_zones
from pollenglade_core.quota.zone_shares import zone_shares

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

    @given(st.text(max_size=3), st.integers(0, 60), st.integers(0, 100), WEIGHTS)
    def test_small_contracts_stay_in_few_zones(
        self, name: str, rate: int, burst: int, weights: dict[str, int]
    ) -> None:
        """A burst of 5 over 4 zones refuses calls in one zone while another has tokens."""
        account = Account("p", name)
        shares = contract_shares(account, rate, burst, weights)
        self.assertEqual(rate, sum(share.rate_per_s for share in shares.values()))
        self.assertEqual(burst, sum(share.burst for share in shares.values()))
        self.assertLessEqual(1, len(shares))
        self.assertLessEqual(len(shares), max(1, burst // 8))
        larger = contract_shares(account, rate + 9, burst + 9, dict(reversed(weights.items())))
        self.assertLessEqual(set(shares), set(larger))

    def test_homes_follow_the_weights(self) -> None:
        """Homes that ignore weights put a quarter of the contracts into the smallest zone."""
        weights = {"a": 0, "b": 1, "c": 2, "d": 5}
        homes = [home_zones(Account("p", str(index)), 1, 1, weights)[0] for index in range(4_000)]
        for zone, weight in weights.items():
            self.assertAlmostEqual(weight / 8, homes.count(zone) / 4_000, delta=0.04)

    def test_views_that_cannot_be_divided_are_rejected(self) -> None:
        """A zone named twice would be granted its share twice."""
        for zones, weights in (([], {}), (["a", "a"], {}), (["a"], {"a": 0}), (["a"], {"a": -1})):
            with self.subTest(zones=zones, weights=weights), self.assertRaises(ValueError):
                zone_shares(1, zones, weights)
