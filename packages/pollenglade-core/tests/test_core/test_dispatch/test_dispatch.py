"""Guards against requests for endpoints that are dead, busy or failing, and against repeats beyond
the budget."""

from __future__ import annotations

import unittest

from pollenglade_core.dispatch.peer_view import EXPLORE_EVERY
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.retry_budget import RetryBounds
from pollenglade_core.dispatch.retry_budget import RetryBudgets
from pollenglade_core.dispatch.tree_cost import TreeCosts
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.dispatch.tree_cost import add_usage


def view_of(*zones: str) -> PeerView:
    """Return a view from zone `a` with one idle endpoint of `jury` in each zone."""
    view = PeerView("a")
    for zone in zones:
        peer = view.by_node[f"node-{zone}"] = Peer(f"node-{zone}", zone, "jury")
        peer.ready = True
        peer.report(EndpointLoad(0, 0, 10, 0.02), 0.0)
    return view


class PeerViewTest(unittest.TestCase):
    """Choice of an endpoint."""

    def chosen(self, view: PeerView, now: float = 0.1, excluded: tuple[str, ...] = ()) -> str:
        """Return the node that is chosen, or an empty text."""
        peer = view.choose("jury", now, excluded)
        return peer.node if peer is not None else ""

    def test_the_own_zone_is_preferred_while_it_has_room(self) -> None:
        view = view_of("b", "a")
        picks = [self.chosen(view) for _ in range(10)]
        self.assertEqual(set(picks), {"node-a"})
        self.assertEqual({self.chosen(view) for _ in range(12)}, {"node-a", "node-b"})

    def test_a_burst_between_two_reports_is_spread(self) -> None:
        view = view_of("a", "b", "c")
        for _ in range(90):
            view.choose("jury", 0.1)
        sent = [peer.sent for peer in view.by_node.values()]
        self.assertLess(max(sent) - min(sent), 12)

    def test_silent_broken_or_excluded_nodes_are_not_chosen(self) -> None:
        view = view_of("a", "b", "c")
        view.by_node["node-a"].avoid_until = 9.0
        view.by_node["node-b"].ready = False
        self.assertEqual(self.chosen(view), "node-c")
        self.assertEqual(self.chosen(view, excluded=("node-c",)), "")
        self.assertEqual(self.chosen(view, now=8.0), "")

    def test_a_failing_endpoint_gets_less_and_is_tried_again_later(self) -> None:
        view = view_of("a", "b")
        for _ in range(20):
            view.by_node["node-a"].note_result(True, 0.1)
        self.assertEqual(self.chosen(view), "node-b")
        self.assertEqual(self.chosen(view, now=2.0), "node-b")
        for peer in view.by_node.values():
            peer.report(EndpointLoad(0, 0, 10, 0.02), 3.2)
        self.assertEqual(self.chosen(view, now=3.2), "node-a")

    def test_an_endpoint_that_joined_or_was_slow_is_tried_while_others_have_room(self) -> None:
        """Without requests its speed stays unknown, and it would never get any."""
        view = view_of("a", "b")
        view.by_node["node-b"].report(EndpointLoad(0, 0, 10, 0.5), 0.0)
        picks = []
        for number in range(2 * EXPLORE_EVERY):
            picks.append(self.chosen(view, now=number * 0.01))
            view.by_node["node-a"].sent = 0
        self.assertEqual(picks.count("node-b"), 2)

    def test_a_failing_endpoint_is_not_tried_for_its_speed(self) -> None:
        view = view_of("a", "b")
        view.by_node["node-b"].report(EndpointLoad(0, 0, 10, 0.5, failure_rate=0.5), 0.0)
        picks = set()
        for _ in range(4 * EXPLORE_EVERY):
            picks.add(self.chosen(view))
            view.by_node["node-a"].sent = 0
        self.assertEqual(picks, {"node-a"})


class RetryBudgetTest(unittest.TestCase):
    """Repeats of sixteen nodes together."""

    def test_repeats_of_all_nodes_keep_the_bound(self) -> None:
        bounds = RetryBounds()
        nodes = [RetryBudgets(bounds, 0.0) for _ in range(16)]
        repeats = requests = 0
        for node in nodes:
            node.set_nodes(16)
            for step in range(400):
                now = step * 0.025
                node.on_request("jury", now)
                requests += 1
                repeats += node.take({"jury": 1.0}, now)
        self.assertLessEqual(repeats, bounds.ratio * requests + bounds.slack)
        self.assertGreater(repeats, bounds.ratio * requests * 0.4)

    def test_a_repeat_is_charged_at_every_service_of_its_tree(self) -> None:
        budgets = RetryBudgets(RetryBounds(slack=8.0), 0.0)
        self.assertTrue(budgets.take({"calls": 1.0, "jury": 4.0}, 0.0))
        self.assertFalse(budgets.take({"calls": 1.0, "jury": 4.0}, 0.0))
        self.assertTrue(budgets.take({"calls": 1.0}, 0.0))

    def test_rejected_arrivals_use_up_the_budget(self) -> None:
        budgets = RetryBudgets(RetryBounds(slack=8.0), 0.0)
        for _ in range(8):
            budgets.charge("jury", 0.0)
        self.assertFalse(budgets.take({"jury": 1.0}, 0.0))


class TreeCostTest(unittest.TestCase):
    """Learning what a route costs."""

    def test_the_mean_follows_the_requests(self) -> None:
        costs = TreeCosts()
        for _ in range(200):
            costs.learn("browse", {"calls": Usage(1, 0.1), "jury": Usage(4, 0.06)})
        self.assertAlmostEqual(costs.of("browse")["jury"].calls, 4.0)
        for _ in range(200):
            costs.learn("browse", {"calls": Usage(1, 0.1)})
        self.assertLess(costs.of("browse")["jury"].calls, 0.01)

    def test_usage_of_children_is_added(self) -> None:
        total = add_usage({"jury": Usage(1, 0.1)}, {"jury": Usage(2, 0.3), "fees": Usage(1, 0.2)})
        self.assertEqual(total["jury"], Usage(3, 0.4))
        self.assertEqual(total["fees"], Usage(1, 0.2))
