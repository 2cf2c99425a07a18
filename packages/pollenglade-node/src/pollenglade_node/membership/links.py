"""The links of this node: one to each node that it calls, and those that other nodes opened."""

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
from pollenglade_net.http_server import listen_backlog
from pollenglade_net.link import PING_AFTER_IDLE_S
from pollenglade_net.link import Link
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Hello
from pollenglade_net.memory_budget import MemoryBudget

from ..supervision import call_guarded

CONNECT_TIMEOUT_S = 0.25
"""Time limit for opening a link.

A connection takes about 1 ms. With a longer limit, a call would lose more time than it takes to use
another node.
"""

MIN_REOPEN_DELAY_S = 0.25
"""Delay after the first failed attempt to reopen a link; it doubles with each further attempt."""

MAX_REOPEN_DELAY_S = 1.0
"""Largest delay between attempts to reopen a link.

The delay grows because a node has many links to reopen when a zone is partitioned off.
"""

REOPEN_LIMIT_S = 10.0
"""Time after which a link is no longer reopened; the deadlines of its calls have passed."""

HANDSHAKE_TIMEOUT_S = 5.0
"""Time within which the peer that opened a link sends its first message; a paused one needs longer
and opens another link."""

CHECK_INTERVAL_S = 0.1

CLOSE_LIMIT_S = 0.1
"""Time within which peers close their links to a node that ends."""

CLOSE_POLL_INTERVAL_S = 0.005
"""Time in seconds between checks whether they have."""

DEFAULT_MAX_ACCEPTED_LINKS = 1024
"""Number of links that other nodes may have opened; each of 880 nodes opens one."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of the link port of a node; `incarnation` changes with each start of the node."""

    address: Address
    incarnation: int


class CallRunner(Protocol):
    """Runs calls at the local targets."""

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Admit, queue or refuse a call; the result is delivered to `sink`."""


class _PendingAttempt:
    """An attempt that waits for its link to open."""

    __slots__ = ("_request", "attempt", "cancelled", "context", "sink")

    def __init__(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> None:
        self.context = context
        self._request = request
        self.sink = sink
        self.attempt: Attempt | None = None
        self.cancelled = False

    def take_request(self) -> HttpRequest:
        """Return the request, whose body would otherwise stay until a garbage collection."""
        request, self._request = self._request, HttpRequest("", b"", [])
        return request

    def cancel(self) -> None:
        self.cancelled = True
        if self.attempt is not None:
            self.attempt.cancel()

    def withdraw(self) -> bool:
        if self.attempt is not None:
            return self.attempt.withdraw()
        self.cancelled = True
        return True

    def credit(self, credit_bytes: int) -> None:
        if self.attempt is not None:
            self.attempt.credit(credit_bytes)


class Links:
    """Owns all links; opens them on demand and sends calls and queries over them.

    `on_peer_suspected` is called at each check in which a peer has not answered the ping of the
    previous one, `on_peer_replaced` with a peer and the name of the node that answers in its place.
    """

    def __init__(
        self,
        hello: Hello,
        serving: CallRunner,
        source_host: str | None = None,
        memory_budget: MemoryBudget | None = None,
        max_accepted_links: int = DEFAULT_MAX_ACCEPTED_LINKS,
    ) -> None:
        self._max_accepted_links = max_accepted_links
        self._hello = hello
        self.memory_budget = memory_budget or MemoryBudget()
        self._serving = serving
        self._source_address = (source_host, 0) if source_host else None
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._link_by_node: dict[str, Link] = {}
        self._pending_attempts_by_node: dict[str, list[_PendingAttempt]] = {}
        self._connect_task_by_node: dict[str, asyncio.Task[Link | None]] = {}
        self._reopening_nodes: set[str] = set()
        self._accepted_links: set[Link] = set()
        # Accepted connections that have sent no handshake so far, oldest first.
        self._accepted_at_by_new_link: dict[Link, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._check_timer: asyncio.TimerHandle | None = None
        self.peers_by_node: dict[str, PeerAddress] = {}
        self.on_peer_drain: Callable[[str, int], None] = lambda node, incarnation: None
        self.on_peer_disconnected: Callable[[str], None] = lambda node: None
        self.on_peer_suspected: Callable[[str], None] = lambda node: None
        self.on_peer_replaced: Callable[[str, str], None] = lambda node, other: None
        self.query_handler_by_topic: dict[
            str, Callable[[object, Callable[[object], None]], None]
        ] = {}

    @property
    def hello(self) -> Hello:
        """The hello message that this node sends first on each link."""
        return self._hello

    async def start(self, address: Address) -> None:
        """Listen for links and start the liveness checks."""
        self._server = await self._loop.create_server(
            lambda: Link(self, is_accepted=True),
            address.host,
            address.port,
            backlog=listen_backlog(self._max_accepted_links),
        )
        self._check_links()

    def _check_links(self) -> None:
        self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_links)
        now = monotonic()
        for link in self._all_links():
            if link.is_ping_unanswered and link.peer is not None:
                self.on_peer_suspected(link.peer.node)
            has_calls_at_peer = link.has_calls_at_peer
            if link.check_liveness(now) and has_calls_at_peer and link.peer is not None:
                self._schedule_reopen(link.peer.node)
        for link, accepted_at in list(self._accepted_at_by_new_link.items()):
            if now - accepted_at < HANDSHAKE_TIMEOUT_S:
                break
            link.close("no handshake in time", abort=True)

    def _schedule_reopen(self, node: str) -> None:
        if node not in self._reopening_nodes:
            self._reopening_nodes.add(node)
            self._spawn(self._reopen(node))

    async def _reopen(self, node: str) -> None:
        """Open a new link, so that the peer cancels the calls of the abandoned one."""
        deadline = monotonic() + REOPEN_LIMIT_S
        delay_s = MIN_REOPEN_DELAY_S
        try:
            while node in self.peers_by_node and monotonic() < deadline:
                if await self._connect(node) is not None:
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_REOPEN_DELAY_S, 2 * delay_s)
        finally:
            self._reopening_nodes.discard(node)

    def send(
        self, node: str, context: CallContext, request: HttpRequest, sink: AttemptSink
    ) -> Attempt | None:
        """Send an attempt to a node; return None if the address of the node is unknown."""
        if node == self._hello.node:
            return self._serving.run(context, request, sink)
        link = self._link_by_node.get(node)
        if link is not None and link.is_open:
            return link.call(context, request, sink)
        if node not in self.peers_by_node:
            return None
        pending = _PendingAttempt(context, request, sink)
        queue = self._pending_attempts_by_node.get(node)
        if queue is None:
            self._pending_attempts_by_node[node] = [pending]
            self._spawn(self._connect_and_send(node))
        else:
            queue.append(pending)
        return pending

    def handle_query(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        """Answer the query of a peer by calling `answer`.

        The reply is None for an unknown topic, and where the handler of the topic fails.
        """
        handler = self.query_handler_by_topic.get(topic)
        if handler is None or not call_guarded(
            "query_failed", lambda: handler(payload, answer), topic=topic
        ):
            answer(None)

    def query_node(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        """Send a query to a node; `callback` gets the reply, or None if there is none."""
        if node == self._hello.node:
            self.handle_query(topic, payload, callback)
            return
        link = self._link_by_node.get(node)
        if link is not None and link.is_open:
            link.query(topic, payload, callback)
            return
        self._spawn(self._query_after_connect(node, topic, payload, callback))

    async def _query_after_connect(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        link = await self._connect(node)
        if link is None:
            callback(None)
            return
        link.query(topic, payload, callback)

    async def _connect_and_send(self, node: str) -> None:
        link = await self._connect(node)
        pending = self._pending_attempts_by_node.pop(node, [])
        for call in pending:
            request = call.take_request()
            if call.cancelled:
                continue
            if link is not None and link.is_open:
                call.attempt = link.call(call.context, request, call.sink)
                continue
            refusal = Refusal(Reason.LINK_FAILED, Outcome.NOT_RUN, 0.5, f"no link to {node}")
            call.sink.on_refusal(refusal, Feedback(call.context.allowance.remaining))

    async def _connect(self, node: str) -> Link | None:
        """Return the link to a node, or None; concurrent callers share one attempt to open it.

        The peer would treat a second link as the replacement of the first.
        """
        existing = self._link_by_node.get(node)
        if existing is not None and existing.is_open:
            return existing
        connect_task = self._connect_task_by_node.get(node)
        if connect_task is None:
            connect_task = self._loop.create_task(self._open_link(node))
            self._connect_task_by_node[node] = connect_task
            connect_task.add_done_callback(lambda _: self._connect_task_by_node.pop(node, None))
        return await asyncio.shield(connect_task)

    async def _open_link(self, node: str) -> Link | None:
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
                    local_addr=self._source_address,
                )
                await link.ready
        except (OSError, TimeoutError):
            if link is not None:
                link.close("no answer to the handshake", abort=True)
            return None
        if link.peer is None or link.peer.node != node:
            if link.peer is not None:
                self.on_peer_replaced(node, link.peer.node)
            link.close("the peer is another node")
            return None
        self._link_by_node[node] = link
        self._accepted_links.discard(link)
        return link

    def run_call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Run a call from a peer."""
        return self._serving.run(context, request, sink)

    def on_link_accepted(self, link: Link) -> None:
        """Register a connection from a peer that has not sent its first message.

        Above the limit, another one of these is closed for it, or else a link to a node that is no
        member, or else the new one.
        """
        new_links = self._accepted_at_by_new_link
        new_links[link] = monotonic()
        if len(self._accepted_links) + len(new_links) <= self._max_accepted_links:
            return
        replaced = next(iter(new_links))
        if replaced is link:
            strangers = (item for item in self._accepted_links if not self.is_member(item))
            replaced = next(strangers, link)
        self._forget_link(replaced)
        replaced.close("too many links", abort=True)

    def is_member(self, link: Link) -> bool:
        """Whether the peer of a link is a known node of the mesh."""
        return link.peer is not None and link.peer.node in self.peers_by_node

    def _forget_link(self, link: Link) -> None:
        self._accepted_at_by_new_link.pop(link, None)
        self._accepted_links.discard(link)

    def on_link_open(self, link: Link) -> None:
        """Register a link whose handshake is complete, and close the links that it replaces.

        A peer opens another link only after it has abandoned the previous one, but this node may
        not have received the close.
        """
        for previous in list(self._accepted_links):
            if is_replaced_by(previous, link):
                previous.close("the peer has opened another link", abort=True)
        self._accepted_at_by_new_link.pop(link, None)
        self._accepted_links.add(link)

    def on_link_drain(self, link: Link) -> None:
        """Report a peer that sent a drain message."""
        if link.peer is not None:
            self.on_peer_drain(link.peer.node, link.peer.incarnation)

    def on_link_closed(self, link: Link) -> None:
        """Remove a closed link."""
        self._forget_link(link)
        if link.peer is None:
            return
        if self._link_by_node.get(link.peer.node) is link:
            del self._link_by_node[link.peer.node]
        self.on_peer_disconnected(link.peer.node)

    def forget_peer(self, node: str) -> None:
        """Remove a node that is no longer a member, and close the link to it."""
        self.peers_by_node.pop(node, None)
        link = self._link_by_node.get(node)
        if link is not None:
            link.close("the node was declared dead", abort=True)

    def send_drain(self) -> None:
        """Notify all peers that this node accepts no further calls."""
        for link in self._all_links():
            link.send_drain()

    def _all_links(self) -> list[Link]:
        return [*self._link_by_node.values(), *self._accepted_links]

    @property
    def open_links(self) -> int:
        """Number of open links in both directions."""
        return len(self._link_by_node) + len(self._accepted_links)

    @property
    def has_unsent_output(self) -> bool:
        """Whether any peer has still to read messages that have been written."""
        return any(link.has_unsent_output for link in self._all_links())

    @property
    def is_busy(self) -> bool:
        """Whether any link has open calls."""
        return any(link.is_busy for link in self._all_links())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop listening and close all links, each when its peer has read what was sent."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *self._connect_task_by_node.values()]:
            task.cancel()
        for link in [*self._accepted_at_by_new_link]:
            link.close("the node stops")
        # What the end of calls causes must not open further links.
        self.peers_by_node.clear()
        for link in self._all_links():
            link.finish("the node stops")
        closes_at = monotonic() + CLOSE_LIMIT_S
        while self._all_links() and monotonic() < closes_at:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        for link in self._all_links():
            link.close("the node stops")
        await asyncio.sleep(0)


def is_replaced_by(link: Link, newer: Link) -> bool:
    """Return whether a peer abandoned a link and opened the newer one in its place.

    Peers of an earlier release may open two links at the same time and keep either, so a link that
    is not silent may still be in use. The links of an earlier incarnation never are: its process
    has ended, and this node may not have received the close.
    """
    if link.peer is None or newer.peer is None or link.peer.node != newer.peer.node:
        return False
    if not link.is_accepted or not newer.is_accepted:
        return False
    is_restarted = newer.peer.incarnation > link.peer.incarnation
    return is_restarted or link.receive_idle_s > PING_AFTER_IDLE_S
