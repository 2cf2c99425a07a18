"""Subcommand `control-cost`: cost of control work per node, by the number of nodes."""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic
from typing import Annotated
from typing import Any
from uuid import uuid4

import typer
import uvloop

from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import hash_secret
from pollenglade_net.address import Address
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.platform_client import PlatformClient

from .hop_cost import DEPLOYMENT
from .hop_cost import read_usage
from .processes import NodeProcess
from .processes import Processes
from .publication import publish

MAX_CONCURRENT_STARTS = 4
SETTLE_S = 8.0
POLL_S = 0.05
IN_FORCE_TIMEOUT_S = 20.0
PLANNED_NODES = 880


@dataclass(frozen=True)
class CostPoint:
    """Control cost of one node in one phase, as means over all nodes of a fleet."""

    nodes: int
    phase: str
    core_share: float
    rss_mb: float
    bytes_per_s: float


@dataclass(frozen=True)
class Traffic:
    """Bytes that a process has read from and written to sockets and files since its start."""

    total_bytes: int


def read_traffic(pid: int) -> Traffic:
    """Read the byte counts of a process; nodes transfer hardly any bytes except on sockets."""
    values = dict(
        line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines() if line
    )
    return Traffic(int(values["rchar"]) + int(values["wchar"]))


class ControlCost:
    """Measurements on a fleet of nodes without targets."""

    def __init__(self, platform: Address, nodes: list[NodeProcess]) -> None:
        self._nodes = nodes
        self._client = HttpClient()
        self._random = Random(1)
        self._platform = PlatformClient(platform, "operators", self._random)
        self._store = ConfigurationStore(self._platform, self._platform, self._random)

    async def measure(self, phase: str, seconds: float, changes: int) -> CostPoint:
        """Measure one phase with configuration changes at regular intervals."""
        pids = [node.process.pid for node in self._nodes]
        before = [(read_usage(pid), read_traffic(pid)) for pid in pids]
        started_at = monotonic()
        for number in range(changes):
            await self._commit()
            due = started_at + seconds * (number + 1) / changes
            await asyncio.sleep(max(0.0, due - monotonic()))
        await asyncio.sleep(max(0.0, started_at + seconds - monotonic()))
        elapsed_s = monotonic() - started_at
        after = [(read_usage(pid), read_traffic(pid)) for pid in pids]
        pairs = list(zip(before, after, strict=True))
        return CostPoint(
            len(pids),
            phase,
            statistics.mean(b[0].cpu_s - a[0].cpu_s for a, b in pairs) / elapsed_s,
            statistics.mean(b[0].rss_bytes for _, b in pairs) / 1e6,
            statistics.mean(b[1].total_bytes - a[1].total_bytes for a, b in pairs) / elapsed_s,
        )

    async def _commit(self) -> int:
        key_id = f"measured-{uuid4().hex[:12]}"
        record = KeyRecord(key_id, "caller", hash_secret(key_id))
        change = KeyChange(key_id, 0, record, ChangeOrigin("emulator", time.time(), uuid4().hex))
        committed = await self._store.commit(change)
        if not isinstance(committed, Committed):
            raise RuntimeError(f"the configuration change was not committed: {committed}")
        return committed.version

    async def measure_time_in_force(self, repeats: int) -> list[float]:
        """Return for each change the time in seconds until it is in force at every node.

        If a change is not in force everywhere within `IN_FORCE_TIMEOUT_S`, its entry is the time
        waited.
        """
        return [await self._until_in_force(await self._commit()) for _ in range(repeats)]

    async def _until_in_force(self, version: int) -> float:
        started_at = monotonic()
        pending = list(self._nodes)
        while pending and monotonic() - started_at < IN_FORCE_TIMEOUT_S:
            outdated = [node for node in pending if await self._version(node) < version]
            if outdated:
                await asyncio.sleep(POLL_S)
            pending = outdated
        return monotonic() - started_at

    async def _version(self, node: NodeProcess) -> int:
        response = await self._client.request(node.control, "GET", "/v1/status")
        if not isinstance(response, HttpResponse):
            return 0
        document = response.json()
        return int(document["configuration_version"]) if isinstance(document, dict) else 0

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
        await self._platform.close()


async def measure_fleet(count: int, seconds: float, zones: int, changes: list[int]) -> Any:
    """Start a fleet of `count` nodes and measure phases and times until changes are in force."""
    async with Processes() as processes:
        platform = await processes.start_platform()
        await publish(platform, DEPLOYMENT)
        start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(number: int) -> NodeProcess:
            async with start_limit:
                zone = f"z{number % zones + 1}"
                return await processes.start_node(f"node-{number}", zone, platform)

        nodes = list(await asyncio.gather(*(start(number) for number in range(count))))
        for node in nodes:
            await processes.wait_serving(node)
        await asyncio.sleep(SETTLE_S)
        cost = ControlCost(platform, nodes)
        points = [await cost.measure("idle", seconds, 0)]
        in_force_s = sorted(await cost.measure_time_in_force(10))
        for number in changes:
            points.append(await cost.measure(f"{number} changes", seconds, number))
        await cost.close()
        return points, in_force_s


def fit_over_nodes(points: list[CostPoint], phase: str, field: str) -> dict[str, float]:
    """Fit a field linearly over the number of nodes; empty with fewer than two sizes."""
    phase_points = [point for point in points if point.phase == phase]
    sizes = [float(point.nodes) for point in phase_points]
    values = [float(getattr(point, field)) for point in phase_points]
    if len(sizes) < 2:
        return {}
    regression = statistics.linear_regression(sizes, values)
    r_squared = statistics.correlation(sizes, values) ** 2 if len(set(values)) > 1 else 1.0
    return {
        "slope_per_node": regression.slope,
        "intercept": regression.intercept,
        "r2": r_squared,
        "at_planned_size": regression.intercept + regression.slope * PLANNED_NODES,
    }


def control_cost(
    sizes: Annotated[str, typer.Option(help="Numbers of nodes, separated by commas.")] = "10,20,40",
    seconds: Annotated[float, typer.Option(help="Duration of each phase.")] = 20.0,
    zones: Annotated[int, typer.Option(help="Zones of the fleet.")] = 4,
    changes: Annotated[
        str, typer.Option(help="Numbers of changes, each for one phase.")
    ] = "1,10,100",
) -> None:
    """Measure processor time, memory and bytes of control work; fit them over the fleet size."""
    points: list[CostPoint] = []
    in_force: dict[int, Any] = {}
    counts = [int(number) for number in changes.split(",") if number]
    for size in (int(text) for text in sizes.split(",")):
        size_points, in_force_s = uvloop.run(measure_fleet(size, seconds, zones, counts))
        points += size_points
        in_force[size] = {
            "p50_s": round(statistics.median(in_force_s), 2),
            "max_s": round(in_force_s[-1], 2),
        }
        for point in size_points:
            typer.echo(json.dumps(point.__dict__), err=True)
    phases = list(dict.fromkeys(point.phase for point in points))
    fields = ("core_share", "rss_mb", "bytes_per_s")
    document = {
        "points": [point.__dict__ for point in points],
        "fits": {
            phase: {name: fit_over_nodes(points, phase, name) for name in fields}
            for phase in phases
        },
        "in_force": in_force,
        "load_average": os.getloadavg()[0],
    }
    typer.echo(json.dumps(document, indent=2))
