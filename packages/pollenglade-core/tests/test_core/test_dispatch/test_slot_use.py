"""Tests that slots are divided among priorities without overcommitment, waste or starvation."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.dispatch.slot_use import PRIORITY_COUNT
from pollenglade_core.dispatch.slot_use import WEIGHT_BY_PRIORITY
from pollenglade_core.dispatch.slot_use import admitted_fractions

DEMAND_BY_PRIORITY = st.tuples(*[st.floats(0.0, 500.0)] * PRIORITY_COUNT)


class AdmittedFractionsTest(unittest.TestCase):
    @given(DEMAND_BY_PRIORITY, st.floats(0.1, 500.0))
    def test_all_slots_are_used_exactly_once(
        self, offered: tuple[float, ...], slots: float
    ) -> None:
        """Slots that are divided twice overload the service; slots left over are wasted."""
        fractions = admitted_fractions(offered, slots)
        admitted_slots = sum(
            fraction * demand for fraction, demand in zip(fractions, offered, strict=True)
        )
        self.assertAlmostEqual(admitted_slots, min(slots, sum(offered)), delta=1e-6 * (1.0 + slots))
        for fraction in fractions:
            self.assertTrue(0.0 <= fraction <= 1.0, fractions)

    @given(DEMAND_BY_PRIORITY, st.floats(0.1, 500.0))
    def test_fractions_keep_at_least_the_ratio_of_the_weights(
        self, offered: tuple[float, ...], slots: float
    ) -> None:
        """A priority gets no larger fraction than a more important one.

        It gets at least the fraction that its weight gives relative to that of the more important.
        """
        fractions = admitted_fractions(offered, slots)
        for index in range(1, PRIORITY_COUNT):
            ratio = WEIGHT_BY_PRIORITY[index] / WEIGHT_BY_PRIORITY[index - 1]
            self.assertLessEqual(fractions[index], fractions[index - 1])
            self.assertGreaterEqual(fractions[index], fractions[index - 1] * ratio - 1e-9)
