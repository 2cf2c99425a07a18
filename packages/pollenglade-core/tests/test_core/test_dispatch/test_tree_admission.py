"""Guards against call trees that are started although a service at their end cannot finish them.

A load is played on a model of four entry nodes, a root service and a small service at the end that
each tree calls four times in turn. What callers get is counted with the admission on and off.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from math import sqrt

from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import PROBE_PART_BY_PRIORITY
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import Start

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
"""Trees per second that the usable slots at the end allow."""


@dataclass
class Tree:
    """One request of a client."""

    number: int
    node: int
    arrived_at: float
    calls_done: int = 0
    endpoint: int = 0


class Model:
    """Plays one load; `shed` is the part of the calls at the end that is rejected at once."""

    def __init__(
        self,
        admission: bool,
        shed: float = 0.0,
        priority: int = 2,
        nodes: int = ENTRY_NODES,
        endpoints: int = ENDPOINTS,
    ) -> None:
        self.source = random.Random(11)
        self.shed = shed
        self.priority = priority
        self.nodes = nodes
        self.admissions = [TreeAdmission() for _ in range(nodes)] if admission else []
        self.reported = [dict[str, SlotUse]() for _ in range(nodes)]
        self.queues = [EndpointQueue(SLOTS) for _ in range(endpoints)]
        self.trees: dict[str, Tree] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.serial = 0
        self.now = 0.0
        self.asking = 0
        self.in_time = self.late = self.failed = self.refused = 0
        for item in self.admissions:
            for _ in range(50):
                item.learn("browse", ROOT_S + LEAF_CALLS * LEAF_S, USAGE)

    def slots(self, service: str) -> float:
        return sum(queue.limit for queue in self.queues) if service == "jury" else 1000.0

    def is_known(self, service: str) -> bool:
        return True

    def others(self, service: str) -> SlotUse:
        states = [state for node, state in enumerate(self.reported) if node != self.asking]
        return SlotUse.total([state[service] for state in states if service in state])

    def failure_rate(self, service: str) -> float:
        return self.shed if service == "jury" else 0.0

    def play(self, rate: float, seconds: float) -> None:
        """Send `rate` trees per second and wait for the last one."""
        at = 0.0
        number = 0
        while at < seconds:
            at += self.source.expovariate(rate)
            number += 1
            self.at(at, "arrive", str(number))
        for step in range(int((seconds + 2) / STATE_PERIOD_S)):
            self.at(step * STATE_PERIOD_S, "report", "")
        while self.events:
            self.now, _, kind, key = heappop(self.events)
            getattr(self, f"on_{kind}")(key)

    def at(self, time: float, kind: str, key: str) -> None:
        self.serial += 1
        heappush(self.events, (time, self.serial, kind, key))

    def on_report(self, key: str) -> None:
        self.reported = [item.use_by_service(self.now) for item in self.admissions]

    def on_arrive(self, key: str) -> None:
        node = int(key) % self.nodes
        if self.admissions:
            self.asking = node
            item = self.admissions[node]
            chance = self.source.random()
            refusal = item.check("browse", self.priority, USAGE, self, chance, self.now)
            if refusal is not None:
                self.refused += 1
                return
            item.begin(key, "browse", self.priority, USAGE, self.now)
        self.trees[key] = Tree(int(key), node, self.now)
        self.at(self.now + ROOT_S, "call", key)

    def on_call(self, key: str) -> None:
        tree = self.trees.get(key)
        if tree is None:
            return
        if self.source.random() < self.shed:
            self.end(key, False)
            return
        loads = [queue.running + queue.waiting for queue in self.queues]
        tree.endpoint = loads.index(min(loads))
        call = QueuedRequest(key, True, 0, self.now + LEAF_TIMEOUT_S, self.now + OBJECTIVE_S)
        self.carry_out(self.queues[tree.endpoint].offer(call, self.now))

    def carry_out(self, actions: object) -> None:
        assert isinstance(actions, list)
        for action in actions:
            if isinstance(action, Start):
                self.at(self.now + LEAF_S, "answer", action.request_id)
            else:
                self.end(action.request_id, False)

    def on_answer(self, key: str) -> None:
        tree = self.trees[key]
        self.carry_out(self.queues[tree.endpoint].finish(key, self.now))
        tree.calls_done += 1
        if tree.calls_done < LEAF_CALLS:
            self.on_call(key)
        else:
            self.end(key, True)

    def end(self, key: str, served: bool) -> None:
        tree = self.trees.pop(key)
        if self.admissions:
            self.admissions[tree.node].end(key, self.now)
        if not served:
            self.failed += 1
        elif self.now - tree.arrived_at <= OBJECTIVE_S:
            self.in_time += 1
        else:
            self.late += 1


class SurgeTest(unittest.TestCase):
    """1.7 times the capacity of the service at the end, over 20 s."""

    def test_the_capacity_is_used_and_no_work_is_wasted(self) -> None:
        model = Model(admission=True)
        model.play(1.7 * CAPACITY, 20.0)
        self.assertGreater(model.in_time, 0.85 * 20 * CAPACITY)
        self.assertLess(model.failed + model.late, 0.02 * model.in_time)

    def test_parts_of_many_nodes_are_rounded_right_on_average(self) -> None:
        """One endpoint is left for 28 nodes, so that each may occupy less than one slot."""
        model = Model(admission=True, nodes=28, endpoints=1)
        model.play(3.0 * CAPACITY / ENDPOINTS, 20.0)
        self.assertGreater(model.in_time, 0.85 * 20 * CAPACITY / ENDPOINTS)
        self.assertLess(model.failed + model.late, 0.02 * model.in_time)

    def test_without_admission_most_of_the_work_is_wasted(self) -> None:
        model = Model(admission=False)
        model.play(1.7 * CAPACITY, 20.0)
        self.assertLess(model.in_time, 0.5 * 20 * CAPACITY)

    def test_below_the_capacity_nothing_is_refused(self) -> None:
        model = Model(admission=True)
        model.play(0.7 * CAPACITY, 20.0)
        self.assertEqual((model.refused, model.failed), (0, 0))

    def test_the_most_important_are_refused_last(self) -> None:
        refused = []
        for priority in (0, 1, 2):
            model = Model(admission=True, priority=priority)
            model.play(1.05 * CAPACITY, 10.0)
            refused.append(model.refused)
        self.assertLess(refused[0], refused[2])
        self.assertLessEqual(refused[0], refused[1])


class SheddingTest(unittest.TestCase):
    """The service at the end rejects 55 % of its calls."""

    def test_trees_that_would_not_finish_are_not_started(self) -> None:
        model = Model(admission=True, shed=0.55)
        model.play(0.5 * CAPACITY, 10.0)
        started = model.failed + model.in_time
        asked = started + model.refused
        part = PROBE_PART_BY_PRIORITY[model.priority]
        # Each tree starts with the stated chance, so the number started is binomial.
        deviation = sqrt(asked * part * (1.0 - part))
        self.assertLess(abs(started - asked * part), 3.0 * deviation)

    def test_single_calls_go_on(self) -> None:
        item = TreeAdmission()
        item.learn("view", 0.02, {})
        model = Model(admission=True, shed=0.55)
        model.asking = 0
        self.assertIsNone(item.check("view", 1, {"jury": Usage(1, 0.02)}, model, 0.5, 0.0))


class CutOffTest(unittest.TestCase):
    """A zone that reaches no endpoint of the service at the end."""

    def test_a_tree_is_not_started_without_an_endpoint_for_each_of_its_services(self) -> None:
        """Its first services would work for nothing, and a payment would fail half-way."""
        model = Model(admission=True)
        model.queues = []
        refusal = model.admissions[0].check("browse", 0, USAGE, model, 0.5, 0.0)
        assert refusal is not None
        self.assertEqual(refusal.service, "jury")


class LearningTest(unittest.TestCase):
    """What is learnt from requests of uneven length that had to wait."""

    def test_uneven_requests_and_queues_do_not_change_the_need_for_slots(self) -> None:
        """An estimate by the shortest times refuses at two thirds of the capacity."""
        source = random.Random(5)
        item = TreeAdmission()
        for _ in range(2000):
            work_s = source.choice((0.05, 0.1, 0.15, 0.2))
            waited = {"jury": Usage(4, 0.06, 0.05)}
            item.learn("browse", work_s + 0.05, waited)
        self.assertAlmostEqual(item.occupancy("browse", USAGE)["jury"], 0.06 / 0.125, delta=0.08)


class RetryAfterTest(unittest.TestCase):
    """What a refused caller is told."""

    def test_returns_are_spread(self) -> None:
        model = Model(admission=True, shed=0.9)
        model.asking = 0
        delays: list[float] = []
        for step in range(10):
            # Smaller figures let the request through as one that shows the recovery.
            chance = 0.1 + step / 12
            refusal = model.admissions[0].check("browse", 2, USAGE, model, chance, 0.0)
            assert refusal is not None
            delays.append(refusal.retry_after_s)
        self.assertEqual(len(delays), 10)
        self.assertGreater(max(delays), 2 * min(delays))
