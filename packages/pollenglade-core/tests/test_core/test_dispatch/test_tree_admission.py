"""Tests that call trees are not started if a leaf service lacks the capacity to finish them.

Simulates a load on four entry nodes, a root service and a small leaf service that each tree calls
four times in sequence. The results are counted with and without tree admission.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from math import sqrt

from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TRIAL_FRACTION_BY_PRIORITY
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import StartRequest

ENTRY_NODES = 4
ENDPOINTS = 2
SLOTS = 12
ROOT_S = 0.06
LEAF_S = 0.015
LEAF_CALLS = 4
LEAF_TIMEOUT_S = 0.7
OBJECTIVE_S = 1.2
STATE_PERIOD_S = 0.5
USAGE = {"calls": Usage(1, ROOT_S + LEAF_CALLS * LEAF_S), "jury": Usage(4, LEAF_CALLS * LEAF_S)}
CAPACITY = ENDPOINTS * 11 / (LEAF_CALLS * LEAF_S)
"""Trees per second that the usable slots of the leaf service can finish."""


@dataclass
class RunningTree:
    """A running request of a client."""

    number: int
    node: int
    arrived_at: float
    calls_done: int = 0
    endpoint: int = 0


class LoadSimulation:
    """Simulates one load; the leaf service rejects `shed_fraction` of its calls at once."""

    def __init__(
        self,
        with_admission: bool,
        shed_fraction: float = 0.0,
        priority: int = 2,
        nodes: int = ENTRY_NODES,
        endpoints: int = ENDPOINTS,
    ) -> None:
        self.random_source = random.Random(11)
        self.shed_fraction = shed_fraction
        self.priority = priority
        self.nodes = nodes
        self.admissions = [TreeAdmission() for _ in range(nodes)] if with_admission else []
        self.reported_use = [dict[str, SlotUse]() for _ in range(nodes)]
        self.queues = [EndpointQueue(SLOTS) for _ in range(endpoints)]
        self.trees: dict[str, RunningTree] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.serial = 0
        self.now = 0.0
        self.deciding_node = 0
        self.in_time = self.late = self.failed = self.refused = 0
        for admission in self.admissions:
            for _ in range(50):
                admission.learn("browse", ROOT_S + LEAF_CALLS * LEAF_S, USAGE)

    def slots(self, service: str) -> float:
        return sum(queue.limit for queue in self.queues) if service == "jury" else 1000.0

    def exists(self, service: str) -> bool:
        return True

    def slot_use_of_others(self, service: str) -> SlotUse:
        other_reports = [
            state for node, state in enumerate(self.reported_use) if node != self.deciding_node
        ]
        return SlotUse.total([state[service] for state in other_reports if service in state])

    def failure_rate(self, service: str) -> float:
        return self.shed_fraction if service == "jury" else 0.0

    def run(self, rate: float, seconds: float) -> None:
        """Send `rate` trees per second for `seconds` and run until the last one ends."""
        arrives_at = 0.0
        number = 0
        while arrives_at < seconds:
            arrives_at += self.random_source.expovariate(rate)
            number += 1
            self.schedule(arrives_at, "arrive", str(number))
        for step in range(int((seconds + 2) / STATE_PERIOD_S)):
            self.schedule(step * STATE_PERIOD_S, "report", "")
        while self.events:
            self.now, _, kind, request_id = heappop(self.events)
            getattr(self, f"on_{kind}")(request_id)

    def schedule(self, time: float, kind: str, request_id: str) -> None:
        self.serial += 1
        heappush(self.events, (time, self.serial, kind, request_id))

    def on_report(self, request_id: str) -> None:
        self.reported_use = [admission.use_by_service(self.now) for admission in self.admissions]

    def on_arrive(self, request_id: str) -> None:
        node = int(request_id) % self.nodes
        if self.admissions:
            self.deciding_node = node
            admission = self.admissions[node]
            random_value = self.random_source.random()
            refusal = admission.check("browse", self.priority, USAGE, self, random_value, self.now)
            if refusal is not None:
                self.refused += 1
                return
            admission.begin(request_id, "browse", self.priority, USAGE, self.now)
        self.trees[request_id] = RunningTree(int(request_id), node, self.now)
        self.schedule(self.now + ROOT_S, "call", request_id)

    def on_call(self, request_id: str) -> None:
        tree = self.trees.get(request_id)
        if tree is None:
            return
        if self.random_source.random() < self.shed_fraction:
            self.end(request_id, False)
            return
        loads = [queue.running + queue.waiting for queue in self.queues]
        tree.endpoint = loads.index(min(loads))
        call = QueuedRequest(request_id, True, 0, self.now + LEAF_TIMEOUT_S, self.now + OBJECTIVE_S)
        self.apply_actions(self.queues[tree.endpoint].offer(call, self.now))

    def apply_actions(self, actions: object) -> None:
        assert isinstance(actions, list)
        for action in actions:
            if isinstance(action, StartRequest):
                self.schedule(self.now + LEAF_S, "answer", action.request_id)
            else:
                self.end(action.request_id, False)

    def on_answer(self, request_id: str) -> None:
        tree = self.trees[request_id]
        self.apply_actions(self.queues[tree.endpoint].finish(request_id, self.now))
        tree.calls_done += 1
        if tree.calls_done < LEAF_CALLS:
            self.on_call(request_id)
        else:
            self.end(request_id, True)

    def end(self, request_id: str, served: bool) -> None:
        tree = self.trees.pop(request_id)
        if self.admissions:
            self.admissions[tree.node].end(request_id, self.now)
        if not served:
            self.failed += 1
        elif self.now - tree.arrived_at <= OBJECTIVE_S:
            self.in_time += 1
        else:
            self.late += 1


class SurgeTest(unittest.TestCase):
    """Loads below and above the capacity of the leaf service, such as 1.7 times it for 20 s."""

    def test_the_capacity_is_used_and_little_work_is_wasted(self) -> None:
        simulation = LoadSimulation(with_admission=True)
        simulation.run(1.7 * CAPACITY, 20.0)
        self.assertGreater(simulation.in_time, 0.85 * 20 * CAPACITY)
        self.assertLess(simulation.failed + simulation.late, 0.02 * simulation.in_time)

    def test_many_nodes_with_less_than_one_slot_each_use_the_capacity(self) -> None:
        """One endpoint serves 28 nodes, so each node's share is less than one slot.

        The shares must be rounded correctly on average, or slots stay empty or are overcommitted.
        """
        simulation = LoadSimulation(with_admission=True, nodes=28, endpoints=1)
        simulation.run(3.0 * CAPACITY / ENDPOINTS, 20.0)
        self.assertGreater(simulation.in_time, 0.85 * 20 * CAPACITY / ENDPOINTS)
        self.assertLess(simulation.failed + simulation.late, 0.02 * simulation.in_time)

    def test_without_admission_most_of_the_work_is_wasted(self) -> None:
        simulation = LoadSimulation(with_admission=False)
        simulation.run(1.7 * CAPACITY, 20.0)
        self.assertLess(simulation.in_time, 0.5 * 20 * CAPACITY)

    def test_below_the_capacity_nothing_is_refused(self) -> None:
        simulation = LoadSimulation(with_admission=True)
        simulation.run(0.7 * CAPACITY, 20.0)
        self.assertEqual((simulation.refused, simulation.failed), (0, 0))

    def test_the_most_important_requests_are_refused_last(self) -> None:
        refused = []
        for priority in (0, 1, 2):
            simulation = LoadSimulation(with_admission=True, priority=priority)
            simulation.run(1.05 * CAPACITY, 10.0)
            refused.append(simulation.refused)
        self.assertLess(refused[0], refused[2])
        self.assertLessEqual(refused[0], refused[1])


class SheddingTest(unittest.TestCase):
    """The leaf service rejects 55 % of its calls."""

    def test_trees_that_would_not_finish_are_not_started(self) -> None:
        simulation = LoadSimulation(with_admission=True, shed_fraction=0.55)
        simulation.run(0.5 * CAPACITY, 10.0)
        started = simulation.failed + simulation.in_time
        offered = started + simulation.refused
        trial_fraction = TRIAL_FRACTION_BY_PRIORITY[simulation.priority]
        # Each tree starts independently with probability `trial_fraction`, so the number of started
        # trees has a binomial distribution.
        deviation = sqrt(offered * trial_fraction * (1.0 - trial_fraction))
        self.assertLess(abs(started - offered * trial_fraction), 3.0 * deviation)

    def test_requests_without_nested_calls_are_still_admitted(self) -> None:
        admission = TreeAdmission()
        admission.learn("view", 0.02, {})
        simulation = LoadSimulation(with_admission=True, shed_fraction=0.55)
        simulation.deciding_node = 0
        self.assertIsNone(
            admission.check("view", 1, {"jury": Usage(1, 0.02)}, simulation, 0.5, 0.0)
        )


class NoEndpointTest(unittest.TestCase):
    """A zone from which no endpoint of the leaf service is reachable."""

    def test_a_tree_is_not_started_without_an_endpoint_for_each_of_its_services(self) -> None:
        """Its first services would waste their work, and a payment would fail half-way."""
        simulation = LoadSimulation(with_admission=True)
        simulation.queues = []
        refusal = simulation.admissions[0].check("browse", 0, USAGE, simulation, 0.5, 0.0)
        assert refusal is not None
        self.assertEqual(refusal.service, "jury")


class LearningTest(unittest.TestCase):
    """Residence times learnt from requests of uneven length that waited in queues."""

    def test_request_length_and_queues_do_not_change_the_occupancy(self) -> None:
        """An estimate from the shortest times refuses requests at two thirds of the capacity."""
        random_source = random.Random(5)
        admission = TreeAdmission()
        for _ in range(2000):
            work_s = random_source.choice((0.05, 0.1, 0.15, 0.2))
            usage_with_wait = {"jury": Usage(4, 0.06, 0.05)}
            admission.learn("browse", work_s + 0.05, usage_with_wait)
        self.assertAlmostEqual(
            admission.occupancy("browse", USAGE)["jury"], 0.06 / 0.125, delta=0.08
        )


class RetryDelayTest(unittest.TestCase):
    """Retry delays in refusals."""

    def test_retry_delays_are_spread(self) -> None:
        simulation = LoadSimulation(with_admission=True, shed_fraction=0.9)
        simulation.deciding_node = 0
        delays: list[float] = []
        for step in range(10):
            # Smaller random values would admit the request as a probe.
            random_value = 0.1 + step / 12
            refusal = simulation.admissions[0].check(
                "browse", 2, USAGE, simulation, random_value, 0.0
            )
            assert refusal is not None
            delays.append(refusal.retry_after_s)
        self.assertEqual(len(delays), 10)
        self.assertGreater(max(delays), 2 * min(delays))
