"""Tests the choice of endpoints, the retry budget and the learnt cost of call trees.

They guard against requests to unavailable, busy or failing endpoints and retries above the budget.
"""

from __future__ import annotations

import random
import unittest

from pollenglade_core.dispatch.peer_view import EXPLORATION_INTERVAL
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.retry_budget import RetryBounds
from pollenglade_core.dispatch.retry_budget import ServiceRetryBudgets
from pollenglade_core.dispatch.tree_cost import TreeCosts
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.dispatch.tree_cost import add_usage
from pollenglade_core.serving.endpoint_statement import EndpointIdentity


def make_view(*zones: str) -> PeerView:
    """Return a view from zone `a` with one idle endpoint of `jury` in each zone."""
    view = PeerView("a", random.Random(1))
    for zone in zones:
        view.add(f"node-{zone}", zone, "jury")
        peer = view.peer_by_node[f"node-{zone}"]
        peer.ready = True
        peer.apply_load_report(EndpointLoad(0, 0, 10, 0.02), 0.0)
    return view


class PeerViewTest(unittest.TestCase):
    """Choice of an endpoint."""

    def choose_node(self, view: PeerView, now: float = 0.1, excluded: tuple[str, ...] = ()) -> str:
        """Return the name of the chosen node, or an empty string if none is usable."""
        peer = view.choose("jury", now, excluded)
        return peer.node if peer is not None else ""

    def test_the_local_zone_is_preferred_while_it_has_capacity(self) -> None:
        """A request to another zone takes longer without need."""
        view = make_view("b", "a")
        chosen_nodes = [self.choose_node(view) for _ in range(10)]
        self.assertEqual(set(chosen_nodes), {"node-a"})
        self.assertEqual({self.choose_node(view) for _ in range(12)}, {"node-a", "node-b"})

    def test_a_burst_between_two_reports_is_spread(self) -> None:
        """All requests would go to the endpoint with the lowest load in the latest report."""
        view = make_view("a", "b", "c")
        for _ in range(90):
            view.choose("jury", 0.1)
        sent = [peer.sent for peer in view.peer_by_node.values()]
        self.assertLess(max(sent) - min(sent), 12)

    def test_unavailable_or_excluded_nodes_are_not_chosen(self) -> None:
        view = make_view("a", "b", "c")
        view.peer_by_node["node-a"].avoided_until = 9.0
        view.peer_by_node["node-b"].ready = False
        self.assertEqual(self.choose_node(view), "node-c")
        self.assertEqual(self.choose_node(view, excluded=("node-c",)), "")
        self.assertEqual(self.choose_node(view, now=8.0), "")

    def test_the_endpoint_of_a_suspected_node_is_chosen_only_without_another(self) -> None:
        """Requests across a partition wait until their deadline before the link is closed."""
        view = make_view("a", "b")
        view.peer_by_node["node-a"].suspected_until = 0.3
        chosen_nodes = {self.choose_node(view, now=0.1) for _ in range(2 * EXPLORATION_INTERVAL)}
        self.assertEqual(chosen_nodes, {"node-b"})
        self.assertEqual(self.choose_node(view, now=0.1, excluded=("node-b",)), "node-a")
        self.assertEqual(self.choose_node(view, now=0.3), "node-a")

    def test_requests_go_on_to_try_a_node_that_cannot_be_reached(self) -> None:
        """Each try takes until the limit for opening a link, while another zone is cut off."""
        peer = make_view("b").peer_by_node["node-b"]
        tries = 0
        for step in range(100):
            now = 0.05 * step
            if now >= peer.avoided_until:
                tries += 1
                peer.on_link_failed(now)
        self.assertLessEqual(tries, 4)
        peer.apply_load_report(EndpointLoad(0, 0, 10, 0.02), 5.0)
        peer.on_link_failed(9.0)
        self.assertFalse(peer.is_usable(9.4, 5.0))
        self.assertTrue(peer.is_usable(9.6, 5.0))

    def test_a_departed_endpoint_is_used_again_because_its_node_forgot_the_departure(self) -> None:
        """A restarted node may apply a late heartbeat and report the endpoint as ready."""
        view = PeerView("a", random.Random(1))
        view.add("node-a", "a", "jury")
        endpoint = EndpointIdentity("i-1", 1000)
        view.peer_by_node["node-a"].apply_state(endpoint, ready=False, leaving=True, now=0.0)
        view.remove("node-a")
        view.add("node-a", "a", "jury")
        peer = view.peer_by_node["node-a"]
        peer.apply_state(endpoint, ready=True, leaving=False, now=9.0)
        self.assertFalse(peer.ready)
        peer.apply_state(EndpointIdentity("i-1", 2000), ready=True, leaving=False, now=9.1)
        self.assertTrue(peer.ready)

    def test_a_rate_limited_endpoint_gets_the_requests_that_its_slots_permit(self) -> None:
        view = make_view("a", "b")
        view.peer_by_node["node-a"].apply_load_report(
            EndpointLoad(2, 3, 10, 0.02, rate_limit=5.0), 0.0
        )
        self.assertEqual(view.slots("jury", 0.1), 10 + 5.0 * 0.02)
        self.assertEqual(self.choose_node(view), "node-b")
        view.peer_by_node["node-b"].ready = False
        view.peer_by_node["node-a"].apply_load_report(EndpointLoad(rate_limit=0.0), 0.0)
        self.assertEqual(self.choose_node(view), "")

    def test_a_failing_endpoint_is_avoided_until_its_failure_rate_decays(self) -> None:
        """Fast failures look like a short expected time and would attract requests."""
        view = make_view("a", "b")
        for _ in range(20):
            view.peer_by_node["node-a"].record_result(True, 0.1)
        self.assertEqual(self.choose_node(view), "node-b")
        self.assertEqual(self.choose_node(view, now=2.0), "node-b")
        for peer in view.peer_by_node.values():
            peer.apply_load_report(EndpointLoad(0, 0, 10, 0.02), 3.2)
        self.assertEqual(self.choose_node(view, now=3.2), "node-a")

    def test_a_new_or_formerly_slow_endpoint_gets_some_requests(self) -> None:
        """Without any requests its speed would stay unknown and it would never be chosen."""
        view = make_view("a", "b")
        view.peer_by_node["node-b"].apply_load_report(EndpointLoad(0, 0, 10, 0.5), 0.0)
        chosen_nodes = []
        for number in range(2 * EXPLORATION_INTERVAL):
            chosen_nodes.append(self.choose_node(view, now=number * 0.01))
            view.peer_by_node["node-a"].sent = 0
        self.assertEqual(chosen_nodes.count("node-b"), 2)

    def test_a_failing_endpoint_is_not_explored(self) -> None:
        """Requests sent only to measure its speed would fail."""
        view = make_view("a", "b")
        view.peer_by_node["node-b"].apply_load_report(
            EndpointLoad(0, 0, 10, 0.5, failure_rate=0.5), 0.0
        )
        chosen_nodes = set()
        for _ in range(4 * EXPLORATION_INTERVAL):
            chosen_nodes.add(self.choose_node(view))
            view.peer_by_node["node-a"].sent = 0
        self.assertEqual(chosen_nodes, {"node-a"})


class RetryBudgetTest(unittest.TestCase):
    """Retry budgets of one node and of sixteen nodes together."""

    def test_retries_of_all_nodes_stay_within_the_budget(self) -> None:
        """Nodes that each spend the whole budget would multiply the load in an outage."""
        bounds = RetryBounds()
        nodes = [ServiceRetryBudgets(bounds, 0.0) for _ in range(16)]
        retries = requests = 0
        for node in nodes:
            node.set_node_count(16)
            for step in range(400):
                now = step * 0.025
                node.on_request("jury", now)
                requests += 1
                retries += node.try_debit({"jury": 1.0}, now)
        self.assertLessEqual(retries, bounds.ratio * requests + bounds.slack)
        self.assertGreater(retries, bounds.ratio * requests * 0.4)

    def retries_in_worst_window(
        self, nodes: list[ServiceRetryBudgets], first_failure_s: float, ends_s: float
    ) -> tuple[int, int]:
        """Play failures of one service; return the most retries in a window, and its requests.

        From `first_failure_s` on, each request of the nodes is retried as often as they permit.
        """
        bounds = RetryBounds()
        requested_at: list[float] = []
        retried_at: list[float] = []
        for step in range(int(ends_s * 36)):
            now = step / 36
            node = nodes[step % len(nodes)]
            node.on_request("jury", now)
            requested_at.append(now)
            while now >= first_failure_s and node.try_debit({"jury": 1.0}, now):
                retried_at.append(now)
        counts = []
        for start in retried_at:
            end = start + bounds.window_s
            retries = sum(start <= at < end for at in retried_at)
            counts.append((retries, sum(start <= at < end for at in requested_at)))
        return max(counts)

    def test_a_budget_that_is_unused_so_far_is_spent_beside_the_one_that_is_earned(self) -> None:
        """Both together were 1.5 times what one window permits (review case 3)."""
        bounds = RetryBounds()
        for node_count in (1, 4, 16):
            nodes = [ServiceRetryBudgets(bounds, 0.0) for _ in range(node_count)]
            for node in nodes:
                node.set_node_count(node_count)
            retries, requests = self.retries_in_worst_window(nodes, 14.0, 40.0)
            with self.subTest(nodes=node_count):
                self.assertLessEqual(retries, bounds.ratio * requests + bounds.slack)
                self.assertGreaterEqual(retries, 0.8 * (bounds.ratio * requests + bounds.slack))

    def test_restarted_nodes_have_the_slack_of_their_predecessors_again(self) -> None:
        """Killed nodes return within a second, while what they have spent still counts."""
        bounds = RetryBounds()
        nodes = [ServiceRetryBudgets(bounds, 0.0) for _ in range(4)]
        successors = [ServiceRetryBudgets(bounds, 11.0, restarted=True) for _ in range(4)]
        for node in [*nodes, *successors]:
            node.set_node_count(4)
        spent = sum(node.try_debit({"jury": 1.0}, 10.0) for node in nodes for _ in range(20))
        spent += sum(node.try_debit({"jury": 1.0}, 19.9) for node in successors for _ in range(20))
        self.assertLessEqual(spent, bounds.slack)
        self.assertTrue(successors[0].try_debit({"jury": 1.0}, 21.0))

    def test_a_retry_is_charged_at_every_service_of_its_tree(self) -> None:
        """A retry of a root request would repeat its nested calls without charge."""
        budgets = ServiceRetryBudgets(RetryBounds(slack=8.0), 0.0)
        self.assertTrue(budgets.try_debit({"calls": 1.0, "jury": 4.0}, 0.0))
        self.assertFalse(budgets.try_debit({"calls": 1.0, "jury": 4.0}, 0.0))
        self.assertTrue(budgets.try_debit({"calls": 1.0}, 0.0))

    def test_unpreventable_retries_use_up_the_budget(self) -> None:
        """They add load, so further retries would exceed the budget."""
        budgets = ServiceRetryBudgets(RetryBounds(slack=8.0), 0.0)
        for _ in range(8):
            budgets.charge("jury", 0.0)
        self.assertFalse(budgets.try_debit({"jury": 1.0}, 0.0))


class TreeCostTest(unittest.TestCase):
    """Mean cost of the requests of a route."""

    def test_the_mean_follows_the_requests(self) -> None:
        """A wrong mean would admit too many or too few trees."""
        costs = TreeCosts()
        for _ in range(200):
            costs.learn("browse", {"calls": Usage(1, 0.1), "jury": Usage(4, 0.06)})
        self.assertAlmostEqual(costs.mean_usage("browse")["jury"].calls, 4.0)
        for _ in range(200):
            costs.learn("browse", {"calls": Usage(1, 0.1)})
        self.assertLess(costs.mean_usage("browse")["jury"].calls, 0.01)

    def test_usage_of_children_is_added(self) -> None:
        """Services that only nested calls reach would seem to have no load."""
        total = add_usage({"jury": Usage(1, 0.1)}, {"jury": Usage(2, 0.3), "fees": Usage(1, 0.2)})
        self.assertEqual(total["jury"], Usage(3, 0.4))
        self.assertEqual(total["fees"], Usage(1, 0.2))
