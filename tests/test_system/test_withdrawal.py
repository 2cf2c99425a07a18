"""Guards against withdrawn keys that remain valid and withdrawals that are reported wrongly."""

from __future__ import annotations

import asyncio
import time
import unittest

import orjson
from support.system import WORK_HEADER
from support.system import IssuedKey
from support.system import System
from support.system import running_system
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

WITHDRAWAL_LIMIT_S = 5.0
"""Limit of the design page from the end of the command to the last admitted call, in seconds."""

OBSERVATION_S = 7.0
SEND_INTERVAL_S = 0.02


class Caller:
    """Sends calls with one key on one connection and records when admitted calls were sent."""

    def __init__(self, node: NodeProcess, key: IssuedKey, path: str = "/fees/rules/1") -> None:
        self._node = node
        self._path = path
        self._headers = [(b"authorization", b"Bearer " + key.text.encode()), (WORK_HEADER, b"1")]
        self._client = HttpClient()
        self.admitted_at: list[float] = []
        self.reasons: set[str] = set()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            sent_at = time.monotonic()
            response = await self._client.request(
                self._node.caller, "GET", self._path, self._headers
            )
            if isinstance(response, HttpResponse):
                if response.status == 200:
                    self.admitted_at.append(sent_at)
                else:
                    self.reasons.add((response.header(b"pollenglade-reason") or b"").decode())
            await asyncio.sleep(SEND_INTERVAL_S)

    def count_admitted_after(self, moment: float) -> int:
        """Return the number of admitted calls that were sent after a time."""
        return sum(sent_at > moment for sent_at in self.admitted_at)

    async def close(self) -> None:
        """Stop sending."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()


class WithdrawalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_withdrawn_key_stops_on_open_connections(self) -> None:
        """A key that is checked once per connection stays valid until the caller disconnects."""
        async with running_system() as system:
            nodes, key = await self.start_deployment(system)
            callers = [Caller(node, key) for node in nodes]
            await asyncio.sleep(1.0)
            code, report = await system.run_command("key", "withdraw", key.id, "--wait", "0")
            command_ended_at = time.monotonic()
            self.assertEqual(key.id, report.get("key_id"), report)
            self.assertIn(code, (ExitCode.OK, ExitCode.NOT_CONFIRMED))
            await asyncio.sleep(OBSERVATION_S)
            for caller in callers:
                await caller.close()
        for caller in callers:
            self.assertGreater(len(caller.admitted_at), 5)
            self.assertIn("key-withdrawn", caller.reasons)
            self.assertEqual(0, caller.count_admitted_after(command_ended_at + WITHDRAWAL_LIMIT_S))

    async def test_an_unreachable_platform_is_reported(self) -> None:
        """Guards against a reported success while the platform is unreachable.

        If the command reported success without a platform, the operator would take no further
        action and the key would stay valid.
        """
        async with running_system() as system:
            (connected_node, cut_node), key = await self.start_deployment(system)
            await system.set_platform_faults(down=True)
            code, report = await system.run_command("key", "withdraw", key.id, "--timeout", "0.3")
            self.assertEqual(ExitCode.PLATFORM_UNAVAILABLE, code, report)
            await system.set_platform_faults(cut_zones=["z2"])
            callers = [Caller(connected_node, key), Caller(cut_node, key)]
            await asyncio.sleep(1.0)
            self.assertTrue(all(caller.admitted_at for caller in callers))
            code, report = await system.run_command("key", "withdraw", key.id, "--wait", "5")
            command_ended_at = time.monotonic()
            # A zone that is cut off from the platform gets the change from another zone.
            self.assertEqual(ExitCode.OK, code, report)
            self.assertEqual(["z1", "z2"], report["confirmed_zones"])
            await asyncio.sleep(1.0)
            for caller in callers:
                await caller.close()
                self.assertEqual(0, caller.count_admitted_after(command_ended_at))
            rows = orjson.loads(await system.get(system.platform, "/table?prefix=configuration"))
            self.assertNotIn(key.secret, str(rows))

    async def start_deployment(self, system: System) -> tuple[list[NodeProcess], IssuedKey]:
        """Start a node with a target in each of two zones and publish a key."""
        nodes = [await system.add_node(zone) for zone in ("z1", "z2")]
        for node in nodes:
            await system.add_target(node, "fees")
        (key,) = await system.issue_keys(1)
        for node in nodes:
            await system.wait_ready(node, "fees")
        return nodes, key


class IsolatedZoneTest(ZonedCase):
    async def test_an_isolated_zone_is_reported_and_goes_on(self) -> None:
        """An isolated zone cannot receive a withdrawal; the report must list it as unconfirmed."""
        fleet = await self.start_fleet(("a1", "b1"), ("a1", "b1"))
        key = IssuedKey("zoned-acme", fleet.key)
        callers = {zone: Caller(fleet.nodes[f"{zone}1"], key, "/jobs/job/1") for zone in ("a", "b")}
        await fleet.network.isolate("b")
        await asyncio.sleep(1.0)
        code, report = await self.withdraw(fleet, key)
        command_ended_at = time.monotonic()
        self.assertEqual(ExitCode.NOT_CONFIRMED, code, report)
        self.assertEqual((["a"], ["b"]), (report["confirmed_zones"], report["unconfirmed_zones"]))
        await asyncio.sleep(1.0)
        self.assertEqual(0, callers["a"].count_admitted_after(command_ended_at))
        # As documented, an isolated zone keeps accepting the keys in its configuration.
        self.assertGreater(callers["b"].count_admitted_after(command_ended_at), 0)
        await fleet.network.heal()
        healed_at = time.monotonic()
        await asyncio.sleep(WITHDRAWAL_LIMIT_S + 1.0)
        for caller in callers.values():
            await caller.close()
        self.assertEqual(0, callers["b"].count_admitted_after(healed_at + WITHDRAWAL_LIMIT_S))

    async def withdraw(self, fleet: ZonedFleet, key: IssuedKey) -> tuple[int, dict[str, object]]:
        """Withdraw a key with the command; return the exit code and the JSON report."""
        arguments = ["-m", "pollenglade_cli", "key", "withdraw", key.id, "--wait", "3"]
        flags = ["--platform-url", f"http://{fleet.platform}", "--output", "json"]
        process = await fleet.processes.start("withdrawal", [*arguments, *flags])
        code = await process.wait()
        return code, orjson.loads(process.output)
