"""Guards against slots that are given away twice, left unused or kept from a priority."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.dispatch.slot_use import PRIORITIES
from pollenglade_core.dispatch.slot_use import WEIGHT_BY_PRIORITY
from pollenglade_core.dispatch.slot_use import admitted_parts

DEMANDS = st.tuples(*[st.floats(0.0, 500.0)] * PRIORITIES)


class AdmittedPartsTest(unittest.TestCase):
    @given(DEMANDS, st.floats(0.1, 500.0))
    def test_the_slots_are_given_away_once_and_not_left_unused(
        self, offered: tuple[float, ...], slots: float
    ) -> None:
        parts = admitted_parts(offered, slots)
        used = sum(part * demand for part, demand in zip(parts, offered, strict=True))
        self.assertAlmostEqual(used, min(slots, sum(offered)), delta=1e-6 * (1.0 + slots))
        for part in parts:
            self.assertTrue(0.0 <= part <= 1.0, parts)

    @given(DEMANDS, st.floats(0.1, 500.0))
    def test_parts_keep_the_ratio_of_the_weights_or_are_whole(
        self, offered: tuple[float, ...], slots: float
    ) -> None:
        """No priority gets less than its weight of what a more important one gets."""
        parts = admitted_parts(offered, slots)
        for grade in range(1, PRIORITIES):
            ratio = WEIGHT_BY_PRIORITY[grade] / WEIGHT_BY_PRIORITY[grade - 1]
            self.assertLessEqual(parts[grade], parts[grade - 1])
            self.assertGreaterEqual(parts[grade], parts[grade - 1] * ratio - 1e-9)
