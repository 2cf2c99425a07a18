"""What the announced nodes report about the configuration that they have in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel
from pydantic import ValidationError

from pollenglade_net.http_client import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import Unavailable

from .session import Session

NODE_PREFIX = "nodes/"
MAX_CONCURRENT_REQUESTS = 64
POLL_INTERVAL_S = 0.25


class NodeStatus(BaseModel):
    """The part of a node's status that this command reads."""

    node: str
    zone: str
    configuration_version: int
    configuration_digest: str


class _Announcement(BaseModel):
    control_address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class AnnouncedNode:
    """A node row of the platform; `problem` says why the node cannot be asked."""

    name: str
    zone: str
    address: Address | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """The status of a node, or why there is none."""

    node: AnnouncedNode
    status: NodeStatus | None
    problem: str = ""


async def announced_nodes(session: Session) -> list[AnnouncedNode] | Unavailable:
    """Return the nodes whose rows are on the platform, without those that are leaving."""
    rows = await session.platform.read_prefix(NODE_PREFIX)
    if isinstance(rows, Unavailable):
        return rows
    nodes = [_announced(row) for row in rows]
    return [node for node in nodes if node is not None]


def _announced(row: Row) -> AnnouncedNode | None:
    zone, _, name = row.name.removeprefix(NODE_PREFIX).rpartition("/")
    try:
        announcement = _Announcement.model_validate(row.value)
        if announcement.leaving:
            return None
        return AnnouncedNode(name, zone, Address.parse(announcement.control_address))
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
