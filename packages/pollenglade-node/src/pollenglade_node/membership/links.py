"""The links of a node: one to each node that it calls, and those that other nodes opened."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from time import monotonic
from typing import Any
from typing import Protocol

import structlog

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.address import Address
from pollenglade_net.attempt import Attempt
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link import SILENCE_S
from pollenglade_net.link import Link
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Hello

CONNECT_TIMEOUT_S = 0.25
"""A connection takes about 1 ms; a longer wait costs a call more than another node would."""

FIRST_REOPEN_PAUSE_S = 0.25
LONGEST_REOPEN_PAUSE_S = 1.0
"""Pauses in seconds between attempts to open a link anew, which double; where a zone is cut off a
node has many such links."""

REOPEN_LIMIT_S = 10.0
"""Time in seconds after which a link is not opened anew; the deadlines of its calls have passed."""

CHECK_INTERVAL_S = 0.1
LISTEN_BACKLOG = 1024

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where the link port of a node is; `incarnation` changes with each start of the node."""

    address: Address
    incarnation: int


class CallRunner(Protocol):
    """Runs calls at the target of this host."""

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Admit, queue or refuse a call."""


class _Connecting:
    """A call that waits for its link to open."""

    __slots__ = ("attempt", "cancelled", "context", "request", "sink")

    def __init__(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> None:
        self.context = context
        self.request = request
        self.sink = sink
        self.attempt: Attempt | None = None
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.attempt is not None:
            self.attempt.cancel()

    def credit(self, count: int) -> None:
        if self.attempt is not None:
            self.attempt.credit(count)


class Links:
    """Opens links on demand and carries calls and questions; owner of every link."""

    def __init__(self, hello: Hello, serving: CallRunner, source_host: str | None = None) -> None:
        self._hello = hello
        self._serving = serving
        self._local_address = (source_host, 0) if source_host else None
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._link_by_node: dict[str, Link] = {}
        self._opening_by_node: dict[str, list[_Connecting]] = {}
        self._connection_by_node: dict[str, asyncio.Task[Link | None]] = {}
        self._reopening: set[str] = set()
        self._accepted: set[Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.TimerHandle | None = None
        self.peers_by_node: dict[str, PeerAddress] = {}
        self.on_peer_drain: Callable[[str, int], None] = lambda node, incarnation: None
        self.answer_by_topic: dict[str, Callable[[object, Callable[[object], None]], None]] = {}

    @property
    def hello(self) -> Hello:
        """First message of this node."""
        return self._hello

    async def start(self, address: Address) -> None:
        """Listen for links and start the liveness checks."""
        self._server = await self._loop.create_server(
            lambda: Link(self, is_accepted=True),
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
        )
        self._check()

    def _check(self) -> None:
        now = monotonic()
        for link in [*self._link_by_node.values(), *self._accepted]:
            has_work_at_peer = link.has_work_at_peer
            if link.check(now) and has_work_at_peer and link.peer is not None:
                self._reopen_soon(link.peer.node)
        self._ticker = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _reopen_soon(self, node: str) -> None:
        if node not in self._reopening:
            self._reopening.add(node)
            self._spawn(self._reopen(node))

    async def _reopen(self, node: str) -> None:
        """Open a link anew, so that the peer ends the calls of the one that was given up."""
        gives_up_at = monotonic() + REOPEN_LIMIT_S
        pause_s = FIRST_REOPEN_PAUSE_S
        try:
            while node in self.peers_by_node and monotonic() < gives_up_at:
                if await self._connect(node) is not None:
                    return
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_REOPEN_PAUSE_S, 2 * pause_s)
        finally:
            self._reopening.discard(node)

    def send(
        self, node: str, context: CallContext, request: HttpRequest, sink: AttemptSink
    ) -> Attempt | None:
        """Send an attempt; return None where the node is not known."""
        if node == self._hello.node:
            return self._serving.run(context, request, sink)
        link = self._link_by_node.get(node)
        if link is not None and link.is_open:
            return link.call(context, request, sink)
        if node not in self.peers_by_node:
            return None
        waiting = _Connecting(context, request, sink)
        queue = self._opening_by_node.get(node)
        if queue is None:
            self._opening_by_node[node] = [waiting]
            self._spawn(self._open(node))
        else:
            queue.append(waiting)
        return waiting

    def ask(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        """Answer a question of a peer; an unknown topic gets None."""
        handler = self.answer_by_topic.get(topic)
        if handler is None:
            answer(None)
            return
        handler(payload, answer)

    def ask_node(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        """Ask a node; `callback` gets the answer, or None where there is none."""
        if node == self._hello.node:
            self.ask(topic, payload, callback)
            return
        link = self._link_by_node.get(node)
        if link is not None and link.is_open:
            link.ask(topic, payload, callback)
            return
        self._spawn(self._ask_after_open(node, topic, payload, callback))

    async def _ask_after_open(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        link = await self._connect(node)
        if link is None:
            callback(None)
            return
        link.ask(topic, payload, callback)

    async def _open(self, node: str) -> None:
        link = await self._connect(node)
        waiting = self._opening_by_node.pop(node, [])
        for call in waiting:
            if call.cancelled:
                continue
            if link is not None and link.is_open:
                call.attempt = link.call(call.context, call.request, call.sink)
                continue
            refusal = Refusal(Reason.LINK_FAILED, Outcome.NOT_RUN, 0.5, f"no link to {node}")
            call.sink.on_refusal(refusal, Feedback(call.context.allowance.remaining))

    async def _connect(self, node: str) -> Link | None:
        """Return the link to a node; those who ask at the same time share one attempt to open it.

        The peer takes a second link for the replacement of the first.
        """
        existing = self._link_by_node.get(node)
        if existing is not None and existing.is_open:
            return existing
        connection = self._connection_by_node.get(node)
        if connection is None:
            connection = self._loop.create_task(self._connect_anew(node))
            self._connection_by_node[node] = connection
            connection.add_done_callback(lambda _: self._connection_by_node.pop(node, None))
        return await asyncio.shield(connection)

    async def _connect_anew(self, node: str) -> Link | None:
        peer = self.peers_by_node.get(node)
        if peer is None:
            return None
        link: Link | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    lambda: Link(self),
                    peer.address.host,
                    peer.address.port,
                    local_addr=self._local_address,
                )
                await link.ready
        except (OSError, TimeoutError):
            if link is not None:
                link.close("no answer to the handshake", abort=True)
            return None
        if link.peer is None or link.peer.node != node:
            link.close("the peer is another node")
            return None
        self._link_by_node[node] = link
        self._accepted.discard(link)
        return link

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Run a call that a peer sent."""
        return self._serving.run(context, request, sink)

    def on_link_open(self, link: Link) -> None:
        """Keep a link whose handshake is complete; end those that it replaces.

        A peer opens another link only after it has given up the former one, which may not have
        reached this node.
        """
        for other in list(self._accepted):
            if is_replaced(other, link):
                other.close("the peer has opened another link", abort=True)
        self._accepted.add(link)

    def on_link_drain(self, link: Link) -> None:
        """Tell the router that the peer is leaving."""
        if link.peer is not None:
            self.on_peer_drain(link.peer.node, link.peer.incarnation)

    def on_link_closed(self, link: Link) -> None:
        """Forget a link."""
        self._accepted.discard(link)
        if link.peer is not None and self._link_by_node.get(link.peer.node) is link:
            del self._link_by_node[link.peer.node]

    def forget_peer(self, node: str) -> None:
        """Close the link to a node that was declared dead."""
        self.peers_by_node.pop(node, None)
        link = self._link_by_node.get(node)
        if link is not None:
            link.close("the node was declared dead", abort=True)

    def send_drain(self) -> None:
        """Tell all peers that this node takes no further calls."""
        for link in [*self._link_by_node.values(), *self._accepted]:
            link.send_drain()

    @property
    def open_links(self) -> int:
        """Links that are open, in both directions."""
        return len(self._link_by_node) + len(self._accepted)

    @property
    def is_busy(self) -> bool:
        """Whether calls are open on any link."""
        return any(link.is_busy for link in [*self._link_by_node.values(), *self._accepted])

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop listening and close all links."""
        if self._ticker is not None:
            self._ticker.cancel()
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *self._connection_by_node.values()]:
            task.cancel()
        for link in [*self._link_by_node.values(), *self._accepted]:
            link.close("the node stops")
        await asyncio.sleep(0)


def is_replaced(link: Link, by: Link) -> bool:
    """Whether a peer has given a link up for another one.

    Earlier releases may open two links at the same moment and keep either.
    """
    if link.peer is None or by.peer is None or link.peer.node != by.peer.node:
        return False
    return link.is_accepted and by.is_accepted and link.silent_s > SILENCE_S
