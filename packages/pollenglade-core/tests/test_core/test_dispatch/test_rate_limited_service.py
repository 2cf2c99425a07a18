"""Tests what callers get while endpoints of a service limit the requests per second they take.

Simulates entry nodes that place requests of three importances and two organisations on three
endpoints, by reported load. Counts the requests at each endpoint and the results of the callers.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueueAction
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import StartRequest

NODES = 13
SLOTS = 72
WORK_S = 0.22
OBJECTIVE_S = 2.0
TIMEOUT_S = 6.0
USAGE = {"vault": Usage(1, WORK_S)}
PRIORITIES = (0, 1, 2)
RATE_BY_PRIORITY = 40.0
ORGANISATIONS = ("large",) * 4 + ("small",)
MAX_PLACEMENTS = 4
REPORT_INTERVAL_S = 0.5
EXPIRY_INTERVAL_S = 0.02
LIMITED_FROM_S = 2.0
DURATION_S = 14.0
WINDOW_S = 4.0
WARM_UP_S = 3.0


@dataclass
class Request:
    """One request of a caller."""

    node: int
    priority: int
    organisation: str
    arrived_at: float
    excluded: set[str] = field(default_factory=set)


class LimitSimulation:
    """Three endpoints, of which some name a rate limit from `LIMITED_FROM_S` on."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.limits = limits
        self.random_source = random.Random(5)
        self.queue_by_node = {f"n{number}": EndpointQueue(SLOTS) for number in range(3)}
        self.views = [PeerView("z1", self.random_source) for _ in range(NODES)]
        self.admissions = [TreeAdmission() for _ in range(NODES)]
        self.reported_use: list[dict[str, SlotUse]] = [{} for _ in range(NODES)]
        self.request_by_id: dict[str, Request] = {}
        self.started_at_by_node: dict[str, list[float]] = {node: [] for node in self.queue_by_node}
        self.started_ids: set[str] = set()
        self.offered: Counter[tuple[int, str]] = Counter()
        self.in_time: Counter[tuple[int, str]] = Counter()
        self.refusal_delays_s: list[float] = []
        self.refused_ids: set[str] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.now = 0.0
        self.deciding_node = 0
        for view, admission in zip(self.views, self.admissions, strict=True):
            admission.learn("route", WORK_S, USAGE)
            for node in self.queue_by_node:
                view.add(node, "z1", "vault")
                view.peer_by_node[node].ready = True

    def slots(self, service: str) -> float:
        return self.views[self.deciding_node].slots(service, self.now)

    def exists(self, service: str) -> bool:
        return True

    def slot_use_of_others(self, service: str) -> SlotUse:
        others = [use for n, use in enumerate(self.reported_use) if n != self.deciding_node]
        return SlotUse.total([use[service] for use in others if service in use])

    def failure_rate(self, service: str) -> float:
        return 0.0

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.events, (time, self.serial, action))

    def run(self) -> None:
        """Play the load and the reports until all requests have ended."""
        for priority in PRIORITIES:
            arrives_at = 0.0
            while arrives_at < DURATION_S:
                arrives_at += self.random_source.expovariate(RATE_BY_PRIORITY)
                self.schedule(arrives_at, lambda p=priority: self.on_arrival(p))  # type: ignore[misc]
        for step in range(int(DURATION_S / REPORT_INTERVAL_S) + 4):
            self.schedule(step * REPORT_INTERVAL_S, self.report)
        for step in range(int((DURATION_S + TIMEOUT_S) / EXPIRY_INTERVAL_S)):
            self.schedule(step * EXPIRY_INTERVAL_S, self.expire)
        self.schedule(LIMITED_FROM_S, self.name_limits)
        while self.events:
            self.now, _, action = heappop(self.events)
            action()

    def name_limits(self) -> None:
        for node, per_s in self.limits.items():
            self.apply(node, self.queue_by_node[node].set_rate_limit(per_s, self.now))
        self.report()

    def load(self, node: str) -> EndpointLoad:
        queue = self.queue_by_node[node]
        return EndpointLoad(
            queue.running, queue.waiting, queue.limit, queue.expected_s, 0.0, queue.rate_limit
        )

    def report(self) -> None:
        self.reported_use = [admission.use_by_service(self.now) for admission in self.admissions]
        for view in self.views:
            for node, peer in view.peer_by_node.items():
                peer.apply_load_report(self.load(node), self.now)

    def expire(self) -> None:
        for node, queue in self.queue_by_node.items():
            self.apply(node, queue.expire(self.now))

    def on_arrival(self, priority: int) -> None:
        node = self.deciding_node = self.random_source.randrange(NODES)
        request = Request(node, priority, self.random_source.choice(ORGANISATIONS), self.now)
        request_id = str(self.serial)
        self.serial += 1
        if self.now >= WARM_UP_S:
            self.offered[priority, request.organisation] += 1
        value = self.random_source.random()
        if self.admissions[node].check("route", priority, USAGE, self, value, self.now):
            self.refuse(request_id, request)
            return
        self.admissions[node].begin(request_id, "route", priority, USAGE, self.now)
        self.request_by_id[request_id] = request
        self.place(request_id)

    def place(self, request_id: str) -> None:
        request = self.request_by_id[request_id]
        peer = self.views[request.node].choose("vault", self.now, request.excluded)
        if peer is None or len(request.excluded) >= MAX_PLACEMENTS:
            self.end(request_id)
            self.refuse(request_id, request)
            return
        request.excluded.add(peer.node)
        queued = QueuedRequest(
            request_id,
            False,
            request.priority,
            request.arrived_at + TIMEOUT_S,
            request.arrived_at + OBJECTIVE_S,
        )
        self.apply(peer.node, self.queue_by_node[peer.node].offer(queued, self.now))

    def refuse(self, request_id: str, request: Request) -> None:
        self.refused_ids.add(request_id)
        self.refusal_delays_s.append(self.now - request.arrived_at)

    def apply(self, node: str, actions: Iterable[QueueAction]) -> None:
        for action in actions:
            if not isinstance(action, StartRequest):
                self.place(action.request_id)
                continue
            self.started_ids.add(action.request_id)
            self.started_at_by_node[node].append(self.now)
            work_s = self.random_source.uniform(0.5, 1.5) * WORK_S
            self.schedule(
                self.now + work_s,
                lambda r=action.request_id: self.on_response(node, r),  # type: ignore[misc]
            )

    def on_response(self, node: str, request_id: str) -> None:
        self.apply(node, self.queue_by_node[node].finish(request_id, self.now))
        request = self.request_by_id[request_id]
        peer = self.views[request.node].peer_by_node[node]
        peer.apply_load_report(self.load(node), self.now)
        if request.arrived_at >= WARM_UP_S and self.now - request.arrived_at <= OBJECTIVE_S:
            self.in_time[request.priority, request.organisation] += 1
        self.end(request_id)

    def end(self, request_id: str) -> None:
        request = self.request_by_id.pop(request_id)
        self.admissions[request.node].end(request_id, self.now)

    def fraction(self, priority: int | None = None, organisation: str | None = None) -> float:
        """Return the fraction of requests in time, of one priority or organisation if given."""

        def total(count: Counter[tuple[int, str]]) -> int:
            return sum(
                number
                for (p, name), number in count.items()
                if priority in (None, p) and organisation in (None, name)
            )

        return total(self.in_time) / total(self.offered)

    def most_started(self, node: str) -> int:
        """Return the most requests that an endpoint got in one window after it named its limit."""
        times = [at for at in self.started_at_by_node[node] if at >= LIMITED_FROM_S]
        return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


class RateLimitedServiceTest(unittest.TestCase):
    """120 requests a second, of which the slots of three endpoints could serve 900."""

    def play(self, limits: dict[str, float]) -> LimitSimulation:
        """Return a finished simulation; check the limits and the truth of all refusals."""
        simulation = LimitSimulation(limits)
        simulation.run()
        for node, per_s in limits.items():
            self.assertLessEqual(simulation.most_started(node), 1.5 * per_s * WINDOW_S + 5)
        self.assertEqual(simulation.refused_ids & simulation.started_ids, set())
        return simulation

    def test_callers_suffer_from_the_limit_of_one_endpoint_of_three(self) -> None:
        simulation = self.play({"n0": 5.0})
        self.assertGreater(simulation.fraction(), 0.99)
        self.assertGreater(len(simulation.started_at_by_node["n0"]), 0.5 * 5.0 * DURATION_S)

    def test_a_limit_of_zero_at_one_endpoint_costs_callers_requests(self) -> None:
        self.assertGreater(self.play({"n0": 0.0}).fraction(), 0.99)

    def test_limits_at_all_endpoints_leave_capacity_unused_or_starve_callers(self) -> None:
        """The rates of all endpoints together are 48 a second, two fifths of the demand."""
        simulation = self.play({"n0": 16.0, "n1": 16.0, "n2": 16.0})
        self.assertGreater(simulation.fraction(), 0.85 * 48 / 120)
        most, middle, least = (simulation.fraction(priority) for priority in PRIORITIES)
        self.assertGreater(most, middle - 0.05)
        self.assertGreater(middle, least)
        self.assertGreater(least, 0.25 * simulation.fraction())
        large, small = (simulation.fraction(None, name) for name in ("large", "small"))
        self.assertLess(abs(large - small), 0.06)

    def test_requests_beyond_the_limits_wait_before_they_are_refused(self) -> None:
        simulation = self.play({"n0": 16.0, "n1": 16.0, "n2": 16.0})
        delays_s = simulation.refusal_delays_s
        self.assertLess(sum(delays_s) / len(delays_s), 0.05)
        self.assertLess(sum(delay > OBJECTIVE_S / 8 for delay in delays_s), 0.02 * len(delays_s))
