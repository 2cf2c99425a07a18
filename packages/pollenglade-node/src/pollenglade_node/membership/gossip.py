"""Gossip with other nodes over the control port: membership, versions and failure detection."""

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

PUSH_PEERS = 3
"""Peers of the own zone that hear of a change at once; the others learn it from them."""

log = structlog.get_logger()


class Gossip:
    """Drives the prober and the member table of one node."""

    def __init__(self, own: Member, client: HttpClient, source: RandomSource) -> None:
        self.table = MemberTable(own)
        self._prober = Prober(self.table, source)
        self._client = client
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._known_states: dict[str, tuple[int, MemberState]] = {}
        self.configuration_version: Callable[[], int] = lambda: 0
        self.contact_age_s: Callable[[], float | None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self.on_message: Callable[[GossipMessage, Member | None], None] = (
            lambda message, sender: None
        )

    async def start(self) -> None:
        """Start to probe."""
        self._advance()

    def _advance(self) -> None:
        for action in self._prober.advance(monotonic()):
            if isinstance(action, Ping):
                self._spawn(self._ping(action))
            else:
                self._spawn(self._ping_via(action))
        self._note_changes()
        self._timer = self._loop.call_later(ADVANCE_INTERVAL_S, self._advance)

    def _note_changes(self) -> None:
        states = {
            member.node: (member.incarnation, member.state) for member in self.table.live_members()
        }
        if states == self._known_states:
            return
        for node in sorted(self._known_states.keys() - states.keys()):
            log.info("member_dead", member=node)
        for node in sorted(states.keys() - self._known_states.keys()):
            log.info("member_joined", member=node)
        self._known_states = states
        self.on_change()

    def _message(self, members: Sequence[Member] = ()) -> GossipMessage:
        own = self.table.local
        return GossipMessage(
            own.node,
            own.zone,
            own.incarnation,
            self.table.digests(),
            self.configuration_version(),
            self.contact_age_s(),
            tuple(members),
        )

    async def _ping(self, action: Ping) -> None:
        if await self.exchange(action.node):
            self._prober.on_ack(action.probe)

    async def _ping_via(self, action: IndirectPing) -> None:
        helper = self.table.get(action.intermediary)
        if helper is None:
            return
        body = orjson.dumps({"node": action.node})
        response = await self._client.request(
            Address.parse(helper.control_address),
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
        """Exchange digests and differences with a node; return whether it answered."""
        member = self.table.get(node)
        if member is None:
            return False
        answer = await self._post(member, self._message())
        if answer is None:
            return False
        self._take(answer)
        delta = self.table.delta(answer.digests)
        if delta:
            # What is still different after the merge is news to the peer. The peer may refute a
            # part of it, such as its own death, in the answer.
            answer = await self._post(member, self._message(delta))
            if answer is not None:
                self._take(answer)
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

    def _take(self, message: GossipMessage) -> None:
        changed = self.table.merge(message.members, monotonic())
        self.on_message(message, self.table.get(message.sender))
        if changed:
            self._note_changes()
            self.on_change()

    async def serve_gossip(self, request: HttpRequest) -> HttpResponse:
        """Answer `POST /v1/gossip` with the own digests and what the peer lacks."""
        try:
            message = GossipMessage.from_wire(orjson.loads(request.body))
        except WireError as error:
            return json_response(400, {"findings": [{"place": error.path, "text": str(error)}]})
        self._take(message)
        answer = self._message(self.table.delta(message.digests))
        return json_response(200, answer.to_wire())

    async def serve_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer `POST /v1/probe`: probe a node for a peer that got no answer from it."""
        document = orjson.loads(request.body)
        node = document.get("node") if isinstance(document, dict) else None
        alive = isinstance(node, str) and await self.exchange(node)
        return json_response(200, {"alive": alive})

    def update_own(self, own: Member) -> None:
        """Change the entry of this node and tell some peers at once."""
        self.table.update_local(own)
        self.push()

    def seed(self, members: Sequence[Member]) -> None:
        """Take members from the platform's table."""
        if self.table.merge(members, monotonic()):
            self._note_changes()

    def push(self) -> None:
        """Exchange with some peers at once instead of waiting for the next probe."""
        own = self.table.local
        others = [member for member in self.table.live_members() if member.node != own.node]
        near = [member.node for member in others if member.zone == own.zone]
        far = [member.node for member in others if member.zone != own.zone]
        chosen = self._source.sample(near, min(PUSH_PEERS, len(near)))
        chosen += self._source.sample(far, min(1, len(far)))
        for node in chosen:
            self._spawn(self._push_to(node))

    async def _push_to(self, node: str) -> None:
        await self.exchange(node)

    async def tell_all(self, zone: str) -> None:
        """Exchange with every live member of a zone; used by a node that leaves."""
        own = self.table.local.node
        nodes = [member.node for member in self.table.live_members(zone) if member.node != own]
        await asyncio.gather(*(self.exchange(node) for node in nodes))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)
