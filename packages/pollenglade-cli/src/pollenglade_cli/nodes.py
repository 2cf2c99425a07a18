"""What the announced nodes report about the configuration that they have in force."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel
from pydantic import Field
from pydantic import ValidationError

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Unavailable

from .session import Session

NODE_PREFIX = "nodes/"
MAX_CONCURRENT_REQUESTS = 64
POLL_INTERVAL_S = 0.25
STALE_AFTER_S = 60.0
"""Age of an announcement in seconds from which its node counts as ended; nodes renew every 10 s."""


class TargetStatus(BaseModel):
    """A target as its node reports it."""

    service: str
    address: str
    state: str
    slots: int
    in_flight: int
    waiting: int
    level: str
    level_fraction: float


class NodeStatus(BaseModel):
    """The part of a node's status that this command reads."""

    node: str
    zone: str
    configuration_version: int
    configuration_digest: str
    draining: bool = False
    open_calls: int = 0
    slots_held: list[int] = Field(default_factory=list)
    targets: list[TargetStatus] = Field(default_factory=list)


class _Announcement(BaseModel):
    control_address: str
    leaving: bool = False
    announced_at: float | None = None


@dataclass(frozen=True, slots=True)
class AnnouncedNode:
    """A node row of the platform; `problem` says why the node cannot be asked.

    `age_s` is the time since the announcement by the clocks of both hosts; 0 where it is not known.
    """

    name: str
    zone: str
    address: Address | None
    problem: str = ""
    age_s: float = 0.0

    @property
    def is_stale(self) -> bool:
        """Whether the node has stopped to renew its announcement."""
        return self.age_s > STALE_AFTER_S


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """The status of a node, or why there is none."""

    node: AnnouncedNode
    status: NodeStatus | None
    problem: str = ""


async def announced_nodes(session: Session) -> list[AnnouncedNode] | Unavailable:
    """Return the nodes whose rows are on the platform, without those that are leaving.

    Stale ones are included: a zone that is cut off from the platform cannot renew, and still runs.
    """
    rows = await session.platform.read_prefix(NODE_PREFIX)
    if isinstance(rows, Unavailable):
        return rows
    wall_s = time.time()
    nodes = [_announced(row, wall_s) for row in rows if not _is_tombstone(row)]
    return [node for node in nodes if node is not None]


def _is_tombstone(row: Row) -> bool:
    # The platform offers no delete; a node of the zone overwrites rows that are an hour old.
    return isinstance(row.value, dict) and row.value.get("tombstone") is True


def _announced(row: Row, wall_s: float) -> AnnouncedNode | None:
    zone, _, name = row.name.removeprefix(NODE_PREFIX).rpartition("/")
    try:
        announcement = _Announcement.model_validate(row.value)
        if announcement.leaving:
            return None
        written_at = announcement.announced_at
        age_s = 0.0 if written_at is None else max(0.0, wall_s - written_at)
        address = Address.parse(announcement.control_address)
        return AnnouncedNode(name, zone, address, age_s=age_s)
    except ValueError:
        problem = f"row {row.name} holds no valid control_address"
        return AnnouncedNode(name, zone, None, problem)


async def ask_all(session: Session, nodes: list[AnnouncedNode]) -> list[NodeAnswer]:
    """Ask nodes for their status, a bounded number at a time."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def ask(node: AnnouncedNode) -> NodeAnswer:
        async with limit:
            return await _ask(session.http, node, session.settings.timeout)

    return list(await asyncio.gather(*(ask(node) for node in nodes)))


async def _ask(http: HttpClient, node: AnnouncedNode, timeout_s: float) -> NodeAnswer:
    if node.address is None:
        return NodeAnswer(node, None, node.problem)
    answer = await http.request(node.address, "GET", "/v1/status", timeout_s=timeout_s)
    if isinstance(answer, HttpFailure):
        return NodeAnswer(node, None, f"no answer ({answer.reason})")
    if answer.status != 200:
        return NodeAnswer(node, None, f"status {answer.status}")
    try:
        status = NodeStatus.model_validate_json(answer.body)
    except ValidationError:
        return NodeAnswer(node, None, "malformed status")
    if (status.node, status.zone) != (node.name, node.zone):
        return NodeAnswer(node, None, f"node {status.zone}/{status.node} answers at its address")
    return NodeAnswer(node, status)


async def ask_until(
    session: Session, nodes: list[AnnouncedNode], satisfies: Callable[[NodeStatus], bool]
) -> list[NodeAnswer]:
    """Ask until every status satisfies the condition or the wait is over; return last answers."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + session.settings.wait
    answers_by_node: dict[AnnouncedNode, NodeAnswer] = {}
    pending = nodes
    while pending:
        for answer in await ask_all(session, pending):
            answers_by_node[answer.node] = answer
        pending = [n for n in pending if not _satisfied(answers_by_node[n], satisfies)]
        if loop.time() + POLL_INTERVAL_S > deadline:
            break
        if pending:
            await asyncio.sleep(POLL_INTERVAL_S)
    return [answers_by_node[node] for node in nodes]


def _satisfied(answer: NodeAnswer, satisfies: Callable[[NodeStatus], bool]) -> bool:
    return answer.status is not None and satisfies(answer.status)
