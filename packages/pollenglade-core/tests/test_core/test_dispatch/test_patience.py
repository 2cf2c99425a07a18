"""Guards against trees that are held until their deadline by one lost answer."""

from __future__ import annotations

import random
import unittest

from pollenglade_core.dispatch.patience import patience_s
from pollenglade_core.dispatch.peer_view import EndpointLoad

MEAN_S = 0.055
TREE_CALLS = 5
LEFT_S = 0.7
LOST_PART = 0.1
TREES = 2_000
LOAD = EndpointLoad(running=10, limit=34, expected_s=MEAN_S)


def answer_s(source: random.Random) -> float | None:
    """Return the time of one call in seconds, or None where its answer is lost without a sign.

    One of a hundred calls takes five times as long.
    """
    if source.random() < LOST_PART:
        return None
    work_s = source.lognormvariate(0.0, 0.5) * MEAN_S * 0.88
    return work_s * (5.0 if source.random() < 0.01 else 1.0)


def finished(patient: bool) -> tuple[float, float]:
    """Return the part of trees that finish within their time, and the repeats by call."""
    source = random.Random(4)
    trees = repeats = 0
    for _ in range(TREES):
        whole = True
        for _ in range(TREE_CALLS):
            time_s = answer_s(source)
            limit_s = None if patient else patience_s(LOAD, 0.0, 1.0, LEFT_S)
            if limit_s is not None and (time_s is None or time_s > limit_s):
                repeats += 1
                again_s = answer_s(source)
                time_s = None if again_s is None else limit_s + again_s
            whole = whole and time_s is not None and time_s <= LEFT_S
        trees += whole
    return trees / TREES, repeats / (TREES * TREE_CALLS)


class PatienceTest(unittest.TestCase):
    def test_trees_survive_answers_that_are_lost_without_a_sign(self) -> None:
        held, _ = finished(patient=True)
        repeated, repeats = finished(patient=False)
        self.assertLess(held, 0.65)
        self.assertGreater(repeated, 0.9)
        self.assertLess(repeats, 1.2 * LOST_PART)

    def test_only_requests_without_calls_of_their_own_are_given_up(self) -> None:
        """A repeat of a tree costs an arrival at every service below."""
        self.assertIsNone(patience_s(LOAD, 0.0, 6.0, LEFT_S))
        self.assertIsNone(patience_s(LOAD, 0.0, 0.0, LEFT_S))

    def test_nothing_is_given_up_without_time_for_a_repeat(self) -> None:
        self.assertIsNone(patience_s(LOAD, 0.0, 1.0, 0.4))

    def test_the_queue_in_front_of_an_endpoint_counts(self) -> None:
        short = patience_s(LOAD, 0.0, 1.0, LEFT_S)
        long = patience_s(LOAD, 0.1, 1.0, LEFT_S)
        assert short is not None and long is not None
        self.assertAlmostEqual(long - short, 0.1)
