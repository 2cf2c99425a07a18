"""Tests that the queue keeps to the usable slots and priorities and rejects late requests."""

from __future__ import annotations

import unittest

from pollenglade_core.calls.outcome import Reason
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import RejectRequest
from pollenglade_core.serving.endpoint_queue import StartRequest


def make_request(
    name: str,
    nested: bool = False,
    rank: int = 1,
    deadline: float = 5.0,
    objective: float = 2.0,
) -> QueuedRequest:
    """Return a request with times relative to zero."""
    return QueuedRequest(name, nested, rank, deadline, objective)


class EndpointQueueTest(unittest.TestCase):
    """One endpoint with four usable slots."""

    def setUp(self) -> None:
        self.queue = EndpointQueue(5)
        for number in range(4):
            self.queue.offer(make_request(f"running{number}"), 0.0)

    def test_requests_above_the_usable_slots_wait(self) -> None:
        """An endpoint that gets more requests than its usable slots slows down."""
        self.assertEqual(self.queue.offer(make_request("next"), 0.0), [])
        self.assertEqual((self.queue.running, self.queue.waiting), (4, 1))

    def test_requests_start_by_rank_then_nested_then_objective(self) -> None:
        """A wrong order delays important requests or those whose parents have done work."""
        for queued in (
            make_request("root-late", objective=3.0),
            make_request("root-early", objective=1.0),
            make_request("root-important", rank=0, objective=3.0),
            make_request("nested", nested=True, objective=3.0),
            make_request("nested-unimportant", nested=True, rank=2, objective=0.5),
        ):
            self.queue.offer(queued, 0.0)
        started_ids = []
        running_id = "running0"
        for _ in range(5):
            (action,) = self.queue.finish(running_id, 0.1)
            running_id = action.request_id
            started_ids.append(running_id)
        expected_ids = ["root-important", "nested", "root-early", "root-late", "nested-unimportant"]
        self.assertEqual(started_ids, expected_ids)

    def test_a_request_that_cannot_finish_is_refused_at_once(self) -> None:
        """Running it would take a slot for a response that comes after the deadline."""
        actions = self.queue.offer(make_request("late", deadline=0.001), 0.0)
        self.assertEqual(actions, [RejectRequest("late", Reason.DEADLINE)])

    def test_waiting_requests_are_refused_once_they_are_late(self) -> None:
        """A late request in the queue would still take a slot."""
        self.queue.offer(make_request("a", deadline=0.5), 0.0)
        self.assertEqual(self.queue.expire(0.2), [])
        self.assertEqual(self.queue.expire(0.499), [RejectRequest("a", Reason.DEADLINE)])
        self.assertEqual(self.queue.waiting, 0)

    def test_a_cancelled_request_frees_its_slot(self) -> None:
        """A slot that stays taken after a cancellation is lost to all later requests."""
        self.queue.offer(make_request("a"), 0.0)
        self.assertEqual(self.queue.cancel("running0", 0.1), [StartRequest("a")])

    def test_new_roots_are_refused_where_the_queue_exceeds_their_objective(self) -> None:
        """A root request that waits beyond its objective would get a response of little value."""
        for number in range(400):
            self.queue.offer(make_request(f"w{number}", nested=True), 0.0)
        (action,) = self.queue.offer(make_request("root", objective=0.1), 0.0)
        self.assertEqual(action, RejectRequest("root", Reason.OVERLOADED))

    def test_a_drain_rejects_all_waiting_requests(self) -> None:
        """A request that starts after the drain would reach an endpoint that is stopping."""
        self.queue.offer(make_request("a"), 0.0)
        self.assertEqual(self.queue.drain(Reason.DRAINING), [RejectRequest("a", Reason.DRAINING)])
        self.assertEqual(self.queue.finish("running0", 0.1), [])

    def test_more_slots_start_waiting_requests(self) -> None:
        """Without a finished request, the new slots would stay unused."""
        self.queue.offer(make_request("a"), 0.0)
        self.assertEqual(self.queue.resize(10, 0.1), [StartRequest("a")])


class FailureRateTest(unittest.TestCase):
    """Failure rate of an endpoint that fails and recovers."""

    def test_the_failure_rate_falls_with_few_requests(self) -> None:
        """Call trees are refused while the rate is high, so few requests can show the recovery."""
        queue = EndpointQueue(5)
        for step in range(400):
            queue.record_result(step % 20 < 11, step * 0.01)
        self.assertAlmostEqual(queue.failure_rate(4.0), 0.55, delta=0.25)
        for step in range(15):
            queue.record_result(False, 4.0 + step * 0.1)
        self.assertLess(queue.failure_rate(5.5), 0.1)

    def test_an_endpoint_that_gets_no_requests_has_failed_for_ever(self) -> None:
        """Callers refused the trees that need its service, so it got no request that succeeded."""
        queue = EndpointQueue(5)
        for step in range(40):
            queue.record_result(True, step * 0.1)
        self.assertGreater(queue.failure_rate(3.9), 0.9)
        self.assertGreater(queue.failure_rate(4.9), 0.9)
        self.assertEqual(queue.failure_rate(8.0), 0.0)
        queue.record_result(False, 8.0)
        self.assertEqual(queue.failure_rate(8.0), 0.0)

    def test_an_idle_endpoint_rejects_short_requests_after_a_slow_phase_for_ever(self) -> None:
        """All requests got 503, as only a request that was served could change the expected time.

        Longer requests were slow for a while; afterwards only requests with 1.2 s left arrive.
        """
        queue = EndpointQueue(5)
        for step in range(60):
            queue.offer(make_request(f"slow{step}", deadline=999.0), step * 4.0)
            queue.finish(f"slow{step}", step * 4.0 + 3.0)
        served = 0
        for step in range(100):
            now = 240.0 + step * 0.1
            request = make_request(f"short{step}", deadline=now + 1.2)
            if queue.offer(request, now) == [StartRequest(request.request_id)]:
                queue.finish(request.request_id, now + 0.05)
                served += 1
        self.assertGreater(served, 50)

    def test_a_measurement_after_a_long_time_hardly_changes_the_expected_time(self) -> None:
        queue = EndpointQueue(5)
        for step in range(100):
            queue.offer(make_request(f"slow{step}", deadline=999.0), step * 1.0)
            queue.finish(f"slow{step}", step * 1.0 + 0.6)
        self.assertAlmostEqual(queue.expected_s, 0.6, delta=0.05)
        queue.offer(make_request("fast", deadline=999.0), 120.0)
        queue.finish("fast", 120.05)
        self.assertLess(queue.expected_s, 0.35)


class RateLimitedQueueTest(unittest.TestCase):
    """One endpoint with 95 usable slots that takes two requests a second."""

    def setUp(self) -> None:
        self.queue = EndpointQueue(100)
        self.queue.set_rate_limit(2.0, 0.0)

    def test_requests_beyond_the_rate_limit_start_at_once(self) -> None:
        for number in range(3):
            self.assertEqual(self.queue.offer(make_request(str(number)), 0.0), [])
        self.assertEqual(self.queue.expire(0.4), [])
        self.assertEqual(self.queue.expire(0.55), [StartRequest("0")])
        self.assertEqual(self.queue.expire(1.05), [StartRequest("1")])

    def test_an_important_request_waits_behind_unimportant_ones(self) -> None:
        for number in range(3):
            self.queue.offer(make_request(str(number), rank=2), 0.0)
        self.assertEqual(self.queue.offer(make_request("pay", rank=0, objective=0.6), 0.0), [])
        self.assertEqual(self.queue.expire(0.55), [StartRequest("pay")])

    def test_a_nested_request_that_the_limit_delays_too_long_waits_until_it_is_late(self) -> None:
        """Its entry node could have placed it at another endpoint in the meantime."""
        for number in range(3):
            self.queue.offer(make_request(str(number), nested=True), 0.0)
        (action,) = self.queue.offer(make_request("late", nested=True, deadline=1.5), 0.0)
        self.assertEqual(action, RejectRequest("late", Reason.OVERLOADED))

    def test_a_displaced_request_waits_until_it_is_late(self) -> None:
        self.queue.offer(make_request("browse", nested=True, rank=2, deadline=0.8), 0.0)
        self.queue.offer(make_request("pay", rank=0, objective=2.0), 0.1)
        self.assertEqual(self.queue.expire(0.2), [RejectRequest("browse", Reason.OVERLOADED)])

    def test_a_lifted_limit_keeps_requests_waiting(self) -> None:
        for number in range(3):
            self.queue.offer(make_request(str(number)), 0.0)
        self.assertEqual(len(self.queue.set_rate_limit(None, 0.1)), 3)

    def test_many_requests_start_before_the_endpoint_has_responded_once(self) -> None:
        """A restarted node does not know the limit that the endpoint named before."""
        queue = EndpointQueue(100)
        queue.await_first_response(0.0)
        started = [queue.offer(make_request(str(number)), 0.0) for number in range(5)]
        self.assertEqual(sum(len(actions) for actions in started), 2)
        self.assertEqual(len(queue.on_response(0.1)), 3)

    def test_two_requests_without_response_block_the_endpoint(self) -> None:
        queue = EndpointQueue(100)
        queue.await_first_response(0.0)
        for number in range(5):
            queue.offer(make_request(str(number)), 0.0)
        self.assertEqual(len(queue.expire(1.01)), 3)
