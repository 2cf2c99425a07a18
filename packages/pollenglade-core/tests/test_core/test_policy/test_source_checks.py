"""Tests when nodes check the policy source, and how many of them do."""

from __future__ import annotations

import itertools
import random
import unittest

from pollenglade_core.policy.source_checks import CHECK_AGE_S
from pollenglade_core.policy.source_checks import MAX_CHECK_DELAY_S
from pollenglade_core.policy.source_checks import MAX_FAILURE_DELAY_S
from pollenglade_core.policy.source_checks import SourceChecks

STEP_S = 0.01
"""Time step of the model in seconds."""

LATENCY_STEPS = 4
"""Steps from the begin of a check until other nodes learn of it."""


def play(node_count: int, seconds: float, failing_nodes: int = 0) -> list[float]:
    """Return when nodes made successful checks; the first `failing_nodes` only make failing ones.

    Each node tells 16 others of its check, as the mesh does.
    """
    source = random.Random(node_count)
    nodes = [SourceChecks(source) for _ in range(node_count)]
    checked_at: list[float] = []
    told_by_step: dict[int, list[tuple[SourceChecks, float]]] = {}
    for node in nodes:
        node.set_node_count(node_count)
        node.record(-CHECK_AGE_S)
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for node, at in told_by_step.pop(step, []):
            node.record(at)
        for number, node in enumerate(nodes):
            if node.due_in_s(now) > 0.0:
                continue
            if number < failing_nodes:
                node.on_failure(now)
                continue
            node.on_success(now)
            checked_at.append(now)
            told = told_by_step.setdefault(step + LATENCY_STEPS, [])
            told += [(peer, now) for peer in source.sample(nodes, min(16, node_count))]
            # The others learn of it by the usual state messages.
            told = told_by_step.setdefault(step + 2 * LATENCY_STEPS, [])
            told += [(peer, now) for peer in nodes]
    return checked_at


class SourceChecksTest(unittest.TestCase):
    """The checks of all nodes together."""

    def assert_gaps(self, checked_at: list[float]) -> None:
        gaps = [later - at for at, later in itertools.pairwise(checked_at)]
        self.assertLessEqual(max(gaps), CHECK_AGE_S + MAX_CHECK_DELAY_S + 3 * STEP_S)

    def test_the_age_of_the_latest_check_has_no_bound(self) -> None:
        for node_count in (1, 2, 14, 200):
            with self.subTest(nodes=node_count):
                self.assert_gaps(play(node_count, 20.0))

    def test_nodes_that_do_not_reach_the_source_keep_others_from_checking_it(self) -> None:
        self.assert_gaps(play(14, 20.0, failing_nodes=13))

    def test_every_node_makes_the_checks_that_one_could_make_for_all(self) -> None:
        """The platform charges for each request; 64 nodes made 6 a second."""
        for node_count in (3, 14, 64, 200):
            with self.subTest(nodes=node_count):
                self.assertLessEqual(len(play(node_count, 20.0)), 3 * 20.0 / CHECK_AGE_S)

    def test_a_source_that_does_not_respond_is_asked_as_often_as_one_that_does(self) -> None:
        checks = SourceChecks(random.Random(1))
        now, failed_at = 0.0, []
        while now < 30.0:
            now += checks.due_in_s(now)
            checks.on_failure(now)
            failed_at.append(now)
        self.assertLessEqual(len(failed_at), 4 + 30.0 / (MAX_FAILURE_DELAY_S / 2))

    def test_the_age_of_an_older_check_replaces_that_of_a_newer_one(self) -> None:
        checks = SourceChecks(random.Random(1))
        checks.record(10.0)
        checks.record(9.0)
        self.assertEqual(checks.age_s(12.0), 2.0)
