"""A running deployment: the platform, and hosts with one node and one target each."""

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
from .run_log import read_run_log
from .workload import Deployment
from .zone_network import ZoneNetwork

MAX_CONCURRENT_STARTS = 2
"""Hosts that start concurrently; loading the modules of a process keeps one core busy."""

ANNOUNCEMENT_WAIT_S = 3.0
"""Time until every node knows the targets of the others by announcement and gossip."""

Publisher = Callable[[Address, Deployment], Awaitable[dict[str, str]]]
"""Publishes profile and keys of a deployment and returns the key of each organisation."""


@dataclass(frozen=True)
class HostSpec:
    """Specification of one host; `index` numbers the endpoints of the service."""

    deployment: str
    service: str
    zone: str
    slots: int
    index: int

    @property
    def name(self) -> str:
        """Name of the host, used for its processes and run logs."""
        return f"{self.service}-{self.index}"


@dataclass
class FleetHost:
    """One running host with its node and its target."""

    spec: HostSpec
    node: NodeProcess
    target: TargetProcess


@dataclass
class Fleet:
    """All processes of one or more deployments that share a platform.

    `network` connects the zones; without it there are no partitions between them.
    """

    processes: Processes
    platform: Address
    log_folder: Path
    hosts: list[FleetHost] = field(default_factory=list)
    keys_by_deployment: dict[str, dict[str, str]] = field(default_factory=dict)
    network: ZoneNetwork | None = None
    _target_start_count: int = 0

    def caller_addresses(self, zone: str | None = None) -> list[Address]:
        """Return the caller addresses of all nodes, or of those in one zone."""
        return [member.node.caller for member in self.hosts if zone in (None, member.node.zone)]

    def hosts_of(self, service: str) -> list[FleetHost]:
        """Return the hosts whose target serves a service."""
        return [member for member in self.hosts if member.target.service == service]

    async def start_node(
        self, name: str, zone: str, settings: Mapping[str, str] | None = None
    ) -> NodeProcess:
        """Start a node, behind the network of zones if there is one."""
        if self.network is not None:
            return await self.network.start_node(name, zone, settings)
        return await self.processes.start_node(name, zone, self.platform, settings=settings)

    async def set_target_conduct(
        self, target: TargetProcess, conduct: Mapping[str, object]
    ) -> None:
        """Change the conduct of a target; raise RuntimeError if it does not accept the change."""
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
        self, spec: HostSpec, node: NodeProcess, address: Address | None = None
    ) -> TargetProcess:
        """Start the target of a host; each start writes a new run log."""
        self._target_start_count += 1
        options = ["--workload", spec.deployment, "--slots", str(spec.slots)]
        options += ["--seed", str(spec.index)]
        options += [
            "--log-file",
            str(self.log_folder / f"{spec.name}-{self._target_start_count}.log"),
        ]
        name = f"target-{spec.name}"
        return await self.processes.start_target(name, spec.service, node, options, address)

    def executions(self) -> list[Execution]:
        """Return the run logs of all targets, including those that crashed."""
        paths = sorted(self.log_folder.glob("*.log"))
        return [entry for path in paths for entry in read_run_log(path)]


async def start_fleet(
    processes: Processes,
    deployments: Sequence[Deployment],
    log_folder: Path,
    node_settings: Mapping[str, str] | None = None,
    publisher: Publisher = publish,
    partitionable: bool = False,
) -> Fleet:
    """Start platform, nodes and targets, publish profiles and keys, wait until nodes serve.

    With `partitionable` the nodes run behind a network of the zones of the first deployment, which
    can partition them.
    """
    fleet = Fleet(processes, await processes.start_platform(), log_folder)
    if partitionable:
        zones, delay_s = deployments[0].zones, deployments[0].zone_delay_s
        fleet.network = await ZoneNetwork.start(processes, zones, fleet.platform, delay_s)
    for deployment in deployments:
        fleet.keys_by_deployment[deployment.name] = await publisher(fleet.platform, deployment)
    start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start(spec: HostSpec) -> FleetHost:
        async with start_limit:
            node = await fleet.start_node(f"node-{spec.name}", spec.zone, node_settings)
            target = await fleet.start_target(spec, node)
            return FleetHost(spec, node, await processes.wait_target(target))

    specs = [spec for deployment in deployments for spec in host_specs(deployment)]
    fleet.hosts += await asyncio.gather(*(start(spec) for spec in specs))
    for member in fleet.hosts:
        await processes.wait_serving(member.node)
    await asyncio.sleep(ANNOUNCEMENT_WAIT_S)
    return fleet


def host_specs(deployment: Deployment) -> list[HostSpec]:
    """Return the hosts of a deployment; zones are assigned to endpoints in turn."""
    zones = deployment.zones
    return [
        HostSpec(deployment.name, service.name, zones[index % len(zones)], service.slots, index)
        for service in deployment.services
        for index in range(service.endpoints)
    ]
