"""Guards against a withdrawn key that goes on working, and against false reports about it."""

from __future__ import annotations

import asyncio
import time
import unittest

import orjson
from support.system import WORK
from support.system import IssuedKey
from support.system import System
from support.system import started
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

BOUND_S = 5.0
"""Target of the design page, from the answer of the command to the last admitted call."""

OBSERVED_S = 7.0
PAUSE_S = 0.02


class Caller:
    """Sends calls with one key on one open connection and keeps the time of each admission."""

    def __init__(self, node: NodeProcess, key: IssuedKey, path: str = "/fees/rules/1") -> None:
        self._node = node
        self._path = path
        self._headers = [(b"authorization", b"Bearer " + key.text.encode()), (WORK, b"1")]
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
            await asyncio.sleep(PAUSE_S)

    def admitted_since(self, moment: float) -> int:
        """Return the number of admitted calls that were sent after a moment."""
        return sum(sent_at > moment for sent_at in self.admitted_at)

    async def close(self) -> None:
        """Stop sending."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()


class WithdrawalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_withdrawn_key_stops_on_open_connections(self) -> None:
        """A key that is checked only once per connection works until its caller disconnects."""
        async with started() as system:
            nodes, key = await self.deployment(system)
            callers = [Caller(node, key) for node in nodes]
            await asyncio.sleep(1.0)
            code, report = await system.command("key", "withdraw", key.id, "--wait", "0")
            answered_at = time.monotonic()
            self.assertEqual(key.id, report.get("key_id"), report)
            self.assertIn(code, (ExitCode.OK, ExitCode.NOT_CONFIRMED))
            await asyncio.sleep(OBSERVED_S)
            for caller in callers:
                await caller.close()
        for caller in callers:
            self.assertGreater(len(caller.admitted_at), 5)
            self.assertIn("key-withdrawn", caller.reasons)
            self.assertEqual(0, caller.admitted_since(answered_at + BOUND_S))

    async def test_an_unreachable_platform_is_reported(self) -> None:
        """An operator who is told that a key is gone everywhere takes no further step."""
        async with started() as system:
            (near, far), key = await self.deployment(system)
            await system.fault(down=True)
            code, report = await system.command("key", "withdraw", key.id, "--timeout", "0.3")
            self.assertEqual(ExitCode.PLATFORM_UNAVAILABLE, code, report)
            await system.fault(cut_zones=["z2"])
            callers = [Caller(near, key), Caller(far, key)]
            await asyncio.sleep(1.0)
            self.assertTrue(all(caller.admitted_at for caller in callers))
            code, report = await system.command("key", "withdraw", key.id, "--wait", "5")
            answered_at = time.monotonic()
            # A zone without the platform learns of the change from a zone that it reaches.
            self.assertEqual(ExitCode.OK, code, report)
            self.assertEqual(["z1", "z2"], report["confirmed_zones"])
            await asyncio.sleep(1.0)
            for caller in callers:
                await caller.close()
                self.assertEqual(0, caller.admitted_since(answered_at))
            rows = orjson.loads(await system.get(system.platform, "/table?prefix=configuration"))
            self.assertNotIn(key.secret, str(rows))

    async def deployment(self, system: System) -> tuple[list[NodeProcess], IssuedKey]:
        """Start one node with a target in each of two zones, and publish a key."""
        nodes = [await system.add_node(zone) for zone in ("z1", "z2")]
        for node in nodes:
            await system.add_target(node, "fees")
        (key,) = await system.issue_keys(1)
        for node in nodes:
            await system.wait_ready(node, "fees")
        return nodes, key


class IsolatedZoneTest(ZonedCase):
    async def test_an_isolated_zone_is_reported_and_goes_on(self) -> None:
        """A zone without any contact cannot know of a withdrawal; the report must say so."""
        fleet = await self.start(("a1", "b1"), ("a1", "b1"))
        key = IssuedKey("zoned-acme", fleet.key)
        callers = {zone: Caller(fleet.nodes[f"{zone}1"], key, "/jobs/job/1") for zone in ("a", "b")}
        await fleet.network.isolate("b")
        await asyncio.sleep(1.0)
        code, report = await self.withdraw(fleet, key)
        answered_at = time.monotonic()
        self.assertEqual(ExitCode.NOT_CONFIRMED, code, report)
        self.assertEqual((["a"], ["b"]), (report["confirmed_zones"], report["unconfirmed_zones"]))
        await asyncio.sleep(1.0)
        self.assertEqual(0, callers["a"].admitted_since(answered_at))
        # The documented choice: a zone without contact goes on with the keys that it knows.
        self.assertGreater(callers["b"].admitted_since(answered_at), 0)
        await fleet.network.heal()
        healed_at = time.monotonic()
        await asyncio.sleep(BOUND_S + 1.0)
        for caller in callers.values():
            await caller.close()
        self.assertEqual(0, callers["b"].admitted_since(healed_at + BOUND_S))

    async def withdraw(self, fleet: ZonedFleet, key: IssuedKey) -> tuple[int, dict[str, object]]:
        """Withdraw a key by the command and return its exit code and report."""
        arguments = ["-m", "pollenglade_cli", "key", "withdraw", key.id, "--wait", "3"]
        flags = ["--platform-url", f"http://{fleet.platform}", "--output", "json"]
        process = await fleet.processes.start("withdrawal", [*arguments, *flags])
        code = await process.wait()
        return code, orjson.loads(process.output)
