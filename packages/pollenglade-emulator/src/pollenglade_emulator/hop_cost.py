"""Subcommand `hop-cost`: latency, processor time and memory that two nodes add to a call."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import Annotated
from typing import Any

import typer
import uvloop

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure

from .fleet import ANNOUNCEMENT_WAIT_S
from .processes import NODE_MODULE
from .processes import NodeProcess
from .processes import Processes
from .publication import publish
from .records import REQUEST_HEADER
from .records import WORK_HEADER
from .workload import Deployment
from .workload import Latency
from .workload import Organisation
from .workload import Route
from .workload import Service

PLANNED_RATE_PER_S = 125
"""Calls per second of one entry node at the planned size: 110,000 per second on 880 nodes."""

IDLE_PHASE_S = 10.0
SATURATION_WORKERS = 32
IDLE_CONNECTIONS = 800
CONTRACT_RATE_PER_S = 1_000_000
WORK_MS = b"0"
WARM_UP_CALLS = 300

DEPLOYMENT = Deployment(
    name="hop-cost",
    zones=("z1",),
    services=(Service("jobs", endpoints=1, slots=400, connections=800),),
    routes=(Route("plain", "jobs", "GET", Latency(0.0001), share=1.0),),
    organisations=(Organisation("caller", CONTRACT_RATE_PER_S, CONTRACT_RATE_PER_S, 1, 1.0),),
)


@dataclass
class Samples:
    """Latencies of one path in seconds, and the number of failed calls."""

    seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def quantile_us(self, quantile: float) -> int:
        """Return a quantile in microseconds; 0 without samples."""
        if not self.seconds:
            return 0
        ordered = sorted(self.seconds)
        return round(ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] * 1e6)


@dataclass(frozen=True)
class Usage:
    """Processor time in seconds and resident memory in bytes of one process."""

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from `/proc`."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return Usage(ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE"))


class HopCost:
    """Measurements on two nodes and one target; the entry node has no target."""

    def __init__(self, entry: NodeProcess, serving: NodeProcess, target: Address, key: str) -> None:
        self._entry = entry
        self._serving = serving
        self._target = target
        self._key = key
        self._client = HttpClient()
        self._number = 0

    async def through_nodes(self) -> bool:
        """Send one call through both nodes; return whether it succeeded."""
        headers = [(b"authorization", b"Bearer " + self._key.encode())]
        return await self._send(self._entry.caller, "/jobs/plain/1", headers)

    async def direct(self) -> bool:
        """Send one call directly to the target; return whether it succeeded."""
        return await self._send(self._target, "/plain/1", [])

    async def _send(self, address: Address, target: str, headers: Headers) -> bool:
        self._number += 1
        fields = [*headers, (REQUEST_HEADER, b"%d" % self._number), (WORK_HEADER, WORK_MS)]
        response = await self._client.request(address, "GET", target, fields)
        return not isinstance(response, HttpFailure) and response.status == 200

    async def measure_pairs(self, pairs: int, rate_per_s: float) -> dict[str, Any]:
        """Send pairs of calls at a steady rate; the order of the calls alternates between pairs."""
        paths = {"direct": Samples(), "nodes": Samples()}
        calls: dict[str, Callable[[], Awaitable[bool]]] = {
            "direct": self.direct,
            "nodes": self.through_nodes,
        }
        before = self._read_usages()
        for number in range(pairs):
            due = perf_counter() + 1.0 / rate_per_s
            for name in ("direct", "nodes") if number % 2 else ("nodes", "direct"):
                await time_call(calls[name], paths[name])
            await asyncio.sleep(max(0.0, due - perf_counter()))
        after = self._read_usages()
        return {
            "pairs": pairs,
            "failed": {name: samples.failed for name, samples in paths.items()},
            "direct_us": quantiles(paths["direct"]),
            "nodes_us": quantiles(paths["nodes"]),
            "added_us": {
                name: paths["nodes"].quantile_us(q) - paths["direct"].quantile_us(q)
                for name, q in QUANTILES.items()
            },
            "cpu_us_per_call": cpu_per_call_us(before, after, pairs),
        }

    async def measure_saturation(self, calls: int) -> dict[str, Any]:
        """Send calls from concurrent workers as fast as the nodes respond."""
        samples = Samples()
        before, started_at = self._read_usages(), perf_counter()

        async def worker() -> None:
            for _ in range(calls // SATURATION_WORKERS):
                await time_call(self.through_nodes, samples)

        await asyncio.gather(*(worker() for _ in range(SATURATION_WORKERS)))
        elapsed_s = perf_counter() - started_at
        after = self._read_usages()
        return {
            "calls_per_s": round(len(samples.seconds) / elapsed_s),
            "failed": samples.failed,
            "nodes_us": quantiles(samples),
            "cpu_us_per_call": cpu_per_call_us(before, after, calls),
            "core_share": {
                name: round((after[name].cpu_s - before[name].cpu_s) / elapsed_s, 2)
                for name in before
            },
        }

    async def measure_idle(self, seconds: float) -> dict[str, float]:
        """Measure the processor time of control work without calls, as a fraction of a core."""
        before, started_at = self._read_usages(), perf_counter()
        await asyncio.sleep(seconds)
        elapsed_s, after = perf_counter() - started_at, self._read_usages()
        return {
            name: round((after[name].cpu_s - before[name].cpu_s) / elapsed_s, 4) for name in before
        }

    async def measure_memory(self) -> dict[str, Any]:
        """Measure resident memory without and with many idle connections that had one call each."""
        before = self._read_usages()
        writers = [await self._connect_and_call() for _ in range(IDLE_CONNECTIONS)]
        with_connections = self._read_usages()
        for writer in writers:
            writer.close()
        return {
            "connections": IDLE_CONNECTIONS,
            "rss_mb": {name: round(usage.rss_bytes / 1e6, 1) for name, usage in before.items()},
            "rss_mb_with_connections": {
                name: round(usage.rss_bytes / 1e6, 1) for name, usage in with_connections.items()
            },
        }

    async def _connect_and_call(self) -> asyncio.StreamWriter:
        address = self._entry.caller
        reader, writer = await asyncio.open_connection(address.host, address.port)
        lines = (
            "GET /jobs/plain/1 HTTP/1.1",
            "Host: node",
            f"Authorization: Bearer {self._key}",
            f"{WORK_HEADER.decode()}: 0",
            "",
            "",
        )
        writer.write("\r\n".join(lines).encode())
        await reader.readuntil(b"\r\n\r\n")
        return writer

    def _read_usages(self) -> dict[str, Usage]:
        return {
            "entry": read_usage(self._entry.process.pid),
            "serving": read_usage(self._serving.process.pid),
        }

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99}


def quantiles(samples: Samples) -> dict[str, int]:
    """Return p50, p90 and p99 in microseconds."""
    return {name: samples.quantile_us(value) for name, value in QUANTILES.items()}


def cpu_per_call_us(
    before: dict[str, Usage], after: dict[str, Usage], calls: int
) -> dict[str, int]:
    """Return the processor time of each node per call in microseconds."""
    return {name: round((after[name].cpu_s - before[name].cpu_s) / calls * 1e6) for name in before}


async def time_call(call: Callable[[], Awaitable[bool]], samples: Samples) -> None:
    """Await a call and add its latency, or its failure, to the samples."""
    started_at = perf_counter()
    ok = await call()
    if ok:
        samples.seconds.append(perf_counter() - started_at)
    else:
        samples.failed += 1


async def measure(pairs: int, calls: int, node_module: str) -> dict[str, Any]:
    """Start the processes and run all measurements one after another."""
    async with Processes(node_module) as processes:
        platform = await processes.start_platform()
        keys = await publish(platform, DEPLOYMENT)
        entry = await processes.start_node("entry", "z1", platform)
        serving = await processes.start_node("serving", "z1", platform)
        with TemporaryDirectory() as folder:
            options = ["--slots", "400", "--log-file", str(Path(folder) / "target.log")]
            target = await processes.start_target("target", "jobs", serving, options)
            await processes.wait_target(target)
            await processes.wait_serving(entry)
            await asyncio.sleep(ANNOUNCEMENT_WAIT_S)
            cost = HopCost(entry, serving, target.address, keys["caller"])
            for _ in range(WARM_UP_CALLS):
                await cost.through_nodes()
                await cost.direct()
            result = {
                "idle_core_share": await cost.measure_idle(IDLE_PHASE_S),
                "planned_rate": await cost.measure_pairs(pairs, PLANNED_RATE_PER_S),
                "saturation": await cost.measure_saturation(calls),
                "memory": await cost.measure_memory(),
                "load_average": os.getloadavg()[0],
            }
            await cost.close()
            return result


def hop_cost(
    pairs: Annotated[int, typer.Option(help="Pairs of calls at the planned rate.")] = 2_000,
    calls: Annotated[int, typer.Option(help="Calls at saturation.")] = 10_000,
    node_module: Annotated[str, typer.Option(help="Module that runs a node.")] = NODE_MODULE,
) -> None:
    """Measure the cost that two nodes add to a call, interleaved with direct calls."""
    result = uvloop.run(measure(pairs, calls, node_module))
    typer.echo(json.dumps(result, indent=2))
