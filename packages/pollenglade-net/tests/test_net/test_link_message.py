"""Guards against decoders that need much memory and calls that lose a field on the link."""

from __future__ import annotations

import tracemalloc
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Kind
from pollenglade_net.link_message import pack_refusal
from pollenglade_net.link_message import pack_request
from pollenglade_net.link_message import pack_response
from pollenglade_net.link_message import unpack_feedback
from pollenglade_net.link_message import unpack_refusal
from pollenglade_net.link_message import unpack_request
from pollenglade_net.message_decoder import MessageDecoder

MAX_IDLE_LINK_BYTES = 32 * 1024
"""A node with links to 880 others then needs less than 28 of its 64 MB for their decoders."""


ODD_FIGURES = (float("nan"), float("inf"), float("-inf"), -1.0, 1e300)


class LinkMessageTest(unittest.TestCase):
    def test_the_decoder_of_a_link_takes_a_megabyte(self) -> None:
        """At 69 nodes a node needed 70 MB in place of 47 MB at 14."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        decoders = [MessageDecoder() for _ in range(20)]
        for decoder in decoders:
            self.assertEqual(decoder.feed(msgpack.packb([1, "x"])), [[1, "x"]])
        used_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(used_bytes, len(decoders) * MAX_IDLE_LINK_BYTES)

    @given(st.lists(st.binary(max_size=40_000), max_size=6), st.integers(1, 30_000))
    def test_parts_of_messages_of_two_links_are_mixed_up(
        self, bodies: list[bytes], part_bytes: int
    ) -> None:
        data = b"".join(map(msgpack.packb, bodies))
        decoders = MessageDecoder(), MessageDecoder()
        decoded: tuple[list[object], list[object]] = [], []
        for start in range(0, len(data), part_bytes):
            for decoder, messages in zip(decoders, decoded, strict=True):
                messages += decoder.feed(data[start : start + part_bytes])
        self.assertEqual(decoded, (bodies, bodies))

    def test_a_call_that_must_not_wait_waits_at_the_peer(self) -> None:
        for may_wait in (True, False):
            context = CallContext(
                "c", "o", "", "s", Importance.NORMAL, 9.0, RetryAllowance(1), may_wait=may_wait
            )
            message = msgpack.unpackb(pack_request(1, context, HttpRequest("GET", b"/", []), 1.0))
            self.assertEqual(unpack_request(message, 1.0)[0].may_wait, may_wait)
            # An older node sends no such element, and its calls may wait.
            del message[2][15:]
            self.assertTrue(unpack_request(message, 1.0)[0].may_wait)

    def test_figures_that_are_no_numbers_enter_the_averages_of_a_tree(self) -> None:
        """One of them stayed there, and the node refused the route for ever."""
        usage = (("calls", 1.0, 0.2, 0.0), *(("jury", 1.0, odd, 0.0) for odd in ODD_FIGURES))
        feedback = Feedback(1, 0, float("nan"), float("inf"), usage)
        message = msgpack.unpackb(pack_response(1, 200, [], b"", True, feedback))
        decoded = unpack_feedback(message, 6)
        self.assertEqual(decoded, Feedback(1, usage=(("calls", 1.0, 0.2, 0.0),)))
        for odd in ODD_FIGURES:
            refusal = Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, odd)
            message = msgpack.unpackb(pack_refusal(Kind.REFUSED, 1, refusal, Feedback()))
            self.assertIsNone(unpack_refusal(message)[0].retry_after_s)
