"""Guards against the outcome `not-run` for a call that a target ran."""

from __future__ import annotations

import asyncio
import signal
import unittest
from collections import Counter
from dataclasses import dataclass
from random import Random
from time import monotonic

import orjson
from support.system import REQUEST_HEADER
from support.system import WORK_HEADER
from support.system import System
from support.system import outcome_of
from support.system import reason_of
from support.system import running_system

from pollenglade_emulator.announcer import Announcer
from pollenglade_emulator.announcer import TargetState
from pollenglade_emulator.processes import ManagedProcess
from pollenglade_emulator.processes import NodeProcess
from pollenglade_emulator.processes import TargetProcess
from pollenglade_emulator.records import Execution
from pollenglade_emulator.run_log import read_run_log
from pollenglade_net.address import Address
from pollenglade_net.http_message import HttpResponse

CALLERS = 8
SLOTS = ("--slots", "4")
PAUSE_S = 2.6
"""Longer than the deadline of 2 s, so that calls have expired when the process resumes."""

PAYMENT_TIMEOUT_S = 10.0
LONG_WORK_MS = 150
PROXIED_LOG = "proxied.log"


def is_long_payment_running(run: Execution) -> bool:
    """Whether a payment has started and cannot have ended, as most of its work is left."""
    is_long = (WORK_HEADER.decode(), str(LONG_WORK_MS)) in run.headers
    return run.method == "POST" and is_long and monotonic() - run.start_s < LONG_WORK_MS / 2000


@dataclass
class ProxiedTarget:
    """A target that its node can reach only through a proxy."""

    target: TargetProcess
    control: Address
    announcer: Announcer

    @classmethod
    async def start(cls, system: System, node: NodeProcess) -> ProxiedTarget:
        """Start a target and its proxy, and announce the address of the proxy."""
        log = ["--log-file", str(system.folder / PROXIED_LOG)]
        target = await system.processes.start_target("proxied", "fees", None, [*log, *SLOTS])
        listen, control = system.processes.free_address(), system.processes.free_address()
        command = ["-m", "pollenglade_emulator", "proxy", "--upstream", str(target.address)]
        command += ["--listen", str(listen), "--control", str(control)]
        process = await system.processes.start("proxy", command)
        await system.processes.wait_ready(process, control, "/status")
        announcer = Announcer(node.control, "fees", listen, int(SLOTS[1]))
        announcer.state = TargetState.READY
        announcer.start()
        return cls(target, control, announcer)

    async def set_mode(self, system: System, mode: str) -> None:
        """Set the mode of the proxy, such as `cut` or `pass`."""
        body = orjson.dumps({"mode": mode})
        response = await system.client.request(self.control, "PUT", "/conduct", None, body)
        assert isinstance(response, HttpResponse) and response.status == 200, response


class TrueRefusalsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.results_by_call: dict[str, tuple[str, str]] = {}
        self.stopped = False

    async def test_not_run_is_true_under_failures_of_targets_nodes_and_links(self) -> None:
        """A caller repeats a refused payment, so a false `not-run` makes it run twice."""
        async with running_system() as system:
            entry = await system.add_node("z1")
            first = await system.add_node("z1")
            # One zone, because routing prefers the local zone and would avoid the proxied target.
            second = await system.add_node("z1")
            target = await system.add_target(first, "fees", SLOTS)
            proxied = await ProxiedTarget.start(system, second)
            await system.wait_ready(entry, "fees")
            entries = (entry, first)
            callers = [
                asyncio.ensure_future(self.send(system, entries[index % 2], index))
                for index in range(CALLERS)
            ]
            await self.inject_failures(system, target, proxied)
            self.stopped = True
            await asyncio.gather(*callers)
            # A resumed process may still start calls that it received before the pause.
            await asyncio.sleep(0.5)
            runs = Counter(run.request_id for run in system.executions())
        refused = [
            name for name, (outcome, _) in self.results_by_call.items() if outcome == "not-run"
        ]
        counts = Counter(outcome for outcome, _ in self.results_by_call.values())
        self.assertEqual(
            [], [(name, *self.results_by_call[name]) for name in refused if runs[name]]
        )
        ran = [name for name, (outcome, _) in self.results_by_call.items() if outcome == "ran"]
        self.assertEqual([], [name for name in ran if not runs[name]])
        self.assertGreater(len(refused), 10, counts)
        self.assertGreater(counts["ran"], 50, counts)
        unknown_reasons = {
            reason for outcome, reason in self.results_by_call.values() if outcome == "unknown"
        }
        self.assertLessEqual({"target-failed", "timeout"}, unknown_reasons)

    async def inject_failures(
        self, system: System, target: TargetProcess, proxied: ProxiedTarget
    ) -> None:
        """Cause the failures one after the other while calls arrive."""
        entry, first, second = system.nodes
        await asyncio.sleep(0.5)
        # Outcomes become unknown by a timeout if a payment runs at the target that stands still.
        await self.wait_for_long_payment(system, f"{target.process.name}.log")
        await self.pause(target.process)
        await self.set_conduct(system, proxied.target, shed=True)
        await asyncio.sleep(0.5)
        await self.set_conduct(system, proxied.target, shed=False)
        await self.pause(second.process)
        await self.pause(entry.process)
        for _ in range(3):
            await proxied.set_mode(system, "cut")
            await proxied.set_mode(system, "pass")
            await asyncio.sleep(0.2)
        # No other target can answer a payment that has run, so its outcome becomes unknown.
        await self.wait_for_long_payment(system, PROXIED_LOG)
        proxied.target.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.3)
        await proxied.announcer.close()
        replacement = await system.add_target(second, "fees", SLOTS)
        await asyncio.sleep(1.0)
        draining = asyncio.ensure_future(replacement.process.stop())
        await asyncio.sleep(0.8)
        second.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.8)
        await draining
        first.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.3)

    async def wait_for_long_payment(self, system: System, log_name: str) -> None:
        """Wait until a long payment runs at the target with this run log."""
        path = system.folder / log_name
        async with asyncio.timeout(PAYMENT_TIMEOUT_S):
            # The file is missing until the first run.
            while not path.exists() or not any(map(is_long_payment_running, read_run_log(path))):
                await asyncio.sleep(0.005)

    async def pause(self, process: ManagedProcess) -> None:
        """Pause a process for longer than the deadline of its calls."""
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)

    async def set_conduct(self, system: System, target: TargetProcess, **conduct: object) -> None:
        """Set the conduct of a target."""
        await system.client.request(
            target.address, "PUT", "/_conduct", None, orjson.dumps(conduct), timeout_s=5.0
        )

    async def send(self, system: System, node: NodeProcess, caller: int) -> None:
        """Send reads and payments, and record their results, until the failures are over."""
        random_source = Random(caller)
        index = 0
        while not self.stopped:
            index += 1
            name = f"call-{caller}-{index}"
            headers = [
                (REQUEST_HEADER, name.encode()),
                (WORK_HEADER, b"%d" % random_source.choice((1, 20, LONG_WORK_MS))),
            ]
            if random_source.random() < 0.3:
                headers.append((b"idempotency-key", name.encode()))
                response = await system.call(node, "/fees/payment/1", headers, "POST", b"pay")
            else:
                response = await system.call(node, "/fees/files/1", headers)
            self.results_by_call[name] = (outcome_of(response), reason_of(response))
            await asyncio.sleep(random_source.uniform(0.0, 0.05))
