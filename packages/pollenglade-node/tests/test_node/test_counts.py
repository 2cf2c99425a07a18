"""Guards against calls that are missing, counted twice or mislabelled in batches and metrics."""

from __future__ import annotations

import re
import unittest
from time import monotonic

import orjson
from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import unpack_feedback
from pollenglade_node.entry.call_counter import CALLER_FAULT_REASONS
from pollenglade_node.entry.call_counter import CallCounter
from pollenglade_node.entry.count_batches import CountBatches
from pollenglade_node.node import Node
from pollenglade_node.settings import NodeSettings


def context(organisation: str, remaining_s: float = 9.0) -> CallContext:
    """Return the context of a call whose deadline is in `remaining_s` seconds."""
    deadline = monotonic() + remaining_s
    allowance = RetryAllowance(0)
    return CallContext("c", organisation, "p", "fees", Importance.NORMAL, deadline, allowance)


def request(target: bytes) -> HttpRequest:
    """Return a GET request for a target."""
    return HttpRequest("GET", target, [])


class CountBatchesTest(unittest.IsolatedAsyncioTestCase):
    @given(
        st.lists(
            st.one_of(
                st.just("cut"), st.sampled_from(["acme", "birch"]), st.sampled_from(list(Reason))
            )
        )
    )
    def test_each_call_is_in_one_batch(self, events: list[str | Reason]) -> None:
        """A call missing from the batches or in two of them would falsify the monitor's sums."""
        counter = CallCounter()
        batches = CountBatches("n", 1, counter)
        for number, event in enumerate(events):
            if event == "cut":
                batches.close_batch(float(number))
            elif isinstance(event, Reason):
                counter.count_refusal(event)
            else:
                counter.count_response(context(event), 200, 0.1, 0.1)
        batches.close_batch(1e6)
        all_batches = batches.batches_after(0)
        self.assertEqual(list(range(1, events.count("cut") + 2)), [b.sequence for b in all_batches])
        counts = [count for batch in all_batches for count in batch.counts]
        self.assertEqual(len(events) - events.count("cut"), sum(c.calls for c in counts))
        bad = sum(isinstance(e, Reason) and e not in CALLER_FAULT_REASONS for e in events)
        self.assertEqual(bad, sum(c.bad for c in counts))
        for name in ("acme", "birch"):
            calls = sum(c.calls for c in counts if c.organisation == name)
            self.assertEqual(events.count(name), calls)

    async def test_reader_continues_after_a_batch(self) -> None:
        """If a reader got batches twice or not at all, it could not detect a gap, and so a loss."""
        counter = CallCounter()
        batches = CountBatches("n", 1, counter)
        for status, remaining_s in ((200, 9.0), (503, 9.0), (200, -1.0)):
            counter.count_response(context("acme", remaining_s), status, 0.1, 0.1)
            batches.close_batch(0.0)
        response = orjson.loads((await batches.serve(request(b"/v1/counts?since=1"))).body)
        self.assertEqual([2, 3], [batch["sequence"] for batch in response["batches"]])
        bad = [batch["counts"][0]["bad"] for batch in response["batches"]]
        self.assertEqual([1, 1], bad, "a failed and a late response miss the objective")


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_metrics_agree_with_the_counters(self) -> None:
        """If a series were merged, misnamed or not escaped, the monitor would miss calls."""
        address = "127.0.0.1:1"
        settings = NodeSettings(
            node="n1",
            zone="east",
            caller_address=address,
            link_address=address,
            control_address=address,
            platform_url=f"http://{address}",
        )
        node = Node(settings)
        for organisation in range(2_500):
            node.counter.count_response(context(f"o{organisation}"), 200, 0.5, 0.4996)
        node.counter.count_failure(context('a"b\\'), Outcome.NOT_RUN, Reason.OVER_RATE, 0.1)
        node.counter.count_refusal(Reason.KEY_UNKNOWN)
        response = await node.metrics.serve(request(b"/metrics"))
        await node.close()
        text = response.body.decode()
        calls = re.findall(r"^pollenglade_calls_total{(.*)} (\d+)$", text, re.MULTILINE)
        self.assertEqual(2_501, sum(int(count) for _, count in calls))
        self.assertEqual(2_501, len({labels for labels, _ in calls}))
        refused = r'organisation="a\"b\\",service="fees",profile="p",outcome="not-run"'
        self.assertIn((refused + ',reason="over-rate"', "1"), calls)
        bucket = 'pollenglade_added_latency_seconds_bucket{claim="false",le="%s"} %d\n'
        self.assertIn(bucket % ("0.0002", 0), text)
        self.assertIn(bucket % ("0.00043", 2_500), text)
        self.assertIn(bucket % ("+Inf", 2_500), text)
        self.assertIn('pollenglade_unattributed_total{reason="key-unknown"} 1\n', text)
        names = re.findall(r"^# TYPE (\S+) ", text, re.MULTILINE)
        self.assertEqual(len(names), len(set(names)))


class FeedbackTest(unittest.TestCase):
    def test_feedback_of_an_earlier_release(self) -> None:
        """During a rolling upgrade an older peer sends feedback without the time at the target."""
        self.assertEqual(Feedback(1, 2, 0.5), unpack_feedback([1, 2, 0.5], 0))
        self.assertEqual(Feedback(1, 2, 0.5, 0.25), unpack_feedback([1, 2, 0.5, 0.25], 0))
