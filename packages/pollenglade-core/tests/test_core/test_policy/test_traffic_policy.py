"""Guards against requests that match the wrong route or organisation, and against wrong splits."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_core.policy.traffic_policy import RoutePart
from pollenglade_core.policy.traffic_policy import TrafficPolicy
from pollenglade_core.policy.weighted_split import WeightedSplit


def route(prefix: str, *parts: tuple[str, float], host: str = "a.example") -> Route:
    """Return a route with the given prefix and weighted services."""
    services = tuple(RoutePart(service, weight) for service, weight in parts or (("one", 1.0),))
    return Route(f"{host}{prefix}", host, prefix, services, True, 1.0, 0.5, 1, 2, False)


class MatchTest(unittest.TestCase):
    """Look-up of routes by host and path."""

    def test_the_longest_prefix_wins(self) -> None:
        """A request would get the rules and services of a more general route."""
        policy = TrafficPolicy(1, [route("/a/"), route("/a/b/"), route("/", host="b.example")])
        cases = {
            ("a.example", "/a/x"): "a.example/a/",
            ("a.example", "/a/b/x"): "a.example/a/b/",
            ("a.example", "/a/b"): "a.example/a/",
            ("b.example", "/anything"): "b.example/",
        }
        for (host, path), name in cases.items():
            found = policy.match(host, path)
            assert found is not None
            self.assertEqual(found.name, name)

    def test_no_route_matches_a_partial_segment_or_another_host(self) -> None:
        """A request would reach a service that is not meant for it."""
        policy = TrafficPolicy(1, [route("/a/")])
        for host, path in (("a.example", "/ab"), ("a.example", "/a"), ("c.example", "/a/x")):
            self.assertIsNone(policy.match(host, path))

    @given(st.lists(st.text("ab/", max_size=6), max_size=8), st.text("ab/", max_size=10))
    def test_match_agrees_with_a_linear_search(self, path_stems: list[str], tail: str) -> None:
        """The look-up by segments must find the same route as a comparison with each prefix."""
        prefixes = {("/" + stem + "/").replace("//", "/") for stem in path_stems}
        policy = TrafficPolicy(1, [route(prefix) for prefix in prefixes])
        path = "/" + tail
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = policy.match("a.example", path)
        self.assertEqual(found.prefix if found else None, max(matching, key=len, default=None))

    def test_a_key_belongs_to_one_organisation(self) -> None:
        """A request would run under another organisation."""
        acme, umbra = Organisation("acme", ("k1", "k2")), Organisation("umbra", ("k3",))
        policy = TrafficPolicy(1, [], [acme, umbra])
        self.assertIs(policy.organisation_for_key(b"k2"), acme)
        self.assertIs(policy.organisation_for_key(b"k3"), umbra)
        self.assertIsNone(policy.organisation_for_key(b"k4"))
        self.assertIsNone(policy.organisation_for_key(b""))


class SplitTest(unittest.TestCase):
    """Weighted selection of services."""

    def test_services_keep_their_weights_over_few_requests(self) -> None:
        """Independent random choices would deviate by several requests in a hundred."""
        split_route = route("/a/", ("one", 90), ("two", 10))
        split = WeightedSplit(random.Random(1))
        picks = Counter(split.pick(split_route) for _ in range(100))
        self.assertAlmostEqual(picks["two"], 10, delta=1)

    def test_many_nodes_with_few_requests_keep_the_weights_in_total(self) -> None:
        """If all nodes began at the same position, the first requests would go to one service."""
        split_route = route("/a/", ("one", 80), ("two", 20))
        source = random.Random(7)
        picks = Counter(
            split.pick(split_route)
            for split in [WeightedSplit(source) for _ in range(600)]
            for _ in "ab"
        )
        self.assertAlmostEqual(picks["two"] / 1200, 0.2, delta=0.04)

    def test_a_removed_service_is_not_selected(self) -> None:
        """A new version of a route must take effect at nodes that used the former one."""
        split = WeightedSplit(random.Random(1))
        split.pick(route("/a/", ("one", 1), ("two", 1)))
        self.assertEqual(split.pick(route("/a/", ("three", 1))), "three")
