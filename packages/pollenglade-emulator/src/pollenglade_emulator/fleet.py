"""A running deployment: the platform, one node per target, and the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import orjson

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .processes import NodeProcess
from .processes import Processes
from .processes import TargetProcess
from .publication import publish
from .records import Execution
from .run_log import read_log
from .workload import Deployment
from .zone_network import ZoneNetwork

STARTS_AT_ONCE = 2
"""Processes that start together; each one imports its modules on a core of its own."""

ANNOUNCEMENT_S = 3.0
"""Time for every node to learn the targets of the others by announcement and gossip."""

Publisher = Callable[[Address, Deployment], Awaitable[dict[str, str]]]
"""Publishes profile and keys of a deployment and returns the key of each organisation."""


@dataclass(frozen=True)
class Place:
    """What one host of a deployment runs; `index` counts the endpoints of the service."""

    deployment: str
    service: str
    zone: str
    slots: int
    index: int

    @property
    def name(self) -> str:
        """Name of the host."""
        return f"{self.service}-{self.index}"


@dataclass
class Member:
    """One host with its node and its target."""

    place: Place
    node: NodeProcess
    target: TargetProcess


@dataclass
class Fleet:
    """All processes of one or more deployments that share a platform.

    `network` stands between the zones; without it they cannot be cut off from each other.
    """

    processes: Processes
    platform: Address
    log_folder: Path
    members: list[Member] = field(default_factory=list)
    keys_by_deployment: dict[str, dict[str, str]] = field(default_factory=dict)
    network: ZoneNetwork | None = None
    _started: int = 0

    def entries(self, zone: str | None = None) -> list[Address]:
        """Return the caller addresses of all nodes, or of those in one zone."""
        return [member.node.caller for member in self.members if zone in (None, member.node.zone)]

    def members_of(self, service: str) -> list[Member]:
        """Return the members that serve a service."""
        return [member for member in self.members if member.target.service == service]

    async def start_node(
        self, name: str, zone: str, settings: Mapping[str, str] | None = None
    ) -> NodeProcess:
        """Start a node, behind the network where there is one."""
        if self.network is not None:
            return await self.network.start_node(name, zone, settings)
        return await self.processes.start_node(name, zone, self.platform, settings=settings)

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

    async def start_target(
        self, place: Place, node: NodeProcess, address: Address | None = None
    ) -> TargetProcess:
        """Start the target of a host; each start writes a run log of its own."""
        self._started += 1
        options = ["--workload", place.deployment, "--slots", str(place.slots)]
        options += ["--seed", str(place.index)]
        options += ["--log-file", str(self.log_folder / f"{place.name}-{self._started}.log")]
        name = f"target-{place.name}"
        return await self.processes.start_target(name, place.service, node, options, address)

    def executions(self) -> list[Execution]:
        """Return the run logs of all targets, including those that crashed."""
        paths = sorted(self.log_folder.glob("*.log"))
        return [entry for path in paths for entry in read_log(path)]


async def start_fleet(
    processes: Processes,
    deployments: Sequence[Deployment],
    log_folder: Path,
    node_settings: Mapping[str, str] | None = None,
    publisher: Publisher = publish,
    separable: bool = False,
) -> Fleet:
    """Start platform, nodes and targets, publish profiles and keys, wait until nodes serve.

    With `separable` the zones of the first deployment can be cut off from each other.
    """
    fleet = Fleet(processes, await processes.start_platform(), log_folder)
    if separable:
        zones, distance_s = deployments[0].zones, deployments[0].zone_distance_s
        fleet.network = await ZoneNetwork.start(processes, zones, fleet.platform, distance_s)
    for deployment in deployments:
        fleet.keys_by_deployment[deployment.name] = await publisher(fleet.platform, deployment)
    gate = asyncio.Semaphore(STARTS_AT_ONCE)

    async def start(place: Place) -> Member:
        async with gate:
            node = await fleet.start_node(f"node-{place.name}", place.zone, node_settings)
            target = await fleet.start_target(place, node)
            return Member(place, node, await processes.wait_target(target))

    found = [place for deployment in deployments for place in places(deployment)]
    fleet.members += await asyncio.gather(*(start(place) for place in found))
    for member in fleet.members:
        await processes.wait_serving(member.node)
    await asyncio.sleep(ANNOUNCEMENT_S)
    return fleet


def places(deployment: Deployment) -> list[Place]:
    """Return the hosts of a deployment; the endpoints of a service alternate between zones."""
    zones = deployment.zones
    return [
        Place(deployment.name, service.name, zones[index % len(zones)], service.slots, index)
        for service in deployment.services
        for index in range(service.endpoints)
    ]
