"""Run the nodes of two builds on one platform and in one mesh, and read each other's data.

    make two-builds OTHER=<checkout of another revision>

First all nodes run the other build, as a baseline; then one half of them is replaced by this
build; last this build runs on what the other wrote, and the other on what this build wrote. The
exit code is 1 if a call is lost, a payment runs twice, more calls within the rate are refused than
by the baseline, or a log has an error that the baseline does not have.
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
from support.system import PROOFS
from support.system import REQUEST
from support.system import WORK
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

CALLS = 300
"""Calls of one load; every other one is a payment."""

CONCURRENCY = 4
"""Few enough that no call waits for a slot: a refusal then shows a difference of the builds."""

PAYMENT_REPEATS = 40
REPEAT_DELAY_S = 0.1
WORK_MS = b"5"
"""Work of a call at its target."""

COUNTS_S = 12.0
"""Time until a node has closed a batch of counts, which it does each 10 s."""

POISON_CALL = "/fees/_poison/1"
POISON_SENDS = 4
TARGET_FAILED = "target-failed"
MAX_CRASHES = 2
"""Crashes of targets after which a call is refused everywhere."""

MESH_RATE_PER_S = 400
SETTLE_S = 3.0
"""Time for announcements, states and call trees to reach all nodes and the store."""

ROOT = Path(__file__).resolve().parent.parent


def source_path(checkout: Path) -> str:
    """Return the PYTHONPATH of a checkout."""
    folders = [*sorted(checkout.glob("packages/*/src")), checkout / "platform" / "src"]
    return os.pathsep.join(map(str, folders))


@contextmanager
def build(checkout: Path) -> Iterator[None]:
    """Start child processes with the sources of a checkout."""
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = source_path(checkout)
    try:
        yield
    finally:
        if before is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = before


def log_errors(outputs: Sequence[str]) -> set[str]:
    """Return warnings, errors and tracebacks of logs, by event or exception."""
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
    """Results by scenario; prints each and remembers what must not happen."""

    def __init__(self) -> None:
        self.failures: list[str] = []
        self._refused: int | None = None
        self._errors: set[str] = set()

    def add(self, scenario: str, answers: Counter[str], errors: set[str], baseline: bool) -> None:
        """Print the answers and log errors of a scenario and compare them with the baseline."""
        refused = answers["over-rate"]
        print(f"{scenario}: {dict(sorted(answers.items()))}, log: {sorted(errors) or 'clean'}")
        if baseline:
            self._refused, self._errors = refused, self._errors | errors
        lost = answers.total() - answers["ran"] - refused
        if lost:
            self.failures.append(f"{scenario}: {lost} calls have no good answer")
        if self._refused is not None and refused > self._refused:
            self.failures.append(f"{scenario}: {refused} refused, {self._refused} by the baseline")
        if errors - self._errors:
            self.failures.append(f"{scenario}: new in a log: {sorted(errors - self._errors)}")


class OwnInterface:
    """Two nodes with a target each; a call enters at one and mostly runs at the other."""

    def __init__(self, processes: Processes, system: System, report: Report) -> None:
        self._processes = processes
        self._system = system
        self._report = report
        self._bodies_by_payment: dict[str, bytes] = {}
        self._target: TargetProcess

    async def start(self, first: Path, second: Path) -> None:
        """Start one node of each checkout, with the services crosswise behind them."""
        self._system.nodes.clear()
        for checkout, zone, service in ((first, "z1", "fees"), (second, "z2", "open-calls")):
            with build(checkout):
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

    async def play(self, scenario: str, baseline: bool = False) -> None:
        """Send calls and payments at both nodes, then repeat all payments known so far."""
        answers: Counter[str] = Counter()
        gate = asyncio.Semaphore(CONCURRENCY)

        async def send(index: int) -> None:
            async with gate:
                node = self._system.nodes[index % 2]
                if index % 4 < 2:
                    path = ("/open-calls/call/1", "/fees/quote/1")[index % 2]
                    response = await self._system.call(node, path, [(WORK, WORK_MS)])
                    answers[
                        (
                            outcome_of(response)
                            if outcome_of(response) == "ran"
                            else reason_of(response)
                        )
                    ] += 1
                    return
                answers[await self._pay(node, f"{scenario}-{index}")] += 1

        await asyncio.gather(*(send(index) for index in range(CALLS)))
        for name in list(self._bodies_by_payment):
            answers[await self._pay(self._system.nodes[len(name) % 2], name)] += 1
        outputs = [node.process.output for node in self._system.nodes]
        self._report.add(scenario, answers, log_errors(outputs), baseline)

    async def _pay(self, node: NodeProcess, name: str) -> str:
        headers = [(b"idempotency-key", name.encode()), (REQUEST, name.encode())]
        headers.append((WORK, WORK_MS))
        for _ in range(PAYMENT_REPEATS):
            response = await self._system.call(node, "/fees/payment/1", headers, "POST", b"pay")
            if reason_of(response) != "over-rate":
                break
            await asyncio.sleep(REPEAT_DELAY_S)
        if not isinstance(response, HttpResponse) or outcome_of(response) != "ran":
            return reason_of(response)
        same = self._bodies_by_payment.setdefault(name, response.body) == response.body
        return "ran" if same else "another answer to the same payment"

    async def crash(self, scenario: str) -> None:
        """Send a call that crashes its target to both nodes in turn; both must know the crashes."""
        reasons: Counter[str] = Counter()
        for number in range(POISON_SENDS):
            response = await self._system.call(self._system.nodes[number % 2], POISON_CALL)
            reasons[reason_of(response) or outcome_of(response)] += 1
            if reason_of(response) == TARGET_FAILED:
                await self._target.process.wait()
                self._target = await self._system.add_target(self._system.nodes[0], "fees")
            await self._system.wait_ready(self._system.nodes[1], "fees")
        print(f"{scenario}, calls that crash a target: {dict(sorted(reasons.items()))}")
        if reasons["quarantined"] < POISON_SENDS - MAX_CRASHES:
            self._report.failures.append(f"{scenario}: a node does not know the crashes")

    async def read_by_both(self, other: Path, scenario: str) -> None:
        """Read the platform and the call counts of both nodes with the commands of both builds."""
        await asyncio.sleep(COUNTS_S)
        controls = [part for node in self._system.nodes for part in ("--node", str(node.control))]
        for checkout in (other, ROOT):
            with build(checkout):
                code, _ = await self._system.command("status")
                burn = await self._processes.start(
                    f"burn-{uuid4().hex}",
                    ["-m", "pollenglade_cli", "report", "burn", "--output", "json", *controls],
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
        twice = [name for name, count in runs.items() if count > 1]
        if twice:
            self._report.failures.append(f"payments that ran twice: {twice}")


async def own_interface(other: Path, report: Report) -> None:
    """Play the own interface; configuration and keys are published by the other build."""
    client = HttpClient()
    with tempfile.TemporaryDirectory() as folder:
        async with Processes() as processes:
            with build(other):
                platform = await processes.start_platform()
                keys = await publish_by_command(platform, PROOFS)
            system = System(processes, platform, Path(folder), client, keys)
            played = OwnInterface(processes, system, report)
            for scenario, first, second in (
                ("own interface, other build", other, other),
                ("own interface, other and this", other, ROOT),
                ("own interface, this and other", ROOT, other),
                ("own interface, this build", ROOT, ROOT),
                ("own interface, other build again", other, other),
            ):
                await played.start(first, second)
                await played.play(scenario, baseline=scenario.endswith("other build"))
                await played.read_by_both(other, scenario)
                await played.crash(scenario)
                await played.stop()
            await client.close()


async def mesh(other: Path, report: Report) -> None:
    """Play the mesh; the store keeps what each build wrote."""
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
                with build(checkout):
                    if round_number == 0:
                        await node.start()
                    else:
                        await node.end(signal.SIGTERM)
                        node.launch()
                    await node.wait_ready()
            store.put("op", "config", orjson.dumps(manifest(2 + round_number, **limits)))
            await asyncio.sleep(SETTLE_S)
            answers = await _mesh_load(nodes, client, round_number)
            await asyncio.sleep(SETTLE_S)
            errors = log_errors([node.log_text() for node in nodes])
            report.add(scenario, answers, errors, baseline=round_number < 2)
        for node in nodes:
            await node.end(signal.SIGTERM)
            await node.close()
    await client.close()
    await store.close()


async def _mesh_load(
    nodes: Sequence[MeshNodeProcess], client: HttpClient, round_number: int
) -> Counter[str]:
    answers: Counter[str] = Counter()
    gate = asyncio.Semaphore(CONCURRENCY)

    async def send(index: int) -> None:
        method, path = (("GET", "/view/a"), ("POST", "/pay/a"), ("GET", "/inner/a"))[index % 3]
        fields = [
            (HEADER_NAMES.request_id, f"r{round_number}-{index}".encode()),
            (HEADER_NAMES.deadline_ms, b"5000"),
            (HEADER_NAMES.key, KEY),
        ]
        async with gate:
            node = nodes[index // 3 % len(nodes)]
            response = await client.request(
                node.caller, method, path, fields, timeout_s=6.0, host="portal.example"
            )
        if isinstance(response, HttpResponse):
            status = response.status
            answers[{200: "ran", 429: "over-rate"}.get(status, f"status {status}")] += 1
        else:
            answers[str(response.reason)] += 1

    await asyncio.gather(*(send(index) for index in range(CALLS)))
    return answers


def main() -> int:
    """Parse the arguments and play both parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=Path, help="checkout of another revision")
    other = parser.parse_args().other.resolve()
    if not (other / "packages").is_dir():
        parser.error(f"{other} is no checkout of this project; give its folder")
    report = Report()
    asyncio.run(own_interface(other, report))
    asyncio.run(mesh(other, report))
    for failure in report.failures:
        print(f"FAILED {failure}")
    print("no difference" if not report.failures else f"{len(report.failures)} differences")
    return 1 if report.failures else 0


if __name__ == "__main__":
    sys.exit(main())
