"""Guards against trees that are started although a service of theirs cannot be reached."""

from __future__ import annotations

import random
import unittest

from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_admission import TreeRefusal
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.policy.traffic_policy import ServiceRules
from pollenglade_core.policy.traffic_policy import TrafficPolicy
from pollenglade_node.mesh.entry import PeerViewLoad

USAGE = {"calls": Usage(1, 0.1), "jury": Usage(4, 0.06)}


def check_with_services(*names: str) -> TreeRefusal | None:
    """Check a tree at a node that knows no endpoint of the service `jury`.

    This is a node that was restarted while its zone is cut off from that of the endpoints.
    """
    view = PeerView("z1", random.Random(1))
    view.add("n1", "z1", "calls")
    view.peer_by_node["n1"].ready = True
    view.peer_by_node["n1"].last_report_at = 0.0
    admission = TreeAdmission()
    admission.learn("browse", 0.16, USAGE)
    policy = TrafficPolicy(1, [], services=[ServiceRules(name, "/healthz", 10) for name in names])
    return admission.check("browse", 2, USAGE, PeerViewLoad(view, policy, 0.1), 0.5, 0.1)


class PeerViewLoadTest(unittest.TestCase):
    def test_a_tree_needs_an_endpoint_of_each_service_that_the_policy_names(self) -> None:
        refusal = check_with_services("calls", "jury")
        assert refusal is not None
        self.assertEqual(refusal.service, "jury")

    def test_a_service_that_no_longer_exists_does_not_refuse_its_trees(self) -> None:
        """What was learnt of a tree names such a service until enough requests have been served."""
        self.assertIsNone(check_with_services("calls"))
