"""Tests that slots divided by the cost of requests are all used and that no route starves."""

from __future__ import annotations

import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.dispatch.route_demand import MIN_WEIGHT
from pollenglade_core.dispatch.route_demand import RouteDemand
from pollenglade_core.dispatch.route_demand import priority_weights
from pollenglade_core.dispatch.slot_use import WEIGHT_BY_PRIORITY

ROUTES = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.tuples(st.floats(0.001, 2.0), st.integers(1, 40)),
    min_size=1,
)


def demand_of(requests_by_route: dict[str, tuple[float, int]]) -> RouteDemand:
    """Return the demand of routes of the last priority with a slot time and a number each."""
    demand = RouteDemand()
    for route, (slot_s, requests) in requests_by_route.items():
        for _ in range(requests):
            demand.add(route, 2, slot_s, 0.0)
    return demand


class RouteDemandTest(unittest.TestCase):
    @given(ROUTES, st.floats(0.01, 1.0))
    def test_routes_use_the_slots_of_their_priority(
        self, requests_by_route: dict[str, tuple[float, int]], priority_fraction: float
    ) -> None:
        """Slots that routes get beyond those of the priority overload the service."""
        demand = demand_of(requests_by_route)
        used_s = offered_s = 0.0
        for route, (slot_s, requests) in requests_by_route.items():
            fraction = demand.admitted_fraction(route, priority_fraction, 1.0, 0.0)
            self.assertTrue(0.0 <= fraction <= 1.0)
            used_s += fraction * slot_s * requests
            offered_s += slot_s * requests
        self.assertAlmostEqual(used_s, priority_fraction * offered_s, delta=0.02 * offered_s)

    @given(ROUTES, st.floats(0.01, 1.0))
    def test_cheaper_routes_get_a_larger_fraction_and_none_starves(
        self, requests_by_route: dict[str, tuple[float, int]], priority_fraction: float
    ) -> None:
        demand = demand_of(requests_by_route)
        by_cost = sorted(requests_by_route, key=lambda route: requests_by_route[route][0])
        fractions = [
            demand.admitted_fraction(route, priority_fraction, 1.0, 0.0) for route in by_cost
        ]
        for cheaper, dearer in pairwise(fractions):
            self.assertLessEqual(dearer, cheaper + 1e-9)
        self.assertGreaterEqual(fractions[-1], MIN_WEIGHT * fractions[0] - 1e-9)

    def test_another_priority_does_not_take_part_in_the_division(self) -> None:
        demand = demand_of({"history": (0.12, 20)})
        for _ in range(20):
            demand.add("certificate", 0, 0.03, 0.0)
        self.assertAlmostEqual(demand.admitted_fraction("history", 0.6, 1.0, 0.0), 0.6)

    @given(ROUTES, st.floats(0.01, 1.0), st.floats(0.0, 1.0))
    def test_a_cheap_route_gets_a_larger_fraction_than_a_more_important_priority(
        self, requests_by_route: dict[str, tuple[float, int]], max_fraction: float, part: float
    ) -> None:
        """Reads would be served more often than the payments that need the same service."""
        demand = demand_of(requests_by_route)
        for route in requests_by_route:
            fraction = demand.admitted_fraction(route, part * max_fraction, max_fraction, 0.0)
            self.assertLessEqual(fraction, max_fraction)

    def test_a_rare_cheap_route_makes_all_others_look_alike(self) -> None:
        demand = demand_of({"health": (0.001, 1), "history": (0.12, 30), "layout": (0.48, 5)})
        history, layout = (
            demand.admitted_fraction(route, 0.5, 1.0, 0.0) for route in ("history", "layout")
        )
        self.assertAlmostEqual(layout, history / 4, places=3)

    def test_a_route_whose_requests_have_ended_no_longer_counts(self) -> None:
        """A mix of some time ago would leave slots unused."""
        demand = demand_of({"history": (0.12, 20), "layout": (0.48, 20)})
        for _ in range(20):
            demand.add("layout", 2, 0.48, 60.0)
        self.assertAlmostEqual(demand.admitted_fraction("layout", 0.6, 1.0, 60.0), 0.6, places=3)

    def test_routes_of_old_policies_are_kept(self) -> None:
        demand = RouteDemand()
        for number in range(100):
            demand.add(f"route-{number}", 2, 0.1, 60.0 * number)
        self.assertLess(len(demand._demand_by_route), 3)

    def test_a_route_without_slot_time_is_admitted(self) -> None:
        demand = demand_of({"layout": (0.48, 5), "free": (0.0, 5)})
        self.assertEqual(demand.admitted_fraction("free", 0.5, 1.0, 0.0), 1.0)


class PriorityWeightsTest(unittest.TestCase):
    def test_the_last_priority_weighs_less_with_the_cost_of_its_requests(self) -> None:
        """Reads that cost as much as payments would be admitted at the expense of payments."""
        cheap, equal, dear = (
            priority_weights((0.12, 0.024, slot_s))[-1] for slot_s in (0.03, 0.12, 1.2)
        )
        self.assertEqual(cheap, WEIGHT_BY_PRIORITY[-1])
        self.assertLess(equal, cheap)
        self.assertEqual(dear, MIN_WEIGHT)

    def test_a_priority_without_requests_changes_no_weight(self) -> None:
        self.assertEqual(priority_weights((0.0, 0.0, 0.3)), WEIGHT_BY_PRIORITY)
        self.assertEqual(priority_weights((0.3, 0.0, 0.0)), WEIGHT_BY_PRIORITY)
