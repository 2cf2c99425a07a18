"""Guards against responses delivered to the wrong call and against malformed messages."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from time import monotonic
from unittest.mock import Mock

import msgpack
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_net.attempt import Attempt
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link import MAX_HANDSHAKE_BYTES
from pollenglade_net.link import MAX_STRANGER_MESSAGE_BYTES
from pollenglade_net.link import PING_AFTER_IDLE_S
from pollenglade_net.link import PONG_TIMEOUT_S
from pollenglade_net.link import Link
from pollenglade_net.link_message import BODY_PART_BYTES
from pollenglade_net.link_message import HIGHEST_VERSION
from pollenglade_net.link_message import MAX_LINK_BODY_BYTES
from pollenglade_net.link_message import MAX_MESSAGE_BYTES
from pollenglade_net.link_message import READ_AHEAD_BYTES
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Hello
from pollenglade_net.link_message import Kind
from pollenglade_net.link_message import pack
from pollenglade_net.link_message import pack_request
from pollenglade_net.memory_budget import MemoryBudget

WAIT_TIMEOUT_S = 5.0


class CollectingSink:
    """Collects the result of one call."""

    def __init__(self) -> None:
        self.result: asyncio.Future[bytes | Refusal] = asyncio.get_running_loop().create_future()
        self._chunks: list[bytes] = []
        self.event_count = 0

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self._finish(body)

    def on_head(self, status: int, headers: Headers) -> None:
        self.event_count += 1

    def on_data(self, data: bytes) -> None:
        self._chunks.append(data)

    def on_end(self, feedback: Feedback) -> None:
        self._finish(b"".join(self._chunks))

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self._finish(refusal)

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self._finish(refusal)

    def _finish(self, result: bytes | Refusal) -> None:
        self.event_count += 1
        self.result.set_result(result)


@dataclass
class RunningCall:
    """A call at the serving node."""

    body: bytes
    sink: AttemptSink
    cancelled: bool = False
    credited_bytes: int = 0

    def cancel(self) -> None:
        self.cancelled = True

    def withdraw(self) -> bool:
        return False

    def credit(self, credit_bytes: int) -> None:
        self.credited_bytes += credit_bytes


@dataclass
class LinkEnd:
    """Owner of one end of a link; records the calls and links that it receives."""

    name: str
    lowest_version: int = HIGHEST_VERSION
    highest_version: int = HIGHEST_VERSION
    calls: list[RunningCall] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    knows_peer: bool = True
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    memory_budget: MemoryBudget = field(default_factory=MemoryBudget)

    @property
    def hello(self) -> Hello:
        return Hello(self.name, 1, "zone-a", self.lowest_version, self.highest_version)

    def run_call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        call = RunningCall(bytes(request.body), sink)
        self.calls.append(call)
        self.arrived.set()
        return call

    def handle_query(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        answer([topic, payload])

    def is_member(self, link: Link) -> bool:
        return self.knows_peer

    def on_link_accepted(self, link: Link) -> None:
        pass

    def on_link_open(self, link: Link) -> None:
        self.links.append(link)

    def on_link_drain(self, link: Link) -> None:
        self.arrived.set()

    def on_link_closed(self, link: Link) -> None:
        self.closed.set()


def context(call_number: int) -> CallContext:
    """Return the context of a call, with its number as identifier."""
    return CallContext(
        f"c{call_number}",
        "acme",
        "p",
        "fees",
        Importance.NORMAL,
        monotonic() + 9.0,
        RetryAllowance(1),
    )


def request(body: bytes) -> HttpRequest:
    """Return a request with a body."""
    return HttpRequest("POST", b"/x", [(b"accept", b"*/*")], body)


class LinkPair:
    """Two link ends over a loopback connection, or one end and a raw connection."""

    def __init__(self) -> None:
        self.client = LinkEnd("client")
        self.server = LinkEnd("server")

    async def listen(self) -> int:
        """Start the serving node and return its port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Link(self.server), "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def connect(self) -> Link:
        """Connect the calling node and wait for the handshake."""
        port = await self.listen()
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(lambda: Link(self.client), "127.0.0.1", port)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await link.ready
        return link

    async def wait_calls(self, count: int) -> None:
        """Wait until the serving node has received `count` calls."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(self.server.calls) < count:
                self.server.arrived.clear()
                await self.server.arrived.wait()

    async def close(self) -> None:
        """Close both ends."""
        for link in [*self.client.links, *self.server.links]:
            link.close("the test is over")
        self._server.close()
        await asyncio.sleep(0)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.link_pair = LinkPair()

    async def asyncTearDown(self) -> None:
        await self.link_pair.close()

    async def test_late_and_reordered_responses_reach_their_calls(self) -> None:
        """A response matched by order instead of by stream would reach the wrong caller."""
        link = await self.link_pair.connect()
        sinks = [CollectingSink() for _ in range(50)]
        for call_number, sink in enumerate(sinks):
            link.call(context(call_number), request(b"%d" % call_number), sink)
        await self.link_pair.wait_calls(50)
        for call in reversed(self.link_pair.server.calls):
            call.sink.on_response(200, [], b"to-" + call.body, Feedback())
        for call_number, sink in enumerate(sinks):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                self.assertEqual(b"to-%d" % call_number, await sink.result)

    async def test_call_that_is_cancelled_before_it_was_sent_reaches_the_peer(self) -> None:
        """A call cancelled while it is still queued must not be sent."""
        link = await self.link_pair.connect()
        link.call(context(1), request(b"gone"), CollectingSink()).cancel()
        link.call(context(2), request(b"kept"), CollectingSink())
        await self.link_pair.wait_calls(1)
        self.assertEqual([b"kept"], [call.body for call in self.link_pair.server.calls])

    async def test_call_that_was_not_sent_before_the_close_may_have_run(self) -> None:
        """An unknown outcome forbids another attempt, although the call has not left this end.

        It must not be sent by the close either; a call that has been sent may have run.
        """
        for abort in (False, True):
            with self.subTest(abort=abort):
                link = await self.link_pair.connect()
                self.link_pair.server.calls.clear()
                sent, unsent = CollectingSink(), CollectingSink()
                link.call(context(1), request(b"sent"), sent)
                await self.link_pair.wait_calls(1)
                link.call(context(2), request(b"unsent"), unsent)
                self.link_pair.server.closed.clear()
                link.close("the link is silent", abort=abort)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    refusals = [await sent.result, await unsent.result]
                    await self.link_pair.server.closed.wait()
                outcomes = [item.outcome for item in refusals if isinstance(item, Refusal)]
                self.assertEqual([Outcome.UNKNOWN, Outcome.NOT_RUN], outcomes)
                self.assertEqual([b"sent"], [call.body for call in self.link_pair.server.calls])

    async def test_bodies_above_the_limit_of_a_message_close_the_link(self) -> None:
        """Bodies in parts arrive whole, also if several are sent at the same time."""
        link = await self.link_pair.connect()
        bodies = {b"a": MAX_LINK_BODY_BYTES + 1, b"b": 3 * BODY_PART_BYTES, b"c": 1}
        for letter, size in bodies.items():
            link.call(context(ord(letter)), request(letter * size), CollectingSink())
        await self.link_pair.wait_calls(3)
        calls = self.link_pair.server.calls
        self.assertEqual(bodies, {call.body[:1]: len(call.body) for call in calls})
        for call in calls:
            call.sink.on_response(200, [], b"", Feedback())
        self.assertEqual(0, self.link_pair.server.memory_budget.reserved_bytes)

    async def test_call_whose_body_was_not_sent_whole_may_have_run(self) -> None:
        """A call is withdrawn, or not run at a close, until the last part of its body is sent."""
        for ends_by_close in (False, True):
            with self.subTest(ends_by_close=ends_by_close):
                link = await self.link_pair.connect()
                budget = self.link_pair.server.memory_budget
                sink = CollectingSink()
                attempt = link.call(context(1), request(b"a" * 64 * BODY_PART_BYTES), sink)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while not budget.reserved_bytes:
                        await asyncio.sleep(0)
                if ends_by_close:
                    link.close("the link is silent", abort=True)
                    refusal = await sink.result
                    assert isinstance(refusal, Refusal)
                    self.assertIs(Outcome.NOT_RUN, refusal.outcome)
                else:
                    self.assertTrue(attempt.withdraw())
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while budget.reserved_bytes:
                        await asyncio.sleep(0.01)
                self.assertEqual([], self.link_pair.server.calls)

    async def test_bodies_take_more_memory_than_the_node_has(self) -> None:
        """A body beyond the budget is refused as not run, and the link stays open."""
        link = await self.link_pair.connect()
        self.link_pair.server.memory_budget.limit_bytes = 2 * BODY_PART_BYTES
        sink, later_sink = CollectingSink(), CollectingSink()
        link.call(context(1), request(b"a" * 3 * BODY_PART_BYTES), sink)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            refusal = await sink.result
        assert isinstance(refusal, Refusal)
        self.assertIs(Outcome.NOT_RUN, refusal.outcome)
        link.call(context(2), request(b"b" * 2 * BODY_PART_BYTES), later_sink)
        await self.link_pair.wait_calls(1)
        self.assertEqual([b"b"], [call.body[:1] for call in self.link_pair.server.calls])

    async def test_a_body_without_its_end_takes_memory_after_the_deadline(self) -> None:
        """A calling node that is paused sends neither the rest of a body nor a cancellation."""
        await self.link_pair.connect()
        (link,) = self.link_pair.server.links
        size = 2 * BODY_PART_BYTES
        now = monotonic()
        link.data_received(pack_request(7, context(1), request(b"a" * size), now, True))
        self.assertEqual(size, self.link_pair.server.memory_budget.reserved_bytes)
        link.check_liveness(now + 60.0)
        self.assertEqual(0, self.link_pair.server.memory_budget.reserved_bytes)

    async def test_unknown_peers_send_large_incomplete_messages(self) -> None:
        """Anyone may connect; only members may make a node hold a large incomplete message."""
        await self.link_pair.connect()
        part = b"\x92\x00\xc6\x00\xf0\x00\x00" + bytes(MAX_HANDSHAKE_BYTES)
        hello = Hello("n9", 1, "zone-a").to_wire()
        rest = bytes(MAX_STRANGER_MESSAGE_BYTES)
        cases = [
            (False, [part], True),
            (False, [hello, part], False),
            (False, [hello, part, rest], True),
            (True, [hello, part, rest], False),
        ]
        for knows_peer, messages, is_closed in cases:
            with self.subTest(knows_peer=knows_peer, messages=len(messages)):
                end = LinkEnd("n1", knows_peer=knows_peer)
                link = Link(end, is_accepted=True)
                link.close = Mock()  # type: ignore[method-assign]
                for message in messages:
                    link.data_received(message)
                self.assertEqual(is_closed, link.close.called)

    async def test_a_status_that_is_none_reaches_the_caller(self) -> None:
        """The entry node must not forward it; other calls on the link go on."""
        link = await self.link_pair.connect()
        statuses = (0, 7, 99, 100, 101, 199, 1000, 2000, -200, True)
        sinks = [CollectingSink() for _ in range(2 * len(statuses) + 1)]
        for number, sink in enumerate(sinks):
            link.call(context(number), request(b"a"), sink)
        await self.link_pair.wait_calls(len(sinks))
        *calls, last = self.link_pair.server.calls
        for status, whole, streamed in zip(statuses, calls[::2], calls[1::2], strict=True):
            whole.sink.on_response(status, [], b"", Feedback())
            streamed.sink.on_head(status, [])
        last.sink.on_response(999, [], b"last", Feedback())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            *results, last_result = [await sink.result for sink in sinks]
            while not all(call.cancelled for call in calls[1::2]):
                await asyncio.sleep(0.01)
        for result in results:
            assert isinstance(result, Refusal)
            self.assertIs(Outcome.UNKNOWN, result.outcome)
        self.assertEqual(b"last", last_result)

    async def test_body_of_a_peer_of_an_earlier_release_is_sent_in_parts(self) -> None:
        """A peer that ignores parts would run the call without its body."""
        self.link_pair.server.lowest_version = self.link_pair.server.highest_version = 1
        self.link_pair.client.lowest_version = 1
        link = await self.link_pair.connect()
        sink = CollectingSink()
        link.call(context(1), request(b"a" * (MAX_LINK_BODY_BYTES + 1)), sink)
        refusal = await sink.result
        assert isinstance(refusal, Refusal)
        self.assertIs(Outcome.NOT_RUN, refusal.outcome)
        link.call(context(2), request(b"a" * 3 * BODY_PART_BYTES), CollectingSink())
        await self.link_pair.wait_calls(1)
        self.assertEqual(3 * BODY_PART_BYTES, len(self.link_pair.server.calls[0].body))

    async def test_call_that_is_read_together_with_its_cancellation_starts(self) -> None:
        """A peer that was stalled reads calls together with their cancellations."""
        await self.link_pair.connect()
        (link,) = self.link_pair.server.links
        now = monotonic()
        link.data_received(
            pack_request(7, context(1), request(b"gone"), now)
            + pack_request(9, context(2), request(b"kept"), now)
            + pack([Kind.CANCEL, 7])
        )
        self.assertEqual([b"kept"], [call.body for call in self.link_pair.server.calls])

    async def test_call_that_is_read_after_its_link_was_closed_starts(self) -> None:
        """A call that is read after the calling node closed the link must not run."""
        link = await self.link_pair.connect()
        link.call(context(1), request(b"gone"), CollectingSink())
        link.close("the caller's node ends")
        await self.link_pair.server.closed.wait()
        self.assertEqual([], self.link_pair.server.calls)

    async def test_cancelled_call_receives_no_late_response(self) -> None:
        """A response that crosses its cancellation must not reach the cancelled sink."""
        link = await self.link_pair.connect()
        cancelled_sink, kept_sink = CollectingSink(), CollectingSink()
        attempt = link.call(context(1), request(b"gone"), cancelled_sink)
        link.call(context(2), request(b"kept"), kept_sink)
        await self.link_pair.wait_calls(2)
        attempt.cancel()
        first, second = self.link_pair.server.calls
        first.sink.on_response(200, [], b"late", Feedback())
        second.sink.on_response(200, [], b"kept", Feedback())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"kept", await kept_sink.result)
        self.assertEqual(0, cancelled_sink.event_count)

    async def test_cancel_stops_the_call_at_the_serving_node(self) -> None:
        """Work for a caller that has disconnected must stop."""
        link = await self.link_pair.connect()
        attempt = link.call(context(1), request(b""), CollectingSink())
        await self.link_pair.wait_calls(1)
        attempt.cancel()
        sink = CollectingSink()
        link.call(context(2), request(b""), sink)
        await self.link_pair.wait_calls(2)
        self.assertTrue(self.link_pair.server.calls[0].cancelled)

    async def test_streamed_body_cut_off_by_its_link_is_a_failure(self) -> None:
        """A body cut off by a closed link must not be reported as a complete response."""
        link = await self.link_pair.connect()
        sink = CollectingSink()
        link.call(context(1), request(b""), sink)
        await self.link_pair.wait_calls(1)
        call = self.link_pair.server.calls[0]
        call.sink.on_head(200, [])
        call.sink.on_data(b"half")
        await asyncio.sleep(0)
        self.link_pair.server.links[0].close("broken", abort=False)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            result = await sink.result
        assert isinstance(result, Refusal)
        self.assertIs(Outcome.UNKNOWN, result.outcome)

    async def test_a_query_on_a_closed_link_has_no_reply(self) -> None:
        """Who waits for it would ask nobody again, for example for a newer manifest."""
        link = await self.link_pair.connect()
        replies: list[object] = []
        link.close("broken", abort=True)
        link.query("policy", 1, replies.append)
        self.assertEqual([None], replies)

    async def test_silent_link_ends_open_calls(self) -> None:
        """A peer that no longer responds to pings must not block calls until their deadline."""
        port = await self.link_pair.listen()
        hello_message = Hello("silent", 1, "zone-a").to_wire()

        async def accept_silently(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(hello_message)
            await reader.read()

        server = await asyncio.start_server(accept_silently, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.assertGreater(port, 0)
        loop = asyncio.get_running_loop()
        silent_port = server.sockets[0].getsockname()[1]
        _, link = await loop.create_connection(
            lambda: Link(self.link_pair.client), "127.0.0.1", silent_port
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await link.ready
        sink = CollectingSink()
        link.call(context(1), request(b""), sink)
        await asyncio.sleep(0)  # The call is written, so that the peer may have run it.
        now = monotonic()
        link.check_liveness(now + PING_AFTER_IDLE_S + 0.01)
        link.check_liveness(now + PING_AFTER_IDLE_S + PONG_TIMEOUT_S + 0.1)
        result = await sink.result
        assert isinstance(result, Refusal)
        self.assertIs(Outcome.UNKNOWN, result.outcome)

    async def test_unknown_kinds_and_elements_are_ignored(self) -> None:
        """In a rolling replacement, a newer peer may send kinds and elements unknown here."""
        link = await self.link_pair.connect()
        link.send(pack([99, 1, "new"]))
        link.send(pack([Kind.PING, 1, "more"]))
        sink = CollectingSink()
        link.call(context(1), request(b"x"), sink)
        await self.link_pair.wait_calls(1)
        self.link_pair.server.calls[0].sink.on_response(200, [], b"ok", Feedback())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(b"ok", await sink.result)

    async def test_versions_without_overlap_close_the_link(self) -> None:
        """Two releases without a common version must not exchange calls."""
        self.link_pair.client.lowest_version = self.link_pair.client.highest_version = (
            HIGHEST_VERSION + 1
        )
        with self.assertRaises(ConnectionError):
            await self.link_pair.connect()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self.link_pair.server.closed.wait()


async def send_bytes(data: bytes, hello_first: bool) -> bool:
    """Send raw bytes to a node; return whether it still accepts a new link afterwards."""
    link_pair = LinkPair()
    port = await link_pair.listen()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    if hello_first:
        writer.write(Hello("raw", 1, "zone-a").to_wire())
    try:
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await reader.read()
    except OSError:
        # The link may close before it has read all bytes.
        pass
    writer.close()
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(lambda: Link(link_pair.client), "127.0.0.1", port)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await link.ready
    is_open = link.is_open
    await link_pair.close()
    return is_open


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.binary() | st.text(),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=20,
)


class MalformedMessageTest(unittest.TestCase):
    @given(st.binary(max_size=400), st.booleans())
    @settings(max_examples=60)
    def test_random_bytes_close_only_their_link(self, data: bytes, hello_first: bool) -> None:
        """Malformed bytes must not affect other links."""
        self.assertTrue(asyncio.run(send_bytes(data, hello_first)))

    @given(st.lists(st.lists(VALUES, max_size=10), max_size=4), st.integers(0, 200))
    @settings(max_examples=60)
    def test_random_messages_close_only_their_link(
        self, messages: list[list[object]], cut_bytes: int
    ) -> None:
        """Truncated msgpack or wrong fields must not affect other links."""
        data = b"".join(msgpack.packb(message) for message in messages)
        self.assertTrue(asyncio.run(send_bytes(data[: len(data) - cut_bytes], True)))

    def test_oversized_message_closes_the_link(self) -> None:
        """A message of unlimited size would exhaust the memory of the node."""
        size = MAX_MESSAGE_BYTES + READ_AHEAD_BYTES + 1
        data = msgpack.packb([Kind.REQUEST, 1, b"a" * size])
        self.assertTrue(asyncio.run(send_bytes(data, True)))
