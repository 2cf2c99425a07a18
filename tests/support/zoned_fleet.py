"""A few nodes in zones that can be cut off from each other, for tests with processes."""

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
from pollenglade_emulator.run_log import read_log
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
STARTS_AT_ONCE = 2
JOIN_S = 20.0
POLL_S = 0.05
KILL_S = 0.5
DEADLINE_S = 10.0
"""Longest call of route `long`; other paths have the default deadline of 2 s."""


def deployment(zones: Sequence[str], rate_per_s: int, burst: int) -> Deployment:
    """Return one service and one organisation with a rate and burst over all zones."""
    routes = (Route("long", SERVICE, "GET", Latency(0.01), deadline_ms=int(DEADLINE_S * 1_000)),)
    organisation = Organisation(ORGANISATION, rate_per_s, burst, 1, float(rate_per_s))
    services = (Service(SERVICE, 1, 20, 100),)
    return Deployment("zoned", tuple(zones), services, routes, (organisation,))


class ZonedFleet:
    """Nodes by name; the name of a node starts with the letter of its zone."""

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
        """Start the nodes, a target at each of `targets`, and wait until all know each other."""
        zones = sorted({name[0] for name in nodes})
        platform = await processes.start_platform()
        fleet = cls(processes, await ZoneNetwork.start(processes, zones, platform), platform)
        keys = await publish(platform, deployment(zones, rate_per_s, burst))
        fleet.key = keys[ORGANISATION]
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start_host(name: str) -> None:
            async with gate:
                await fleet.start_node(name)
                if name in targets:
                    await fleet.start_target(name)

        await asyncio.gather(*(start_host(name) for name in nodes))
        await fleet.wait_joined()
        if targets:
            await fleet.wait_granting()
        return fleet

    async def close(self) -> None:
        """Close connections and remove the run logs; end the processes at once."""
        await self._client.close()
        # A graceful stop takes 3 s and is the subject of tests of its own.
        await self.processes.stop_all(KILL_S)
        self._folder.cleanup()

    async def start_node(self, name: str) -> NodeProcess:
        """Start a node, or start it again on its former addresses."""
        self.nodes[name] = await self.network.start_node(name, name[0])
        await self.processes.wait_serving(self.nodes[name])
        return self.nodes[name]

    async def start_target(self, name: str) -> TargetProcess:
        """Start the target of a node; a restart keeps its address and writes a new log."""
        former = self.targets.get(name)
        path = Path(self._folder.name) / f"{name}-{next(self._numbers)}.log"
        target = await self.processes.start_target(
            f"target-{name}",
            SERVICE,
            self.nodes[name],
            ["--log-file", str(path), "--slots", "20"],
            None if former is None else former.address,
        )
        self.targets[name] = target
        return await self.processes.wait_target(target)

    async def status(self, name: str) -> Mapping[str, object]:
        """Return the status of a node, empty where it does not answer."""
        address = self.nodes[name].control
        response = await self._client.request(address, "GET", "/v1/status", timeout_s=1.0)
        document = response.json() if isinstance(response, HttpResponse) else {}
        return document if isinstance(document, dict) else {}

    async def wait_joined(self, count: int | None = None) -> None:
        """Wait until each node knows `count` members, all if not given."""
        await self.wait_status("members", count or len(self.nodes), list(self.nodes), JOIN_S)

    async def wait_granting(self) -> None:
        """Wait until a call at each node gets quota and a target."""
        end_s = asyncio.get_running_loop().time() + JOIN_S
        for name in self.nodes:
            while (found := outcome(await self.call(name))) != "200":
                if asyncio.get_running_loop().time() >= end_s:
                    raise AssertionError(f"{name} answers {found} after {JOIN_S} s")
                await asyncio.sleep(POLL_S)

    async def wait_status(
        self, field: str, value: object, names: Sequence[str], limit_s: float
    ) -> None:
        """Wait until the status of all named nodes has a value; raise AssertionError otherwise."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while True:
            statuses = await asyncio.gather(*(self.status(name) for name in names))
            found = {name: status.get(field) for name, status in zip(names, statuses, strict=True)}
            if all(item == value for item in found.values()):
                return
            if loop.time() >= end_s:
                raise AssertionError(f"{field} is not {value} after {limit_s} s: {found}")
            await asyncio.sleep(POLL_S)

    async def call(
        self,
        name: str,
        path: str = "/job/1",
        work_ms: int | None = 5,
        timeout_s: float = DEADLINE_S + 1,
        client: HttpClient | None = None,
    ) -> HttpResponse | HttpFailure:
        """Send one idempotent call to an entry node; without `work_ms` the target decides."""
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
        """Return what all targets, or all processes of one, executed, by start time."""
        paths = Path(self._folder.name).glob(f"{name or ''}*.log")
        found = [entry for path in paths for entry in read_log(path)]
        return sorted(found, key=lambda entry: entry.start_s)


class ZonedCase(unittest.IsolatedAsyncioTestCase):
    """A test case with one fleet, which ends with the test."""

    async def start(
        self,
        nodes: Sequence[str],
        targets: Sequence[str],
        rate_per_s: int = 1_000,
        burst: int = 1_000,
    ) -> ZonedFleet:
        """Start a fleet for this test."""
        processes = await self.enterAsyncContext(Processes())
        fleet = await ZonedFleet.start(processes, nodes, targets, rate_per_s, burst)
        self.addAsyncCleanup(fleet.close)
        return fleet


def outcome(response: HttpResponse | HttpFailure) -> str:
    """Return what a caller saw: the status with the reason, or the failure of the connection."""
    if isinstance(response, HttpFailure):
        return f"failure {response.reason}"
    reason = (response.header(b"pollenglade-reason") or b"").decode()
    return f"{response.status} {reason}".strip()


def outcomes(responses: Sequence[HttpResponse | HttpFailure]) -> Counter[str]:
    """Count what callers saw."""
    return Counter(outcome(response) for response in responses)
