"""Guards against a queue that lets endpoints reject, wastes running trees or holds what is late."""

from __future__ import annotations

import unittest

from pollenglade_core.calls.outcome import Reason
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import Reject
from pollenglade_core.serving.endpoint_queue import Start


def request(
    name: str,
    nested: bool = False,
    rank: int = 1,
    deadline: float = 5.0,
    objective: float = 2.0,
) -> QueuedRequest:
    """Return a request with times relative to zero."""
    return QueuedRequest(name, nested, rank, deadline, objective)


class QueueTest(unittest.TestCase):
    """One endpoint with four usable slots."""

    def setUp(self) -> None:
        self.queue = EndpointQueue(5)
        for number in range(4):
            self.queue.offer(request(f"running{number}"), 0.0)

    def test_never_more_at_the_endpoint_than_its_usable_slots(self) -> None:
        self.assertEqual(self.queue.offer(request("next"), 0.0), [])
        self.assertEqual((self.queue.running, self.queue.waiting), (4, 1))

    def test_rank_goes_first_then_nested_requests_then_the_objective(self) -> None:
        for item in (
            request("root-late", objective=3.0),
            request("root-early", objective=1.0),
            request("root-important", rank=0, objective=3.0),
            request("nested", nested=True, objective=3.0),
            request("nested-unimportant", nested=True, rank=2, objective=0.5),
        ):
            self.queue.offer(item, 0.0)
        order = []
        running = "running0"
        for _ in range(5):
            (action,) = self.queue.finish(running, 0.1)
            running = action.request_id
            order.append(running)
        expected = ["root-important", "nested", "root-early", "root-late", "nested-unimportant"]
        self.assertEqual(order, expected)

    def test_a_request_that_cannot_finish_is_refused_at_once(self) -> None:
        actions = self.queue.offer(request("late", deadline=0.001), 0.0)
        self.assertEqual(actions, [Reject("late", Reason.DEADLINE)])

    def test_waiting_requests_are_refused_when_their_time_is_up(self) -> None:
        self.queue.offer(request("a", deadline=0.5), 0.0)
        self.assertEqual(self.queue.expire(0.2), [])
        self.assertEqual(self.queue.expire(0.499), [Reject("a", Reason.DEADLINE)])
        self.assertEqual(self.queue.waiting, 0)

    def test_a_cancelled_request_frees_its_slot(self) -> None:
        self.queue.offer(request("a"), 0.0)
        self.assertEqual(self.queue.cancel("running0", 0.1), [Start("a")])

    def test_new_roots_are_refused_where_the_queue_exceeds_their_objective(self) -> None:
        for number in range(400):
            self.queue.offer(request(f"w{number}", nested=True), 0.0)
        (action,) = self.queue.offer(request("root", objective=0.1), 0.0)
        self.assertEqual(action, Reject("root", Reason.OVERLOADED))

    def test_a_drain_gives_back_everything_that_waits(self) -> None:
        self.queue.offer(request("a"), 0.0)
        self.assertEqual(self.queue.drain(Reason.DRAINING), [Reject("a", Reason.DRAINING)])
        self.assertEqual(self.queue.finish("running0", 0.1), [])

    def test_more_slots_start_waiting_requests(self) -> None:
        self.queue.offer(request("a"), 0.0)
        self.assertEqual(self.queue.resize(10, 0.1), [Start("a")])


class FailureRateTest(unittest.TestCase):
    """Requests of an endpoint that fails and is well again."""

    def test_a_failing_time_is_forgotten_although_few_requests_show_it(self) -> None:
        """Call trees are refused while the rate is high, so few requests are left."""
        queue = EndpointQueue(5)
        for step in range(400):
            queue.note_result(step % 20 < 11, step * 0.01)
        self.assertAlmostEqual(queue.failure_rate, 0.55, delta=0.25)
        for step in range(15):
            queue.note_result(False, 4.0 + step * 0.1)
        self.assertLess(queue.failure_rate, 0.1)
