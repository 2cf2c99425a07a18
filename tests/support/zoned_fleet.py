"""Node processes in several zones whose network connections can be cut."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory

from pollenglade_emulator.processes import NodeProcess
from pollenglade_emulator.processes import Processes
from pollenglade_emulator.processes import TargetProcess
from pollenglade_emulator.publication import publish
from pollenglade_emulator.records import REQUEST_HEADER
from pollenglade_emulator.records import WORK_HEADER
from pollenglade_emulator.records import Execution
from pollenglade_emulator.run_log import read_run_log
from pollenglade_emulator.workload import Deployment
from pollenglade_emulator.workload import Latency
from pollenglade_emulator.workload import Organisation
from pollenglade_emulator.workload import Route
from pollenglade_emulator.workload import Service
from pollenglade_emulator.zone_network import ZoneNetwork
from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpResponse

SERVICE = "jobs"
ORGANISATION = "acme"
MAX_CONCURRENT_STARTS = 2
JOIN_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
KILL_AFTER_S = 0.5
LONG_CALL_DEADLINE_S = 10.0
"""Deadline of the route `long`; other paths have the default deadline of 2 s."""


def zoned_deployment(zones: Sequence[str], rate_per_s: int, burst: int) -> Deployment:
    """Return a deployment with one service and one organisation, whose limit spans all zones."""
    routes = (
        Route("long", SERVICE, "GET", Latency(0.01), deadline_ms=int(LONG_CALL_DEADLINE_S * 1_000)),
    )
    organisation = Organisation(ORGANISATION, rate_per_s, burst, 1, float(rate_per_s))
    services = (Service(SERVICE, 1, 20, 100),)
    return Deployment("zoned", tuple(zones), services, routes, (organisation,))


class ZonedFleet:
    """Nodes and targets by node name; the first letter of a node name is its zone."""

    def __init__(self, processes: Processes, network: ZoneNetwork, platform: Address) -> None:
        self.processes = processes
        self.network = network
        self.platform = platform
        self.key = ""
        self.nodes: dict[str, NodeProcess] = {}
        self.targets: dict[str, TargetProcess] = {}
        self._folder = TemporaryDirectory()
        self._numbers = itertools.count()
        self._client = HttpClient()

    @classmethod
    async def start(
        cls,
        processes: Processes,
        nodes: Sequence[str],
        targets: Sequence[str],
        rate_per_s: int = 1_000,
        burst: int = 1_000,
    ) -> ZonedFleet:
        """Start the nodes and a target at each node in `targets`.

        Returns once all nodes are members and, with targets, calls succeed at every node.
        """
        zones = sorted({name[0] for name in nodes})
        platform = await processes.start_platform()
        fleet = cls(processes, await ZoneNetwork.start(processes, zones, platform), platform)
        keys = await publish(platform, zoned_deployment(zones, rate_per_s, burst))
        fleet.key = keys[ORGANISATION]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_host(name: str) -> None:
            async with semaphore:
                await fleet.start_node(name)
                if name in targets:
                    await fleet.start_target(name)

        await asyncio.gather(*(start_host(name) for name in nodes))
        await fleet.wait_joined()
        if targets:
            await fleet.wait_calls_succeed()
        return fleet

    async def close(self) -> None:
        """Close connections, stop the processes and remove the run logs."""
        await self._client.close()
        # Processes are killed early: a graceful stop takes 3 s and is covered by other tests.
        await self.processes.stop_all(KILL_AFTER_S)
        self._folder.cleanup()

    async def start_node(self, name: str) -> NodeProcess:
        """Start a node, or restart it with its previous addresses."""
        self.nodes[name] = await self.network.start_node(name, name[0])
        await self.processes.wait_serving(self.nodes[name])
        return self.nodes[name]

    async def start_target(self, name: str) -> TargetProcess:
        """Start the target of a node; a restart keeps its address and starts a new run log."""
        previous = self.targets.get(name)
        path = Path(self._folder.name) / f"{name}-{next(self._numbers)}.log"
        target = await self.processes.start_target(
            f"target-{name}",
            SERVICE,
            self.nodes[name],
            ["--log-file", str(path), "--slots", "20"],
            None if previous is None else previous.address,
        )
        self.targets[name] = target
        return await self.processes.wait_target(target)

    async def status(self, name: str) -> Mapping[str, object]:
        """Return the status of a node; empty if it does not respond."""
        address = self.nodes[name].control
        response = await self._client.request(address, "GET", "/v1/status", timeout_s=1.0)
        document = response.json() if isinstance(response, HttpResponse) else {}
        return document if isinstance(document, dict) else {}

    async def wait_joined(self, count: int | None = None) -> None:
        """Wait until each node has `count` members (default: all nodes)."""
        await self.wait_status(
            "members", count or len(self.nodes), list(self.nodes), JOIN_TIMEOUT_S
        )

    async def wait_calls_succeed(self) -> None:
        """Wait until a call at each node is admitted by the quota and served by a target."""
        end_s = asyncio.get_running_loop().time() + JOIN_TIMEOUT_S
        for name in self.nodes:
            while (found := describe_response(await self.call(name))) != "200":
                if asyncio.get_running_loop().time() >= end_s:
                    raise AssertionError(f"{name} responds with {found} after {JOIN_TIMEOUT_S} s")
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_status(
        self, field: str, value: object, names: Sequence[str], limit_s: float
    ) -> None:
        """Wait until a status field has a value at all named nodes.

        Raises AssertionError after `limit_s` seconds.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while True:
            statuses = await asyncio.gather(*(self.status(name) for name in names))
            found = {name: status.get(field) for name, status in zip(names, statuses, strict=True)}
            if all(item == value for item in found.values()):
                return
            if loop.time() >= end_s:
                raise AssertionError(f"{field} is not {value} after {limit_s} s: {found}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def call(
        self,
        name: str,
        path: str = "/job/1",
        work_ms: int | None = 5,
        timeout_s: float = LONG_CALL_DEADLINE_S + 1,
        client: HttpClient | None = None,
    ) -> HttpResponse | HttpFailure:
        """Send one idempotent call to an entry node; without `work_ms` the target chooses it."""
        headers = [
            (b"authorization", b"Bearer " + self.key.encode()),
            (REQUEST_HEADER, b"r-%d" % next(self._numbers)),
        ]
        if work_ms is not None:
            headers.append((WORK_HEADER, b"%d" % work_ms))
        return await (client or self._client).request(
            self.nodes[name].caller, "GET", f"/{SERVICE}{path}", headers, timeout_s=timeout_s
        )

    def executions(self, name: str | None = None) -> list[Execution]:
        """Return the executions of all targets, or of the target of one node, by start time."""
        paths = Path(self._folder.name).glob(f"{name or ''}*.log")
        found = [entry for path in paths for entry in read_run_log(path)]
        return sorted(found, key=lambda entry: entry.start_s)


class ZonedCase(unittest.IsolatedAsyncioTestCase):
    """A test case whose fleets are closed at the end of the test."""

    async def start_fleet(
        self,
        nodes: Sequence[str],
        targets: Sequence[str],
        rate_per_s: int = 1_000,
        burst: int = 1_000,
    ) -> ZonedFleet:
        """Start a fleet that is closed at the end of the test."""
        processes = await self.enterAsyncContext(Processes())
        fleet = await ZonedFleet.start(processes, nodes, targets, rate_per_s, burst)
        self.addAsyncCleanup(fleet.close)
        return fleet


def describe_response(response: HttpResponse | HttpFailure) -> str:
    """Return the status and reason of a response as text, or the connection failure."""
    if isinstance(response, HttpFailure):
        return f"failure {response.reason}"
    reason = (response.header(b"pollenglade-reason") or b"").decode()
    return f"{response.status} {reason}".strip()


def count_responses(responses: Sequence[HttpResponse | HttpFailure]) -> Counter[str]:
    """Count responses by their description."""
    return Counter(describe_response(response) for response in responses)
