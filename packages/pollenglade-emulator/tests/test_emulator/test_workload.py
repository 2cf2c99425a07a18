"""Guards against deployments above capacity without faults, and against biased arrivals."""

from __future__ import annotations

import unittest
from collections import Counter
from graphlib import TopologicalSorter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.call import MAX_DEPTH
from pollenglade_emulator.arrivals import Surge
from pollenglade_emulator.arrivals import noisy_neighbour
from pollenglade_emulator.arrivals import poisson_arrivals
from pollenglade_emulator.deployments import DEPLOYMENTS_BY_NAME
from pollenglade_emulator.deployments import RESIDENCIES
from pollenglade_emulator.workload import Deployment

DEPLOYMENTS = st.sampled_from(sorted(DEPLOYMENTS_BY_NAME.values(), key=lambda entry: entry.name))


class DeploymentTest(unittest.TestCase):
    @given(DEPLOYMENTS, st.floats(0.005, 1.0))
    def test_calm_load_is_below_capacity(self, deployment: Deployment, factor: float) -> None:
        """With a baseline above capacity every refusal would look justified."""
        scaled = deployment.scaled(factor)
        for service in scaled.services:
            capacity = service.endpoints * service.slots
            self.assertLess(0.0, scaled.slots_in_use(service.name))
            self.assertLessEqual(scaled.slots_in_use(service.name), 0.8 * capacity, service.name)

    @given(DEPLOYMENTS)
    def test_call_chains_are_deep_and_complete(self, deployment: Deployment) -> None:
        """Call chains of depth 1 would hide the cost of retries at each hop."""
        depths = [deployment.depth(route) for route in deployment.routes if route.share]
        self.assertGreaterEqual(max(depths), 4)
        self.assertLessEqual(max(depths), MAX_DEPTH)
        self.assertEqual(len(deployment.routes), len(deployment.routes_by_name))
        self.assertTrue(
            all(route.service in deployment.services_by_name for route in deployment.routes)
        )

    @given(DEPLOYMENTS)
    def test_no_service_waits_for_its_own_slots(self, deployment: Deployment) -> None:
        """Calls occupy a slot while they wait, so that a cycle of services would deadlock."""
        for route in deployment.routes:
            tree = deployment.calls_by_route(route)
            below = [deployment.routes_by_name[name] for name in tree if name != route.name]
            self.assertNotIn(route.service, {other.service for other in below}, route.name)
        order = TopologicalSorter[str]()
        for route in deployment.routes:
            order.add(route.service, *(deployment.routes_by_name[n].service for n in route.calls))
        order.prepare()


class ArrivalsTest(unittest.TestCase):
    @given(
        DEPLOYMENTS, st.integers(0, 2**32), st.lists(st.tuples(st.floats(0, 4), st.floats(0, 4)))
    )
    def test_arrivals_are_ordered_and_reproducible(
        self, deployment: Deployment, seed: int, spans: list[tuple[float, float]]
    ) -> None:
        """Variants are comparable only if two runs with one seed offer the same load."""
        surges = [Surge(min(span), max(span), 2.0) for span in spans[:3]]
        scaled = deployment.scaled(0.01)
        first = list(poisson_arrivals(scaled, Random(seed), 3.0, surges))
        self.assertEqual(first, list(poisson_arrivals(scaled, Random(seed), 3.0, surges)))
        times = [arrival.at_s for arrival in first]
        self.assertEqual(times, sorted(times))
        self.assertTrue(all(0 <= at_s < 3.0 for at_s in times))
        self.assertEqual([arrival.number for arrival in first], list(range(len(first))))

    def test_noisy_neighbour_sends_eight_times_its_load(self) -> None:
        """A surge must not change the load of other organisations."""
        scaled = RESIDENCIES.scaled(0.1)
        noisy = scaled.organisations[3]
        found = list(
            poisson_arrivals(scaled, Random(7), 40.0, [noisy_neighbour(noisy.id, 20.0, 40.0)])
        )
        before = Counter(entry.organisation for entry in found if entry.at_s < 20)
        during = Counter(entry.organisation for entry in found if entry.at_s >= 20)
        for organisation in scaled.organisations:
            factor = 8 if organisation is noisy else 1
            expected = organisation.offered_per_s * 20
            # The tolerance is six standard deviations of a Poisson count.
            self.assertAlmostEqual(before[organisation.id], expected, delta=6 * expected**0.5)
            expected *= factor
            self.assertAlmostEqual(during[organisation.id], expected, delta=6 * expected**0.5)
