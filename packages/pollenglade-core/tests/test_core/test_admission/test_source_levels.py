"""Tests that refusals at the source follow the learned level and end when it falls or expires."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.admission.admission_level import AdmissionLevel
from pollenglade_core.admission.source_levels import MIN_PRUNE_SIZE
from pollenglade_core.admission.source_levels import SourceLevels
from pollenglade_core.calls.importance import Importance

LEVELS = st.builds(AdmissionLevel, st.sampled_from(Importance), st.floats(0.0, 1.0))


class SourceLevelsTest(unittest.TestCase):
    @given(LEVELS, st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from(Importance))))
    def test_refuses_only_calls_below_an_unexpired_level(
        self, level: AdmissionLevel, calls: list[tuple[float, Importance]]
    ) -> None:
        """Calls above the level, 1 s after it was learned or to another service must be sent."""
        levels, random_source, now = SourceLevels(), Random(0), 0.0
        levels.learn("n", "fees", level, now, random_source)
        for step_s, importance in calls:
            now += step_s
            if levels.should_refuse("n", "fees", importance, now, random_source):
                self.assertLessEqual(importance, level.importance)
                self.assertLess(now, 1.0)
            self.assertFalse(levels.should_refuse("n", "other", importance, now, random_source))

    @given(st.integers(0, 99))
    def test_probes_continue(self, seed: int) -> None:
        """An entry node that sends no calls never learns that the level has fallen."""
        levels, random_source = SourceLevels(), Random(seed)
        level = AdmissionLevel(Importance.CRITICAL, 1.0)
        sent = 0
        for step in range(1_000):
            now = step * 0.01
            if not levels.should_refuse("n", "fees", Importance.NORMAL, now, random_source):
                sent += 1
                levels.learn("n", "fees", level, now, random_source)
        self.assertTrue(10.0 / 0.5 - 1 <= sent <= 10.0 / 0.25 + 1, sent)

    def test_expired_levels_are_forgotten(self) -> None:
        """Levels of replaced nodes must not accumulate."""
        levels, random_source = SourceLevels(), Random(0)
        level = AdmissionLevel(Importance.IMPORTANT, 0.0)
        for number in range(20 * MIN_PRUNE_SIZE):
            levels.learn(f"n{number}", "fees", level, number * 0.01, random_source)
        self.assertLessEqual(len(levels), MIN_PRUNE_SIZE + 1)
