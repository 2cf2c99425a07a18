"""Guards against kinds of requests that crowd each other out at the service that all of them need.

Plays a surge of three kinds on a model of 14 entry nodes and one small service: trees of payments,
single important reads and trees of less important reads. Counts what callers of each kind get.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.dispatch.tree_cost import UsageByService
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueueAction
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import Start

NODES = 14
STATE_PERIOD_S = 0.5
EXPIRY_PERIOD_S = 0.02
NESTED_TIMEOUT_S = 0.7
SECONDS = 12.0
RANK_STEP = 9


@dataclass(frozen=True)
class Kind:
    """A kind of request: `chains` side by side, each of `calls` calls in turn of `call_s`."""

    name: str
    priority: int
    rate: float
    root_s: float
    chains: int
    calls: int
    call_s: float
    objective_s: float
    timeout_s: float

    @property
    def is_tree(self) -> bool:
        """Whether the request calls the service from its own run."""
        return self.root_s > 0.0

    @property
    def usage(self) -> UsageByService:
        """What one request needs."""
        calls = self.chains * self.calls
        usage = {"jury": Usage(calls, calls * self.call_s)}
        if self.is_tree:
            usage["root"] = Usage(1, self.residence_s)
        return usage

    @property
    def residence_s(self) -> float:
        """Time of a request that waits nowhere."""
        return self.root_s + self.calls * self.call_s


SMALL_CALLS = (
    Kind("payment", 0, 89.5, 0.11, 2, 4, 0.015, 1.2, 5.0),
    Kind("view", 1, 79.6, 0.0, 1, 1, 0.024, 0.1, 0.4),
    Kind("browse", 2, 244.0, 0.09, 1, 4, 0.015, 1.2, 5.0),
)
LONG_CALLS = (
    Kind("payment", 0, 48.8, 0.32, 2, 5, 0.055, 2.0, 1.5),
    Kind("view", 1, 36.0, 0.0, 1, 1, 0.088, 0.3, 1.2),
    Kind("browse", 2, 113.0, 0.25, 1, 5, 0.055, 2.0, 1.2),
)


@dataclass
class Request:
    """One admitted request."""

    kind: Kind
    node: int
    arrived_at: float
    chains_left: int


@dataclass
class Count:
    """Requests of one kind by what their callers get."""

    asked: int = 0
    in_time: int = 0
    failed: int = 0

    @property
    def part(self) -> float:
        """Part that was answered within the latency objective."""
        return self.in_time / self.asked


@dataclass
class Model:
    """Plays a surge; every endpoint has its own speed."""

    kinds: tuple[Kind, ...]
    slots_each: int
    speeds: tuple[float, ...]
    source: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        self.admissions = [TreeAdmission() for _ in range(NODES)]
        self.reported: list[dict[str, SlotUse]] = [{} for _ in range(NODES)]
        self.queues = [EndpointQueue(self.slots_each) for _ in self.speeds]
        self.count_by_kind = {kind.name: Count() for kind in self.kinds}
        self.request_by_id: dict[str, Request] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = 0
        self.now = 0.0
        self.asking = 0
        for admission in self.admissions:
            for kind in self.kinds:
                admission.learn(kind.name, kind.residence_s, kind.usage)

    def slots(self, service: str) -> float:
        return float(sum(queue.limit for queue in self.queues)) if service == "jury" else 1000.0

    def is_known(self, service: str) -> bool:
        return True

    def others(self, service: str) -> SlotUse:
        states = [state for node, state in enumerate(self.reported) if node != self.asking]
        return SlotUse.total([state[service] for state in states if service in state])

    def failure_rate(self, service: str) -> float:
        return 0.0

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.events, (time, self.serial, action))

    def play(self, surge: float) -> dict[str, Count]:
        """Send `surge` times the usual requests of each kind."""
        for kind in self.kinds:
            at = self.source.expovariate(kind.rate * surge)
            while at < SECONDS:
                self.at(at, lambda kind=kind: self.arrive(kind))  # type: ignore[misc]
                at += self.source.expovariate(kind.rate * surge)
        for step in range(int(SECONDS / STATE_PERIOD_S) + 4):
            self.at(step * STATE_PERIOD_S, self.report)
        for step in range(int((SECONDS + 2.0) / EXPIRY_PERIOD_S)):
            self.at(step * EXPIRY_PERIOD_S, self.expire)
        while self.events:
            self.now, _, action = heappop(self.events)
            action()
        return self.count_by_kind

    def report(self) -> None:
        self.reported = [item.use_by_service(self.now) for item in self.admissions]

    def expire(self) -> None:
        for place, queue in enumerate(self.queues):
            self.carry_out(place, queue.expire(self.now))

    def arrive(self, kind: Kind) -> None:
        self.count_by_kind[kind.name].asked += 1
        node = self.asking = self.source.randrange(NODES)
        admission, chance = self.admissions[node], self.source.random()
        if admission.check(kind.name, kind.priority, kind.usage, self, chance, self.now):
            return
        self.serial += 1
        key = str(self.serial)
        admission.begin(key, kind.name, kind.priority, kind.usage, self.now)
        self.request_by_id[key] = Request(kind, node, self.now, kind.chains)
        for chain in range(kind.chains):
            start = self.now + self.source.uniform(0.5, 1.5) * kind.root_s
            self.at(start, lambda chain=chain: self.call(key, chain, 0))  # type: ignore[misc]
        self.at(self.now + kind.timeout_s, lambda: self.end(key, False))

    def call(self, key: str, chain: int, number: int) -> None:
        request = self.request_by_id.get(key)
        if request is None:
            return
        kind = request.kind
        waits = [
            (queue.running + queue.waiting + 1) / speed
            for queue, speed in zip(self.queues, self.speeds, strict=True)
        ]
        place = waits.index(min(waits))
        deadline = request.arrived_at + kind.timeout_s
        if kind.is_tree:
            deadline = min(deadline, self.now + NESTED_TIMEOUT_S)
        objective_at = request.arrived_at + min(kind.objective_s, kind.timeout_s)
        queued = QueuedRequest(
            f"{key}/{chain}/{number}",
            kind.is_tree,
            kind.priority * RANK_STEP,
            deadline,
            objective_at,
        )
        self.carry_out(place, self.queues[place].offer(queued, self.now))

    def carry_out(self, place: int, actions: Iterable[QueueAction]) -> None:
        for action in actions:
            key = action.request_id.partition("/")[0]
            if not isinstance(action, Start):
                self.end(key, False)
                continue
            request = self.request_by_id.get(key)
            call_s = request.kind.call_s if request is not None else 0.05
            work_s = self.source.uniform(0.5, 1.5) * call_s / self.speeds[place]
            self.at(
                self.now + work_s,
                lambda call=action.request_id: self.answer(place, call),  # type: ignore[misc]
            )

    def answer(self, place: int, call: str) -> None:
        self.carry_out(place, self.queues[place].finish(call, self.now))
        key, chain, number = call.split("/")
        request = self.request_by_id.get(key)
        if request is None:
            return
        if int(number) + 1 < request.kind.calls:
            self.call(key, int(chain), int(number) + 1)
            return
        request.chains_left -= 1
        if request.chains_left == 0:
            self.end(key, True)

    def end(self, key: str, served: bool) -> None:
        request = self.request_by_id.pop(key, None)
        if request is None:
            return
        self.admissions[request.node].end(key, self.now)
        count = self.count_by_kind[request.kind.name]
        count.failed += not served
        count.in_time += served and self.now - request.arrived_at <= request.kind.objective_s


class SurgeOfKindsTest(unittest.TestCase):
    """Half or a third of the endpoints are left, or all of them meet 1.7 times the usual."""

    def test_no_kind_crowds_out_another(self) -> None:
        """Single reads were refused at the nodes whose part of the slots was below one."""
        cases = (
            (SMALL_CALLS, 12, (0.7, 1.6), 1.7),
            (SMALL_CALLS, 12, (0.7, 0.7, 0.7, 1.6), 2.0),
            (LONG_CALLS, 36, (1.0,), 1.0),
            (LONG_CALLS, 36, (1.0, 1.0), 1.7),
        )
        for kinds, slots, speeds, surge in cases:
            with self.subTest(speeds=speeds, surge=surge):
                counts = Model(kinds, slots, speeds).play(surge)
                payment, view, browse = (counts[kind.name].part for kind in kinds)
                self.assertGreater(view, 0.75 * payment)
                self.assertGreater(browse, 0.25 * max(payment, view))
                self.assertGreater(payment, view - 0.05)

    def test_few_requests_are_admitted_that_cannot_finish(self) -> None:
        counts = Model(LONG_CALLS, 36, (1.0, 1.0)).play(1.7)
        asked = sum(count.asked for count in counts.values())
        failed = sum(count.failed for count in counts.values())
        self.assertLess(failed, 0.05 * asked)
