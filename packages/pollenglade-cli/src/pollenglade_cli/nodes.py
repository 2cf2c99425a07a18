"""Queries the status of the announced nodes."""

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
"""Age of an announcement above which its node is stale; nodes renew it every 10 s."""


class TargetStatus(BaseModel):
    """Status of a target as its node reports it."""

    service: str
    address: str
    state: str
    slots: int
    in_flight: int
    waiting: int
    level: str
    level_fraction: float


class NodeStatus(BaseModel):
    """Fields of a node's status that the command reads."""

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
    """A node that has a row on the platform; `problem` says why the node cannot be queried.

    `age_s` is the time since the announcement, from the clocks of both hosts; 0 if unknown.
    """

    name: str
    zone: str
    address: Address | None
    problem: str = ""
    age_s: float = 0.0

    @property
    def is_stale(self) -> bool:
        """Whether the announcement is older than `STALE_AFTER_S`."""
        return self.age_s > STALE_AFTER_S


@dataclass(frozen=True, slots=True)
class NodeQueryResult:
    """The status of a node, or `None` and the problem that prevented reading it."""

    node: AnnouncedNode
    status: NodeStatus | None
    problem: str = ""


async def announced_nodes(session: Session) -> list[AnnouncedNode] | Unavailable:
    """Return the nodes that have a row on the platform, except those that are leaving.

    Stale nodes are included: a zone that is cut off from the platform keeps running, but cannot
    renew its announcements.
    """
    rows = await session.platform.read_prefix(NODE_PREFIX)
    if isinstance(rows, Unavailable):
        return rows
    now_s = time.time()
    nodes = [_parse_row(row, now_s) for row in rows if not _is_tombstone(row)]
    return [node for node in nodes if node is not None]


def _is_tombstone(row: Row) -> bool:
    # The platform has no delete operation: a node of the zone overwrites rows that are an hour old.
    return isinstance(row.value, dict) and row.value.get("tombstone") is True


def _parse_row(row: Row, now_s: float) -> AnnouncedNode | None:
    zone, _, name = row.name.removeprefix(NODE_PREFIX).rpartition("/")
    try:
        announcement = _Announcement.model_validate(row.value)
        if announcement.leaving:
            return None
        announced_at = announcement.announced_at
        age_s = 0.0 if announced_at is None else max(0.0, now_s - announced_at)
        address = Address.parse(announcement.control_address)
        return AnnouncedNode(name, zone, address, age_s=age_s)
    except ValueError:
        problem = f"row {row.name} has no valid control_address"
        return AnnouncedNode(name, zone, None, problem)


async def query_nodes(session: Session, nodes: list[AnnouncedNode]) -> list[NodeQueryResult]:
    """Query the status of nodes, at most `MAX_CONCURRENT_REQUESTS` at a time; keep their order."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(node: AnnouncedNode) -> NodeQueryResult:
        async with semaphore:
            return await _query_node(session.http, node, session.settings.timeout)

    return list(await asyncio.gather(*(query(node) for node in nodes)))


async def _query_node(http: HttpClient, node: AnnouncedNode, timeout_s: float) -> NodeQueryResult:
    if node.address is None:
        return NodeQueryResult(node, None, node.problem)
    response = await http.request(node.address, "GET", "/v1/status", timeout_s=timeout_s)
    if isinstance(response, HttpFailure):
        return NodeQueryResult(node, None, f"no response ({response.reason})")
    if response.status != 200:
        return NodeQueryResult(node, None, f"status {response.status}")
    try:
        status = NodeStatus.model_validate_json(response.body)
    except ValidationError:
        return NodeQueryResult(node, None, "malformed status")
    if (status.node, status.zone) != (node.name, node.zone):
        return NodeQueryResult(
            node, None, f"node {status.zone}/{status.node} responds at its address"
        )
    return NodeQueryResult(node, status)


async def query_nodes_until(
    session: Session, nodes: list[AnnouncedNode], satisfies: Callable[[NodeStatus], bool]
) -> list[NodeQueryResult]:
    """Query nodes until every status satisfies a condition or the `wait` setting has passed.

    Returns the last result of each node, in the order of `nodes`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + session.settings.wait
    results_by_node: dict[AnnouncedNode, NodeQueryResult] = {}
    pending = nodes
    while pending:
        for result in await query_nodes(session, pending):
            results_by_node[result.node] = result
        pending = [n for n in pending if not _has_satisfying_status(results_by_node[n], satisfies)]
        if loop.time() + POLL_INTERVAL_S > deadline:
            break
        if pending:
            await asyncio.sleep(POLL_INTERVAL_S)
    return [results_by_node[node] for node in nodes]


def _has_satisfying_status(
    result: NodeQueryResult, satisfies: Callable[[NodeStatus], bool]
) -> bool:
    return result.status is not None and satisfies(result.status)
