"""A running deployment: the platform, one node per target, and the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

import orjson

from pollenglade_net.http_client import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .processes import NodeProcess
from .processes import Processes
from .processes import TargetProcess
from .publication import publish
from .records import Execution
from .run_log import execution
from .workload import Deployment

LOG_TIMEOUT_S = 20.0
STARTS_AT_ONCE = 2
"""Processes that start together; each one imports its modules on a core of its own."""

ANNOUNCEMENT_S = 3.0
"""Time for every node to learn the targets of the others by announcement and gossip."""


@dataclass
class Member:
    """One node with its target."""

    node: NodeProcess
    target: TargetProcess


@dataclass
class Fleet:
    """All processes of one or more deployments that share a platform."""

    processes: Processes
    platform: Address
    members: list[Member] = field(default_factory=list)
    keys_by_deployment: dict[str, dict[str, str]] = field(default_factory=dict)

    def entries(self, zone: str | None = None) -> list[Address]:
        """Return the caller addresses of all nodes, or of those in one zone."""
        return [member.node.caller for member in self.members if zone in (None, member.node.zone)]

    def members_of(self, service: str) -> list[Member]:
        """Return the members that serve a service."""
        return [member for member in self.members if member.target.service == service]

    async def change_target(self, target: TargetProcess, conduct: Mapping[str, object]) -> None:
        """Tell a target how to behave; raise RuntimeError where it does not accept that."""
        client = HttpClient()
        try:
            response = await client.request(
                target.address, "PUT", "/_conduct", None, orjson.dumps(dict(conduct))
            )
        finally:
            await client.close()
        if isinstance(response, HttpFailure) or response.status != 200:
            raise RuntimeError(f"{target.process.name} did not accept {conduct}: {response}")

    async def executions(self) -> list[Execution]:
        """Return the run logs of all targets that still run."""
        client = HttpClient()
        found: list[Execution] = []
        try:
            for member in self.members:
                response = await client.request(
                    member.target.address, "GET", "/_log", timeout_s=LOG_TIMEOUT_S
                )
                if isinstance(response, HttpFailure):
                    continue
                found += [execution(entry) for entry in orjson.loads(response.body)["entries"]]
        finally:
            await client.close()
        return found


async def start_fleet(
    processes: Processes,
    deployments: Sequence[Deployment],
    node_settings: Mapping[str, str] | None = None,
) -> Fleet:
    """Start platform, nodes and targets, publish profiles and keys, wait until nodes serve."""
    fleet = Fleet(processes, await processes.start_platform())
    for deployment in deployments:
        fleet.keys_by_deployment[deployment.name] = await publish(fleet.platform, deployment)
    gate = asyncio.Semaphore(STARTS_AT_ONCE)

    async def start(deployment: Deployment, service: str, index: int) -> Member:
        async with gate:
            return await _start_member(fleet, deployment, service, index, node_settings)

    fleet.members += await asyncio.gather(
        *(
            start(deployment, service.name, index)
            for deployment in deployments
            for service in deployment.services
            for index in range(service.endpoints)
        )
    )
    for member in fleet.members:
        await processes.wait_serving(member.node)
    await asyncio.sleep(ANNOUNCEMENT_S)
    return fleet


async def _start_member(
    fleet: Fleet,
    deployment: Deployment,
    service: str,
    index: int,
    node_settings: Mapping[str, str] | None,
) -> Member:
    zone = deployment.zones[index % len(deployment.zones)]
    name = f"{service}-{index}"
    node = await fleet.processes.start_node(
        f"node-{name}", zone, fleet.platform, settings=node_settings
    )
    slots = deployment.services_by_name[service].slots
    options = ["--workload", deployment.name, "--slots", str(slots), "--seed", str(index)]
    target = await fleet.processes.start_target(f"target-{name}", service, node, options)
    return Member(node, target)
