"""Tests that routing uses healthy endpoints, limits ejection and stays in the local zone.

Announced slots that are wrong must not attract load.
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_core.calls.outcome import Reason
from pollenglade_core.routing.endpoint import AnnouncedState
from pollenglade_core.routing.endpoint import ChosenEndpoint
from pollenglade_core.routing.endpoint import Endpoint
from pollenglade_core.routing.routing import Router


def make_endpoint(node: str, zone: str = "z1", slots: int = 10) -> Endpoint:
    return Endpoint(node, "fees", zone, f"10.0.0.{node[1:]}:1", slots)


class SimulatedTraffic:
    """Sends calls at a constant rate; `latency_s` and `refuses` define each node's behaviour."""

    def __init__(self, endpoints: list[Endpoint], seed: int = 0) -> None:
        self.router = Router("z1")
        self.random = Random(seed)
        self.now = 0.0
        self.latency_s: Callable[[str], float] = lambda node: 0.02
        self.refuses: Callable[[str], bool] = lambda node: False
        self.running: list[tuple[float, int, ChosenEndpoint, float]] = []
        self.router.update(endpoints, 0.0)

    def run(self, seconds: float, rate_per_s: float = 500.0) -> Counter[str]:
        """Send calls and return the number of attempts by node."""
        attempts: Counter[str] = Counter()
        for number in range(int(seconds * rate_per_s)):
            self.now += 1.0 / rate_per_s
            while self.running and self.running[0][0] <= self.now:
                finished_at, _, route, latency_s = heappop(self.running)
                self.router.on_finish(route, finished_at, latency_s, ok=True)
            route = self.pick()
            attempts[route.node] += 1
            self.router.on_start(route)
            if self.refuses(route.node):
                self.router.on_refusal(route, self.now, Reason.OVERLOADED)
                continue
            latency_s = self.latency_s(route.node)
            heappush(self.running, (self.now + latency_s, number, route, latency_s))
        return attempts

    def pick(self) -> ChosenEndpoint:
        route = self.router.pick("fees", self.now, (), self.random)
        assert isinstance(route, ChosenEndpoint), route
        return route


class RouterTest(unittest.TestCase):
    @settings(max_examples=60)
    @given(
        st.sets(st.integers(0, 9)),
        st.booleans(),
        st.lists(st.tuples(st.integers(1, 10), st.floats(0.0, 3.0)), max_size=30),
    )
    def test_ejection_and_choice_stay_in_bounds(
        self, faulty: set[int], slow: bool, steps: list[tuple[int, float]]
    ) -> None:
        """A fault of a whole service must not eject all its endpoints.

        No call may go to a draining, ejected or excluded endpoint.
        """
        router, random, now = Router("z1"), Random(0), 0.0
        draining = Endpoint("n99", "fees", "z1", "a", 99, AnnouncedState.DRAINING)
        for count, step_s in steps:
            now += step_s
            nodes = [f"n{number}" for number in range(count)]
            router.update([*map(make_endpoint, nodes), draining], now)
            excluded = {"n0"} if count > 3 else set()
            for _ in range(10 * count):
                now += 0.02
                route = router.pick("fees", now, excluded, random)
                assert isinstance(route, ChosenEndpoint), route
                self.assertIn(route.node, set(nodes) - excluded)
                self.assertNotIn(route.node, router.ejected("fees", now))
                router.on_start(route)
                is_faulty = int(route.node[1:]) in faulty
                router.on_finish(
                    route, now, 9.0 if is_faulty and slow else 0.01, slow or not is_faulty
                )
                self.assertLessEqual(len(router.ejected("fees", now)), count // 3)

    @given(st.integers(0, 99), st.sampled_from([20, 1_000_000]))
    @settings(max_examples=5)
    def test_announced_slots_do_not_attract_load(self, seed: int, announced_slots: int) -> None:
        """A target that announces too many slots must not get the calls of the others."""
        endpoints = [
            make_endpoint("n0", slots=announced_slots),
            *map(make_endpoint, ["n1", "n2", "n3"]),
        ]
        attempts = SimulatedTraffic(endpoints, seed).run(5.0, rate_per_s=2_000.0)
        # With twice the slots counted, the fair share is 0.4; winning each draw of two gives 0.5.
        self.assertLessEqual(attempts["n0"], 0.45 * attempts.total())

    @given(st.integers(0, 99), st.sampled_from([0.1, 2.0]))
    @settings(max_examples=5)
    def test_slow_endpoint_is_avoided_and_tried_again(self, seed: int, slow_s: float) -> None:
        """Calls to a slow endpoint are late; if it is never tried again, its capacity is lost."""
        traffic = SimulatedTraffic([make_endpoint(f"n{number}") for number in range(4)], seed)
        traffic.latency_s = lambda node: slow_s if node == "n0" else 0.02
        traffic.run(5.0)
        attempts = traffic.run(5.0)
        self.assertLess(attempts["n0"], 0.125 * attempts.total())
        traffic.latency_s = lambda node: 0.02
        traffic.run(40.0)
        attempts = traffic.run(5.0)
        self.assertGreater(attempts["n0"], 0.15 * attempts.total())

    @given(st.integers(0, 99))
    @settings(max_examples=5)
    def test_new_endpoint_ramps_up(self, seed: int) -> None:
        """A cold target that gets its full share of calls at once fails its first calls."""
        endpoints = [make_endpoint(f"n{number}") for number in range(4)]
        traffic = SimulatedTraffic(endpoints[:3], seed)
        traffic.run(5.0)
        traffic.router.update(endpoints, traffic.now)
        first = traffic.run(1.0)
        self.assertLess(first["n3"], 0.1 * first.total())
        traffic.run(9.0)
        later = traffic.run(5.0)
        self.assertGreater(later["n3"], 0.2 * later.total())

    def test_spill_over_is_bounded_and_ends(self) -> None:
        """If all entry nodes moved their calls to another zone at once, they would overload it."""
        endpoints = [make_endpoint(f"n{number}", zone=f"z{1 + number // 3}") for number in range(6)]
        traffic = SimulatedTraffic(endpoints)
        self.assertEqual(0, sum(traffic.run(3.0)[f"n{number}"] for number in (3, 4, 5)))
        traffic.refuses = lambda node: node in ("n0", "n1", "n2")
        previous = 0.0
        for _ in range(30):
            traffic.run(0.1)
            self.assertLessEqual(traffic.router.spill_fraction("fees"), previous + 0.1 + 1e-9)
            previous = traffic.router.spill_fraction("fees")
        self.assertGreater(previous, 0.8)
        traffic.refuses = lambda node: False
        traffic.run(3.0)
        self.assertEqual(0.0, traffic.router.spill_fraction("fees"))

    def test_fast_failures_do_not_attract_calls(self) -> None:
        """A target that fails within a millisecond has a lower latency than any healthy one."""
        traffic = SimulatedTraffic([make_endpoint("n0"), make_endpoint("n1")])
        failed = 0
        for _ in range(500):
            traffic.run(0.002)
            route = traffic.pick()
            traffic.router.on_start(route)
            ok = route.node != "n0"
            failed += not ok
            traffic.router.on_finish(route, traffic.now, 0.02 if ok else 0.001, ok)
        self.assertLess(failed, 150)
