"""Guards against refusals at the source that the level does not ask for or that never end."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.admission.admission_level import AdmissionLevel
from pollenglade_core.admission.source_levels import PRUNE_SIZE
from pollenglade_core.admission.source_levels import SourceLevels
from pollenglade_core.calls.importance import Importance

LEVELS = st.builds(AdmissionLevel, st.sampled_from(Importance), st.floats(0.0, 1.0))


class SourceLevelsTest(unittest.TestCase):
    @given(LEVELS, st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from(Importance))))
    def test_refuses_only_what_a_valid_level_names(
        self, level: AdmissionLevel, calls: list[tuple[float, Importance]]
    ) -> None:
        """A refusal above the level, after 1 s or for another target loses work without need."""
        levels, source, now = SourceLevels(), Random(0), 0.0
        levels.learn("n", "fees", level, now, source)
        for step_s, importance in calls:
            now += step_s
            if levels.refuses("n", "fees", importance, now, source):
                self.assertLessEqual(importance, level.importance)
                self.assertLess(now, 1.0)
            self.assertFalse(levels.refuses("n", "other", importance, now, source))

    @given(st.integers(0, 99))
    def test_probes_continue(self, seed: int) -> None:
        """A source that sends nothing never learns that the level has fallen."""
        levels, source = SourceLevels(), Random(seed)
        level = AdmissionLevel(Importance.CRITICAL, 1.0)
        sent = 0
        for step in range(1_000):
            now = step * 0.01
            if not levels.refuses("n", "fees", Importance.NORMAL, now, source):
                sent += 1
                levels.learn("n", "fees", level, now, source)
        self.assertTrue(10.0 / 0.5 - 1 <= sent <= 10.0 / 0.25 + 1, sent)

    def test_expired_levels_are_forgotten(self) -> None:
        """Levels of replaced nodes must not accumulate."""
        levels, source = SourceLevels(), Random(0)
        level = AdmissionLevel(Importance.IMPORTANT, 0.0)
        for number in range(20 * PRUNE_SIZE):
            levels.learn(f"n{number}", "fees", level, number * 0.01, source)
        self.assertLessEqual(len(levels), PRUNE_SIZE + 1)
