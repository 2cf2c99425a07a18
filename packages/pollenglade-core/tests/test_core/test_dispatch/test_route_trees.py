"""Guards against requests that are refused for what was learnt of a tree that they no longer have.

Nothing new is learnt while all requests of a route are refused, so such a refusal has no end.
"""

from __future__ import annotations

import random
import unittest

from pollenglade_core.dispatch.learnt_trees import LearntTree
from pollenglade_core.dispatch.route_trees import RouteTrees
from pollenglade_core.dispatch.route_trees import tree_key
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_core.policy.traffic_policy import RoutePart
from pollenglade_core.policy.traffic_policy import TrafficPolicy


class ServicesWithEndpoints:
    """Load of a mesh without other requests, in which only some services have endpoints."""

    def __init__(self, *names: str) -> None:
        self.names = names

    def slots(self, service: str) -> float:
        return 10.0 if service in self.names else 0.0

    def exists(self, service: str) -> bool:
        return True

    def slot_use_of_others(self, service: str) -> SlotUse:
        return SlotUse()

    def failure_rate(self, service: str) -> float:
        return 0.0


def policy(version: int, **services_by_route: list[str]) -> TrafficPolicy:
    """Return a policy with a route to the services of each list, in equal parts."""
    return TrafficPolicy(
        version,
        [
            Route(
                name,
                "portal.example",
                f"/{name}/",
                tuple(RoutePart(service, 1.0) for service in services),
                repeatable=True,
                timeout_s=1.0,
                objective_s=0.5,
                priority=1,
                max_attempts=2,
                public=True,
            )
            for name, services in services_by_route.items()
        ],
    )


class RouteTreesTest(unittest.TestCase):
    """A route `view` whose trees reached `legacy`, which has no endpoint any more."""

    def setUp(self) -> None:
        self.admission = TreeAdmission()
        self.trees = RouteTrees(self.admission)

    def learn(self, service: str, **calls: float) -> None:
        usage = {name: Usage(count, 0.05 * count) for name, count in calls.items()}
        self.trees.learn(tree_key("view", service), 0.1, usage)

    def is_admitted(self, service: str, load: ServicesWithEndpoints, random_value: float) -> bool:
        key = tree_key("view", service)
        usage = self.trees.usage(key)
        return self.admission.check(key, 1, usage, load, random_value, 1.0) is None

    def test_a_moved_route_is_refused_for_its_former_service(self) -> None:
        self.trees.apply_policy(policy(1, view=["legacy"], other=["legacy"]))
        self.learn("legacy", legacy=1)
        self.assertFalse(self.is_admitted("legacy", ServicesWithEndpoints("catalog"), 0.5))
        self.trees.apply_policy(policy(2, view=["catalog"], other=["legacy"]))
        self.assertTrue(self.is_admitted("catalog", ServicesWithEndpoints("catalog"), 0.5))
        self.learn("catalog", catalog=1)
        self.assertTrue(self.is_admitted("catalog", ServicesWithEndpoints("catalog"), 0.5))

    def test_all_parts_of_a_split_route_are_refused_without_endpoints_for_one(self) -> None:
        self.trees.apply_policy(policy(1, view=["catalog", "legacy"]))
        self.learn("legacy", legacy=1)
        self.learn("catalog", catalog=1)
        self.assertTrue(self.is_admitted("catalog", ServicesWithEndpoints("catalog"), 0.5))
        self.assertFalse(self.is_admitted("legacy", ServicesWithEndpoints("catalog"), 0.5))

    def test_a_service_without_a_route_refuses_the_trees_that_called_it(self) -> None:
        """The nested call that reached it goes elsewhere now."""
        self.trees.apply_policy(policy(1, view=["front"], inner=["legacy"]))
        self.learn("front", front=1, legacy=2)
        self.assertFalse(self.is_admitted("front", ServicesWithEndpoints("front"), 0.5))
        self.trees.apply_policy(policy(2, view=["front"], inner=["catalog"]))
        self.assertTrue(self.is_admitted("front", ServicesWithEndpoints("front"), 0.5))
        self.learn("front", front=1, legacy=2)
        self.assertEqual(self.trees.usage(tree_key("view", "front")).keys(), {"front"})

    def test_a_service_that_trees_no_longer_call_refuses_them_for_ever(self) -> None:
        """Endpoints may change what they call without any change of the policy."""
        self.trees.apply_policy(policy(1, view=["front"], inner=["legacy"]))
        self.learn("front", front=1, legacy=2)
        load = ServicesWithEndpoints("front")
        random_source = random.Random(3)
        refused = 0
        while not self.is_admitted("front", load, random_source.random()):
            refused += 1
        self.assertLess(refused, 200)
        self.learn("front", front=1)
        self.assertTrue(all(self.is_admitted("front", load, step / 20) for step in range(20)))

    def test_trees_of_other_nodes_bring_a_forgotten_service_back(self) -> None:
        stored = LearntTree(0.1, {"front": Usage(1, 0.05), "legacy": Usage(2, 0.1)})
        former = LearntTree(0.1, {"legacy": Usage(1, 0.05)})
        trees = {tree_key("view", "front"): stored, tree_key("view", "legacy"): former}
        expected = {tree_key("view", "front"): LearntTree(0.1, {"front": Usage(1, 0.05)})}
        self.trees.apply_policy(policy(2, view=["front"]))
        self.trees.restore(trees)
        self.assertEqual(self.trees.learnt(), expected)
        started = RouteTrees(TreeAdmission())
        started.restore(trees)
        started.apply_policy(policy(2, view=["front"]))
        self.assertEqual(started.learnt(), expected)
