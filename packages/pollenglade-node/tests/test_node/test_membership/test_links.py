"""Guards against calls that run on at the peer, or are lost, when a link is replaced."""

from __future__ import annotations

import asyncio
import socket
import unittest
import unittest.mock
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from time import monotonic

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_emulator.relay import Relay
from pollenglade_emulator.relay import RelayConduct
from pollenglade_emulator.relay import RelayMode
from pollenglade_net.address import Address
from pollenglade_net.attempt import Attempt
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link import PING_AFTER_IDLE_S
from pollenglade_net.link import PONG_TIMEOUT_S
from pollenglade_net.link import Link
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Hello
from pollenglade_net.link_message import Kind
from pollenglade_net.link_message import pack
from pollenglade_net.link_message import pack_request
from pollenglade_node.membership.links import CHECK_INTERVAL_S
from pollenglade_node.membership.links import Links
from pollenglade_node.membership.links import PeerAddress

WAIT_S = 3.0
CANCELLED_WITHIN_S = PING_AFTER_IDLE_S + PONG_TIMEOUT_S + 3 * CHECK_INTERVAL_S + 0.5
"""Time from the silence of a link until the peer must have cancelled its calls."""


class RefusalRecorder:
    """Records the refusal of one attempt."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        raise AssertionError("unexpected response")

    def on_head(self, status: int, headers: Headers) -> None:
        raise AssertionError("unexpected response")

    def on_data(self, data: bytes) -> None:
        raise AssertionError("unexpected response")

    def on_end(self, feedback: Feedback) -> None:
        raise AssertionError("unexpected response")

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self.refusal = refusal

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self.refusal = refusal


@dataclass
class EndlessCall:
    """A call that runs until it is cancelled."""

    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True

    def withdraw(self) -> bool:
        return False

    def credit(self, credit_bytes: int) -> None:
        raise AssertionError("unexpected flow control credit")


@dataclass
class EndlessRunner:
    """Records the calls that peers sent."""

    calls: list[EndlessCall] = field(default_factory=list)

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        call = EndlessCall()
        self.calls.append(call)
        return call


def context(call_id: str) -> CallContext:
    """Return the context of a call with a distant deadline."""
    return CallContext(
        call_id, "acme", "p", "fees", Importance.NORMAL, monotonic() + 30.0, RetryAllowance(1)
    )


async def wait_until(condition: Callable[[], bool], limit_s: float = WAIT_S) -> None:
    """Wait until a condition is true; raise TimeoutError after `limit_s` seconds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.runner = EndlessRunner()
        self.serving = await self._start_links("serving", self.runner)
        self.entry = await self._start_links("entry", EndlessRunner())
        self.relay = Relay("127.0.0.1", self._listening_port(self.serving))
        await self.relay.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.relay.close)
        address = Address("127.0.0.1", self.relay.port)
        self.entry.peers_by_node["serving"] = PeerAddress(address, 1)

    async def _start_links(self, name: str, runner: EndlessRunner, incarnation: int = 1) -> Links:
        links = Links(Hello(name, incarnation, "z1"), runner)
        await links.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(links.close)
        return links

    def _listening_port(self, links: Links) -> int:
        assert links._server is not None
        return int(links._server.sockets[0].getsockname()[1])

    def _send(self, call_id: str) -> RefusalRecorder:
        sink = RefusalRecorder()
        self.entry.send("serving", context(call_id), HttpRequest("GET", b"/", []), sink)
        return sink

    async def test_calls_of_a_link_that_went_silent_go_on_at_the_peer(self) -> None:
        """The peer must cancel the calls of a silent link.

        The entry node has abandoned them and may have sent them to another node.
        """
        sink = self._send("a")
        await wait_until(lambda: len(self.runner.calls) == 1)
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        await wait_until(lambda: sink.refusal is not None)
        await wait_until(lambda: self.runner.calls[0].cancelled, CANCELLED_WITHIN_S)

    async def test_a_silent_peer_is_suspected_only_when_its_link_is_closed(self) -> None:
        """Requests that are sent until then wait for nothing."""
        suspected: list[str] = []
        self.entry.on_peer_suspected = suspected.append
        sink = self._send("a")
        await wait_until(lambda: len(self.runner.calls) == 1)
        self.assertEqual(suspected, [])
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        await wait_until(lambda: bool(suspected))
        self.assertEqual(set(suspected), {"serving"})
        self.assertIsNone(sink.refusal)

    async def test_a_cancel_message_on_a_silent_link_is_lost(self) -> None:
        """The peer must cancel a call even if the cancel message is lost on a silent link.

        The entry node has no other open call on the link that would make it check the link.
        """
        attempt = self.entry.send(
            "serving", context("a"), HttpRequest("GET", b"/", []), RefusalRecorder()
        )
        await wait_until(lambda: len(self.runner.calls) == 1)
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        assert attempt is not None
        attempt.cancel()
        await wait_until(lambda: self.runner.calls[0].cancelled, CANCELLED_WITHIN_S)

    async def test_a_call_of_a_restarted_node_goes_on_at_the_peer(self) -> None:
        """The link of the earlier process may be silent, so that its end is not received.

        The later process opens its link at once, before the earlier one counts as silent, and knows
        nothing of the call. Only its link can tell the peer that the earlier process has ended.
        """
        self._send("a")
        await wait_until(lambda: len(self.runner.calls) == 1)
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        restarted = await self._start_links("entry", EndlessRunner(), incarnation=2)
        address = Address("127.0.0.1", self._listening_port(self.serving))
        restarted.peers_by_node["serving"] = PeerAddress(address, 1)
        restarted.query_node("serving", "unknown", None, lambda reply: None)
        # The earlier process would notice the silence itself after 0.75 s.
        await self.entry.close()
        await wait_until(lambda: self.runner.calls[0].cancelled, CANCELLED_WITHIN_S)

    async def test_calls_of_a_new_link_are_lost_with_the_old_one(self) -> None:
        """Closing a silent link must not cancel the calls of the link that replaces it."""
        first = self._send("a")
        await wait_until(lambda: len(self.runner.calls) == 1)
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        await wait_until(lambda: first.refusal is not None)
        second = self._send("b")
        await wait_until(lambda: len(self.runner.calls) == 2)
        await asyncio.sleep(CANCELLED_WITHIN_S)
        self.assertFalse(self.runner.calls[1].cancelled)
        self.assertIsNone(second.refusal)

    async def test_calls_and_queries_at_the_same_time_open_two_links(self) -> None:
        """Calls and queries that start at the same time must share one link.

        The peer would treat a second link as the replacement of the first.
        """
        replies: list[object] = []
        opened_links: list[Link] = []
        original = self.serving.on_link_open

        def on_link_open(link: Link) -> None:
            opened_links.append(link)
            original(link)

        self.enterContext(unittest.mock.patch.object(self.serving, "on_link_open", on_link_open))
        for number in range(5):
            self._send(f"c{number}")
            self.entry.query_node("serving", "unknown", None, replies.append)
        await wait_until(lambda: len(self.runner.calls) == 5 and len(replies) == 5)
        self.assertEqual(len(opened_links), 1)


@dataclass
class ResponseRunner:
    """Responds to each call with a fixed body."""

    body: bytes

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        sink.on_response(200, [], self.body, Feedback())
        return EndlessCall()


class ClosingLinksTest(unittest.IsolatedAsyncioTestCase):
    """Links that close while a peer has still to read a response."""

    async def test_a_message_that_arrives_after_the_close_cuts_off_the_last_response(self) -> None:
        """The operating system reset the connection and dropped what the peer had not read."""
        body = b"x" * 200_000
        links = Links(Hello("serving", 1, "z1"), ResponseRunner(body))
        await links.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(links.close)
        assert links._server is not None
        listener = links._server.sockets[0]
        # Accepted connections inherit the size; the whole response then leaves the process.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        peer = socket.socket()
        self.addCleanup(peer.close)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(peer, listener.getsockname())
        request = pack_request(1, context("a"), HttpRequest("GET", b"/", []), monotonic())
        await loop.sock_sendall(peer, Hello("entry", 1, "z1").to_wire() + request)
        await wait_until(lambda: links.open_links == 1 and not links.has_unsent_output)
        closing = asyncio.create_task(links.close())
        await asyncio.sleep(0.02)
        await loop.sock_sendall(peer, pack([Kind.PING, 0]))
        received = b""
        async with asyncio.timeout(WAIT_S):
            while data := await loop.sock_recv(peer, 65536):
                received += data
        self.assertIn(body, received)
        peer.close()
        await closing
