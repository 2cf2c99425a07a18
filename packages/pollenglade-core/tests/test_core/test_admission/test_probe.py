"""Tests that no important calls are refused because a probe lowers the limit of a target."""

from __future__ import annotations

import unittest
from collections import Counter
from heapq import heappop
from heapq import heappush
from random import Random

from pollenglade_core.admission.admission import Admission
from pollenglade_core.admission.admission import Admit
from pollenglade_core.admission.limit import GradientLimit
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.retry import RetryAllowance

SLOTS = 4
SERVICE_TIME_S = 0.04
DURATION_S = 30.0
"""Long enough for three probes."""

RATE_BY_IMPORTANCE = {
    Importance.SHEDDABLE: 400.0,
    Importance.NORMAL: 170.0,
    Importance.CRITICAL: 30.0,
}
"""Calls per second: six times the capacity; critical calls need less than a third of it."""


def run_load(seed: int) -> Counter[tuple[Importance, str]]:
    """Offer the load to one target and return the number of calls by importance and result."""
    source = Random(seed)
    admission = Admission(GradientLimit(SLOTS), Random(seed))
    results: Counter[tuple[Importance, str]] = Counter()
    importance_by_id: dict[str, Importance] = {}
    events: list[tuple[float, int, str, float]] = []
    free_at = [0.0] * SLOTS
    for importance, rate in RATE_BY_IMPORTANCE.items():
        arrived_at = source.expovariate(rate)
        while arrived_at < DURATION_S:
            number = len(importance_by_id)
            importance_by_id[f"call-{number}"] = importance
            heappush(events, (arrived_at, number, f"call-{number}", 0.0))
            arrived_at += source.expovariate(rate)
    while events:
        now, number, call_id, started_at = heappop(events)
        if call_id == "expiry":
            actions = admission.expire(now)
        elif started_at:
            actions = admission.finish(call_id, now, now - started_at, ok=True)
        else:
            call = CallContext(
                call_id=call_id,
                organisation="a",
                profile="p",
                service="fees",
                importance=importance_by_id[call_id],
                deadline=now + 2.0,
                allowance=RetryAllowance(0),
                depth=1,
            )
            actions = admission.offer(call, now)
        for action in actions:
            admitted = isinstance(action, Admit)
            results[importance_by_id[action.call_id], "run" if admitted else "refused"] += 1
            if admitted:
                # Calls above the slots wait inside the target.
                done_at = max(now, heappop(free_at)) + SERVICE_TIME_S * source.uniform(0.95, 1.1)
                heappush(free_at, done_at)
                heappush(events, (done_at, number, action.call_id, now))
        expiry = admission.next_expiry()
        if expiry is not None and (not events or expiry < events[0][0]):
            heappush(events, (expiry, 0, "expiry", 0.0))
    return results


class ProbeTest(unittest.TestCase):
    def test_important_calls_within_the_capacity_are_not_refused_during_a_probe(self) -> None:
        """A probe leaves one of four slots usable for 0.2 to 0.3 s, less than these calls need."""
        for seed in range(16):
            with self.subTest(seed=seed):
                results = run_load(seed)
                self.assertEqual(0, results[Importance.CRITICAL, "refused"])
                self.assertGreater(results[Importance.SHEDDABLE, "refused"], 5_000)

    def test_calls_that_fit_are_not_refused_with_seeds_that_once_failed(self) -> None:
        """The longer queue delay must also apply to calls that wait when a probe begins."""
        for seed in (20, 28, 83):
            with self.subTest(seed=seed):
                self.assertEqual(0, run_load(seed)[Importance.CRITICAL, "refused"])
