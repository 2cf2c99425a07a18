"""Gossip between nodes over the control port: member entries, versions and failure detection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from time import monotonic
from typing import Any

import orjson
import structlog

from pollenglade_core.membership.member import Member
from pollenglade_core.membership.member import MemberState
from pollenglade_core.membership.member_table import MemberTable
from pollenglade_core.membership.membership import GossipMessage
from pollenglade_core.membership.membership import IndirectPing
from pollenglade_core.membership.membership import Ping
from pollenglade_core.membership.membership import Prober
from pollenglade_core.membership.membership import WireError
from pollenglade_core.membership.prober import PROBE_TIMEOUT_S
from pollenglade_core.randomness import RandomSource
from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

ADVANCE_INTERVAL_S = 0.25

LOCAL_PUSH_PEER_COUNT = 3
"""Peers in the local zone to which a change is pushed immediately; others learn it from them."""

log = structlog.get_logger()


class Gossip:
    """Runs the prober of this node and exchanges the member table with other nodes."""

    def __init__(self, local: Member, client: HttpClient, source: RandomSource) -> None:
        self.table = MemberTable(local)
        self._prober = Prober(self.table, source)
        self._client = client
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._reported_states: dict[str, tuple[int, MemberState]] = {}
        self.configuration_version: Callable[[], int] = lambda: 0
        self.contact_age_s: Callable[[], float | None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self.on_message: Callable[[GossipMessage, Member | None], None] = (
            lambda message, sender: None
        )

    async def start(self) -> None:
        """Start the periodic probes."""
        self._advance()

    def _advance(self) -> None:
        self._timer = self._loop.call_later(ADVANCE_INTERVAL_S, self._advance)
        for action in self._prober.advance(monotonic()):
            if isinstance(action, Ping):
                self._spawn(self._ping(action))
            else:
                self._spawn(self._ping_indirectly(action))
        self._report_changes()

    def _report_changes(self) -> None:
        states = {
            member.node: (member.incarnation, member.state) for member in self.table.live_members()
        }
        if states == self._reported_states:
            return
        for node in sorted(self._reported_states.keys() - states.keys()):
            log.info("member_dead", member=node)
        for node in sorted(states.keys() - self._reported_states.keys()):
            log.info("member_joined", member=node)
        self._reported_states = states
        self.on_change()

    def _new_message(self, members: Sequence[Member] = ()) -> GossipMessage:
        local = self.table.local
        return GossipMessage(
            local.node,
            local.zone,
            local.incarnation,
            self.table.digests(),
            self.configuration_version(),
            self.contact_age_s(),
            tuple(members),
        )

    async def _ping(self, action: Ping) -> None:
        if await self.exchange(action.node):
            self._prober.on_ack(action.probe)

    async def _ping_indirectly(self, action: IndirectPing) -> None:
        intermediary = self.table.get(action.intermediary)
        if intermediary is None:
            return
        body = orjson.dumps({"node": action.node})
        response = await self._client.request(
            Address.parse(intermediary.control_address),
            "POST",
            "/v1/probe",
            body=body,
            timeout_s=2 * PROBE_TIMEOUT_S,
        )
        if isinstance(response, HttpResponse) and response.status == 200:
            document = response.json()
            if isinstance(document, dict) and document.get("alive") is True:
                self._prober.on_ack(action.probe)

    async def exchange(self, node: str) -> bool:
        """Exchange digests and differing members with a node; return whether it responded."""
        member = self.table.get(node)
        if member is None:
            return False
        response_message = await self._post(member, self._new_message())
        if response_message is None:
            return False
        self._process_message(response_message)
        differing = self.table.differing_members(response_message.digests)
        if differing:
            # Entries that still differ after the merge are new to the peer. It may refute some
            # of them in its response, such as its own death.
            response_message = await self._post(member, self._new_message(differing))
            if response_message is not None:
                self._process_message(response_message)
        return True

    async def _post(self, member: Member, message: GossipMessage) -> GossipMessage | None:
        response = await self._client.request(
            Address.parse(member.control_address),
            "POST",
            "/v1/gossip",
            body=orjson.dumps(message.to_wire()),
            timeout_s=PROBE_TIMEOUT_S,
        )
        if not isinstance(response, HttpResponse) or response.status != 200:
            return None
        try:
            return GossipMessage.from_wire(response.json())
        except (WireError, orjson.JSONDecodeError):
            return None

    def _process_message(self, message: GossipMessage) -> None:
        changed = self.table.merge(message.members, monotonic())
        self.on_message(message, self.table.get(message.sender))
        if changed:
            self._report_changes()
            self.on_change()

    async def serve_gossip(self, request: HttpRequest) -> HttpResponse:
        """Handle `POST /v1/gossip`; respond with local digests and the members that differ."""
        try:
            message = GossipMessage.from_wire(orjson.loads(request.body))
        except WireError as error:
            return json_response(400, {"findings": [{"place": error.path, "text": str(error)}]})
        self._process_message(message)
        response_message = self._new_message(self.table.differing_members(message.digests))
        return json_response(200, response_message.to_wire())

    async def serve_probe(self, request: HttpRequest) -> HttpResponse:
        """Handle `POST /v1/probe`: probe a node for a peer that got no response from it."""
        document = orjson.loads(request.body)
        node = document.get("node") if isinstance(document, dict) else None
        alive = isinstance(node, str) and await self.exchange(node)
        return json_response(200, {"alive": alive})

    def update_local_member(self, local: Member) -> None:
        """Replace the entry of this node and push it to some peers."""
        self.table.update_local(local)
        self.push()

    def merge_announced(self, members: Sequence[Member]) -> None:
        """Merge members that were read from the platform's table."""
        if self.table.merge(members, monotonic()):
            self._report_changes()

    def push(self) -> None:
        """Exchange with some random peers immediately instead of at the next probe."""
        local = self.table.local
        others = [member for member in self.table.live_members() if member.node != local.node]
        local_nodes = [member.node for member in others if member.zone == local.zone]
        remote_nodes = [member.node for member in others if member.zone != local.zone]
        chosen = self._source.sample(local_nodes, min(LOCAL_PUSH_PEER_COUNT, len(local_nodes)))
        chosen += self._source.sample(remote_nodes, min(1, len(remote_nodes)))
        for node in chosen:
            self._spawn(self._push_to_node(node))

    async def _push_to_node(self, node: str) -> None:
        await self.exchange(node)

    async def exchange_with_zone(self, zone: str) -> None:
        """Exchange with every other live member of a zone; a leaving node uses this."""
        local_node = self.table.local.node
        nodes = [
            member.node for member in self.table.live_members(zone) if member.node != local_node
        ]
        await asyncio.gather(*(self.exchange(node) for node in nodes))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop the probes and cancel all exchanges."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
