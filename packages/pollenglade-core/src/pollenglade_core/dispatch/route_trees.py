"""What a node has learnt about the call trees of the routes of its policy.

A tree is learnt for a route and the service that its requests are sent to, so that a route that was
moved, or one part of a split route, is not judged by the trees of another service. Services to
which no route leads any more are left out: no request can reach them.

A service without usable endpoints in a learnt tree refuses the requests of the route, and then
nothing new is learnt. Some requests are therefore admitted as trials. If one is served without the
service, the tree does not need it any more.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..policy.traffic_policy import TrafficPolicy
from .learnt_trees import LearntTree
from .tree_admission import TreeAdmission
from .tree_cost import TreeCosts
from .tree_cost import UsageByService


def tree_key(route: str, service: str) -> str:
    """Return the key of the trees of a route's requests that are sent to a service."""
    return f"{route}\n{service}"


class RouteTrees:
    """Mean usage and time of call trees by `tree_key`, as far as the policy leads there."""

    def __init__(self, admission: TreeAdmission) -> None:
        self._admission = admission
        self._costs = TreeCosts()
        self._policy: TrafficPolicy | None = None
        self._keys: frozenset[str] = frozenset()
        self._services: frozenset[str] = frozenset()

    def apply_policy(self, policy: TrafficPolicy) -> None:
        """Forget what was learnt of routes that go elsewhere and of services without a route."""
        self._policy = policy
        parts = [(route.name, part) for route in policy.routes for part in route.weighted_services]
        self._keys = frozenset(tree_key(name, part.service) for name, part in parts)
        self._services = frozenset(part.service for _, part in parts)
        self._costs.retain(self._keys, self._services)
        self._admission.retain(self._keys)

    @property
    def has_any(self) -> bool:
        """Whether `learnt` has any, without collecting them."""
        return any(self._admission.residence_s(key) is not None for key in self._costs.routes)

    def learnt(self) -> dict[str, LearntTree]:
        """Return all trees by key."""
        return {
            key: LearntTree(residence_s, self._costs.mean_usage(key))
            for key in self._costs.routes
            if (residence_s := self._admission.residence_s(key)) is not None
        }

    def usage(self, key: str) -> UsageByService:
        """Return the mean usage of a tree by service; empty if it is unknown."""
        return self._costs.mean_usage(key)

    def residence_s(self, key: str) -> float | None:
        """Return the mean time of a tree in seconds without time in queues; None if unknown."""
        return self._admission.residence_s(key)

    def restore(self, trees: Mapping[str, LearntTree]) -> None:
        """Add trees learnt by other nodes; trees learnt by this node take precedence."""
        for key, tree in trees.items():
            usage = self._routed(tree.usage)
            if usage and (self._policy is None or key in self._keys):
                self._costs.restore(key, usage)
                self._admission.restore(key, tree.residence_s)

    def learn(self, key: str, elapsed_s: float, usage: UsageByService) -> None:
        """Update a tree with a request that was served in `elapsed_s` seconds."""
        if self._policy is not None and key not in self._keys:
            return
        usage = self._routed(usage)
        if not usage:
            return
        self._costs.learn(key, usage)
        self._admission.learn(key, elapsed_s, usage)
        unreachable_services = self._admission.take_unreachable(key)
        if unreachable_services:
            for service in unreachable_services - usage.keys():
                self._costs.forget(key, service)

    def _routed(self, usage: UsageByService) -> UsageByService:
        if self._policy is None or usage.keys() <= self._services:
            return usage
        return {service: item for service, item in usage.items() if service in self._services}
