"""Check that nodes of two builds work together on one platform and in one mesh.

    make two-builds OTHER=<checkout of another revision>

The check of the caller interface starts pairs of nodes on the platform stand-in; the check of the
mesh starts three platform nodes on the store stand-in.

First, all nodes run the other build as a baseline. Then some of them are replaced by this build.
Last, each build runs on data that the other one wrote. The exit code is 1 if a call fails, a
payment runs twice, more calls within the rate are refused than in the baseline, or a log contains
an error that the baseline does not have.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from pathlib import Path
from uuid import uuid4

import orjson
from support.system import DEPLOYMENT
from support.system import REQUEST_HEADER
from support.system import WORK_HEADER
from support.system import System
from support.system import outcome_of
from support.system import reason_of
from support_platform.mesh import KEY
from support_platform.mesh import manifest
from support_platform.node_process import NodeProcess as MeshNodeProcess
from support_platform.store_standin import StoreStandin

from pollenglade_emulator.processes import NodeProcess
from pollenglade_emulator.processes import Processes
from pollenglade_emulator.processes import TargetProcess
from pollenglade_emulator.publication_command import publish_by_command
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse
from pollenglade_platform.header_fields import HEADER_NAMES

CALL_COUNT = 300
"""Calls per scenario; with the caller interface, half of them are payments."""

CONCURRENCY = 4
"""Low enough that no call waits for a slot, so that a refusal shows a difference between builds."""

MAX_PAYMENT_SENDS = 40
PAYMENT_SEND_INTERVAL_S = 0.1
WORK_MS = b"5"
"""Work of a call at its target in milliseconds, as a header value."""

COUNT_BATCH_WAIT_S = 12.0
"""Seconds until a node has closed a batch of call counts, which it does every 10 s."""

CRASHING_CALL = "/fees/_poison/1"
CRASHING_CALL_SENDS = 4
TARGET_FAILED = "target-failed"
MAX_CRASHES = 2
"""Number of target crashes after which all nodes refuse a call."""

MESH_RATE_PER_S = 400
PROPAGATION_WAIT_S = 3.0
"""Seconds for announcements, states and call trees to reach all nodes and the store."""

ROOT = Path(__file__).resolve().parent.parent


def python_path(checkout: Path) -> str:
    """Return the PYTHONPATH for the sources of a checkout."""
    folders = [*sorted(checkout.glob("packages/*/src")), checkout / "platform" / "src"]
    return os.pathsep.join(map(str, folders))


@contextmanager
def use_build(checkout: Path) -> Iterator[None]:
    """Start child processes within the context with the sources of a checkout."""
    previous_path = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = python_path(checkout)
    try:
        yield
    finally:
        if previous_path is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = previous_path


def log_errors(outputs: Sequence[str]) -> set[str]:
    """Return the distinct warnings, errors and tracebacks in logs, by event or exception."""
    found: set[str] = set()
    for line in "\n".join(outputs).splitlines():
        if line.startswith("{"):
            entry = orjson.loads(line)
            if entry.get("level") in ("warning", "error", "critical"):
                found.add(f"{entry['level']} {entry['event']}")
        elif line.startswith("Traceback") or line.partition(":")[0].endswith("Error"):
            found.add(line)
    return found


class Report:
    """Prints the results of each scenario and collects failures."""

    def __init__(self) -> None:
        self.failures: list[str] = []
        self._baseline_refused_count: int | None = None
        self._baseline_errors: set[str] = set()

    def add(self, scenario: str, results: Counter[str], errors: set[str], baseline: bool) -> None:
        """Print the results and log errors of a scenario and compare them with the baseline."""
        refused_count = results["over-rate"]
        print(f"{scenario}: {dict(sorted(results.items()))}, log: {sorted(errors) or 'clean'}")
        if baseline:
            self._baseline_refused_count, self._baseline_errors = (
                refused_count,
                self._baseline_errors | errors,
            )
        failed_count = results.total() - results["ran"] - refused_count
        if failed_count:
            self.failures.append(f"{scenario}: {failed_count} calls failed")
        if (
            self._baseline_refused_count is not None
            and refused_count > self._baseline_refused_count
        ):
            self.failures.append(
                f"{scenario}: {refused_count} refused, "
                f"{self._baseline_refused_count} by the baseline"
            )
        if errors - self._baseline_errors:
            self.failures.append(
                f"{scenario}: new in a log: {sorted(errors - self._baseline_errors)}"
            )


class NodePair:
    """Two nodes with one target each; most calls enter at one node and run at the other."""

    def __init__(self, processes: Processes, system: System, report: Report) -> None:
        self._processes = processes
        self._system = system
        self._report = report
        self._bodies_by_payment: dict[str, bytes] = {}
        self._target: TargetProcess

    async def start(self, first_build: Path, second_build: Path) -> None:
        """Start one node of each checkout, each with a target of another service."""
        self._system.nodes.clear()
        for checkout, zone, service in (
            (first_build, "z1", "fees"),
            (second_build, "z2", "open-calls"),
        ):
            with use_build(checkout):
                name = f"node-{uuid4().hex[:8]}"
                node = await self._processes.start_node(name, zone, self._system.platform)
                await self._processes.wait_serving(node)
                self._system.nodes.append(node)
                target = await self._system.add_target(node, service)
                if service == "fees":
                    self._target = target
        for node in self._system.nodes:
            for service in ("fees", "open-calls"):
                await self._system.wait_ready(node, service)

    async def run_scenario(self, scenario: str, baseline: bool = False) -> None:
        """Send calls and payments to both nodes, then repeat all payments sent so far."""
        results: Counter[str] = Counter()
        semaphore = asyncio.Semaphore(CONCURRENCY)

        async def send(index: int) -> None:
            async with semaphore:
                node = self._system.nodes[index % 2]
                if index % 4 < 2:
                    path = ("/open-calls/call/1", "/fees/quote/1")[index % 2]
                    response = await self._system.call(node, path, [(WORK_HEADER, WORK_MS)])
                    results[
                        (
                            outcome_of(response)
                            if outcome_of(response) == "ran"
                            else reason_of(response)
                        )
                    ] += 1
                    return
                results[await self._send_payment(node, f"{scenario}-{index}")] += 1

        await asyncio.gather(*(send(index) for index in range(CALL_COUNT)))
        for name in list(self._bodies_by_payment):
            results[await self._send_payment(self._system.nodes[len(name) % 2], name)] += 1
        outputs = [node.process.output for node in self._system.nodes]
        self._report.add(scenario, results, log_errors(outputs), baseline)

    async def _send_payment(self, node: NodeProcess, name: str) -> str:
        headers = [(b"idempotency-key", name.encode()), (REQUEST_HEADER, name.encode())]
        headers.append((WORK_HEADER, WORK_MS))
        for _ in range(MAX_PAYMENT_SENDS):
            response = await self._system.call(node, "/fees/payment/1", headers, "POST", b"pay")
            if reason_of(response) != "over-rate":
                break
            await asyncio.sleep(PAYMENT_SEND_INTERVAL_S)
        if not isinstance(response, HttpResponse) or outcome_of(response) != "ran":
            return reason_of(response)
        is_same = self._bodies_by_payment.setdefault(name, response.body) == response.body
        return "ran" if is_same else "different response to a repeated payment"

    async def check_quarantine(self, scenario: str) -> None:
        """Send a call that crashes its target to both nodes in turn; both must quarantine it."""
        reasons: Counter[str] = Counter()
        for send_number in range(CRASHING_CALL_SENDS):
            response = await self._system.call(self._system.nodes[send_number % 2], CRASHING_CALL)
            reasons[reason_of(response) or outcome_of(response)] += 1
            if reason_of(response) == TARGET_FAILED:
                await self._target.process.wait()
                self._target = await self._system.add_target(self._system.nodes[0], "fees")
            await self._system.wait_ready(self._system.nodes[1], "fees")
        print(f"{scenario}, calls that crash a target: {dict(sorted(reasons.items()))}")
        if reasons["quarantined"] < CRASHING_CALL_SENDS - MAX_CRASHES:
            self._report.failures.append(f"{scenario}: a node does not quarantine the call")

    async def read_with_both_builds(self, other: Path, scenario: str) -> None:
        """Read the status and call counts of both nodes with the commands of both builds."""
        await asyncio.sleep(COUNT_BATCH_WAIT_S)
        node_flags = [part for node in self._system.nodes for part in ("--node", str(node.control))]
        for checkout in (other, ROOT):
            with use_build(checkout):
                code, _ = await self._system.run_command("status")
                burn = await self._processes.start(
                    f"burn-{uuid4().hex}",
                    ["-m", "pollenglade_cli", "report", "burn", "--output", "json", *node_flags],
                )
                burn_code = await burn.wait()
            calls = sum(item["calls"] for item in orjson.loads(burn.output)["burns"])
            if (code, burn_code) != (0, 0) or not calls:
                self._report.failures.append(
                    f"{scenario}: status exited {code}, report burn {burn_code} with {calls} calls"
                )

    async def stop(self) -> None:
        """Stop nodes and targets and check that no payment ran twice."""
        running = [item for item in self._processes.by_name.values() if item.exit_code is None]
        for process in running:
            if process.name == "platform":
                continue
            code = await process.stop()
            if code != 0:
                self._report.failures.append(f"{process.name} exited {code}")
        runs = Counter(
            run.idempotency_key for run in self._system.executions() if run.method == "POST"
        )
        repeated_payments = [name for name, count in runs.items() if count > 1]
        if repeated_payments:
            self._report.failures.append(f"payments that ran twice: {repeated_payments}")


async def check_caller_interface(other: Path, report: Report) -> None:
    """Check the caller interface; the other build publishes configuration and keys."""
    client = HttpClient()
    with tempfile.TemporaryDirectory() as folder:
        async with Processes() as processes:
            with use_build(other):
                platform = await processes.start_platform()
                keys = await publish_by_command(platform, DEPLOYMENT)
            system = System(processes, platform, Path(folder), client, keys)
            node_pair = NodePair(processes, system, report)
            for scenario, first_build, second_build in (
                ("service calls, other build", other, other),
                ("service calls, other and this", other, ROOT),
                ("service calls, this and other", ROOT, other),
                ("service calls, this build", ROOT, ROOT),
                ("service calls, other build again", other, other),
            ):
                await node_pair.start(first_build, second_build)
                await node_pair.run_scenario(scenario, baseline=scenario.endswith("other build"))
                await node_pair.read_with_both_builds(other, scenario)
                await node_pair.check_quarantine(scenario)
                await node_pair.stop()
            await client.close()


async def check_mesh(other: Path, report: Report) -> None:
    """Check the mesh; the store keeps the data that each build wrote."""
    store = StoreStandin()
    await store.start()
    limits = {"rate": MESH_RATE_PER_S, "burst": MESH_RATE_PER_S}
    store.put("op", "config", orjson.dumps(manifest(1, **limits)))
    client = HttpClient()
    with tempfile.TemporaryDirectory() as folder:
        services = ("calls", "calls", "jury")
        nodes = [
            MeshNodeProcess(number, service, Path(folder), store.port)
            for number, service in enumerate(services, 1)
        ]
        for round_number, (scenario, builds) in enumerate(
            (
                ("mesh, other build", (other, other, other)),
                ("mesh, other build restarted", (other, other, other)),
                ("mesh, other with one of this", (other, other, ROOT)),
                ("mesh, this with one of the other", (other, ROOT, ROOT)),
                ("mesh, this build", (ROOT, ROOT, ROOT)),
                ("mesh, other build again", (other, other, other)),
            )
        ):
            for node, checkout in zip(nodes, builds, strict=True):
                with use_build(checkout):
                    if round_number == 0:
                        await node.start()
                    else:
                        await node.end(signal.SIGTERM)
                        node.launch()
                    await node.wait_ready()
            store.put("op", "config", orjson.dumps(manifest(2 + round_number, **limits)))
            await asyncio.sleep(PROPAGATION_WAIT_S)
            results = await _send_mesh_calls(nodes, client, round_number)
            await asyncio.sleep(PROPAGATION_WAIT_S)
            errors = log_errors([node.log_text() for node in nodes])
            report.add(scenario, results, errors, baseline=round_number < 2)
        for node in nodes:
            await node.end(signal.SIGTERM)
            await node.close()
    await client.close()
    await store.close()


async def _send_mesh_calls(
    nodes: Sequence[MeshNodeProcess], client: HttpClient, round_number: int
) -> Counter[str]:
    results: Counter[str] = Counter()
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def send(index: int) -> None:
        method, path = (("GET", "/view/a"), ("POST", "/pay/a"), ("GET", "/inner/a"))[index % 3]
        fields = [
            (HEADER_NAMES.request_id, f"r{round_number}-{index}".encode()),
            (HEADER_NAMES.deadline_ms, b"5000"),
            (HEADER_NAMES.key, KEY),
        ]
        async with semaphore:
            node = nodes[index // 3 % len(nodes)]
            response = await client.request(
                node.caller, method, path, fields, timeout_s=6.0, host="portal.example"
            )
        if isinstance(response, HttpResponse):
            status = response.status
            results[{200: "ran", 429: "over-rate"}.get(status, f"status {status}")] += 1
        else:
            results[str(response.reason)] += 1

    await asyncio.gather(*(send(index) for index in range(CALL_COUNT)))
    return results


def main() -> int:
    """Parse the arguments and run all scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=Path, help="checkout of another revision")
    other = parser.parse_args().other.resolve()
    if not (other / "packages").is_dir():
        parser.error(f"{other} is not a checkout of this project; give its root directory")
    report = Report()
    asyncio.run(check_caller_interface(other, report))
    asyncio.run(check_mesh(other, report))
    for failure in report.failures:
        print(f"FAILED {failure}")
    print("no difference" if not report.failures else f"{len(report.failures)} differences")
    return 1 if report.failures else 0


if __name__ == "__main__":
    sys.exit(main())
