"""Guards against zone shares whose sum differs from the contract."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.quota.quota_messages import Account
from pollenglade_core.quota.zone_shares import apportion
from pollenglade_core.quota.zone_shares import contract_shares
from pollenglade_core.quota.zone_shares import contract_zones

WEIGHTS = st.dictionaries(
    st.text("abcdefg", min_size=1, max_size=2), st.integers(1, 50), min_size=1, max_size=7
)


class ZoneSharesTest(unittest.TestCase):
    @given(st.integers(0, 5_000), st.integers(0, 500), WEIGHTS)
    def test_shares_sum_and_never_fall_when_the_total_rises(
        self, total: int, increase: int, weights: dict[str, int]
    ) -> None:
        """If a share fell as the total rises, zones could exceed both totals during a change."""
        before = apportion(total, list(weights), weights)
        after = apportion(total + increase, sorted(weights, reverse=True), weights)
        self.assertEqual(total, sum(before.values()))
        self.assertEqual(total + increase, sum(after.values()))
        for zone, weight in weights.items():
            self.assertLessEqual(before[zone], after[zone])
            self.assertGreaterEqual(before[zone], total * weight // sum(weights.values()))

    @given(st.text(max_size=3), st.integers(0, 60), st.integers(0, 100), WEIGHTS)
    def test_small_contracts_stay_in_few_zones(
        self, name: str, rate: int, burst: int, weights: dict[str, int]
    ) -> None:
        """With a burst of 5 over 4 zones, one zone refuses calls while another has tokens."""
        account = Account("p", name)
        shares = contract_shares(account, rate, burst, weights)
        self.assertEqual(rate, sum(share.rate_per_s for share in shares.values()))
        self.assertEqual(burst, sum(share.burst for share in shares.values()))
        self.assertLessEqual(1, len(shares))
        self.assertLessEqual(len(shares), max(1, burst // 8))
        larger = contract_shares(account, rate + 9, burst + 9, dict(reversed(weights.items())))
        self.assertLessEqual(set(shares), set(larger))

    def test_contract_zones_follow_the_weights(self) -> None:
        """If weights were ignored, the smallest zone would get a quarter of the contracts."""
        weights = {"a": 0, "b": 1, "c": 2, "d": 5}
        chosen_zones = [
            contract_zones(Account("p", str(index)), 1, 1, weights)[0] for index in range(4_000)
        ]
        for zone, weight in weights.items():
            self.assertAlmostEqual(weight / 8, chosen_zones.count(zone) / 4_000, delta=0.04)

    def test_invalid_zones_and_weights_are_rejected(self) -> None:
        """A zone that is listed twice would get its share twice."""
        for zones, weights in (([], {}), (["a", "a"], {}), (["a"], {"a": 0}), (["a"], {"a": -1})):
            with self.subTest(zones=zones, weights=weights), self.assertRaises(ValueError):
                apportion(1, zones, weights)
