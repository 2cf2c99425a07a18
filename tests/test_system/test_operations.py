"""Guards against operator commands that work with stand-ins but not with real nodes."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_emulator.processes import NodeProcess
from pollenglade_emulator.processes import Processes
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

PROFILE = """
name = "desk"
services = ["fees"]
zones = {z1 = 1, z2 = 1}
[organisations.acme]
rate_per_s = 200
burst = 200
"""
CALLS = 60
MAX_POLLS = 60


class OperationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "profile.toml"
        self.file.write_text(PROFILE)
        self.processes = await self.enterAsyncContext(Processes())
        self.platform = await self.processes.start_platform()
        self.http = HttpClient()
        self.addAsyncCleanup(self.http.close)

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run the command and return its exit code and output."""
        variables = {"POLLENGLADE_PLATFORM_URL": f"http://{self.platform}"}
        variables |= {"POLLENGLADE_TIMEOUT": "1", "POLLENGLADE_WAIT": "8"}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pollenglade_cli",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, **variables},
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def run_json(self, *arguments: str, code: ExitCode = ExitCode.OK) -> Any:
        """Run the command, check its exit code and return its JSON output."""
        exit_code, output = await self.run_command(*arguments, "--output", "json")
        self.assertEqual(code, exit_code, output)
        return json.loads(output)

    async def get(self, node: NodeProcess, path: str) -> bytes:
        """Return the body of a response from the control port."""
        response = await self.http.request(node.control, "GET", path)
        assert isinstance(response, HttpResponse), response
        self.assertEqual(200, response.status)
        return response.body

    async def call(self, node: NodeProcess, key: str) -> None:
        """Send a call and check that the target responds."""
        headers = [(b"authorization", f"Bearer {key}".encode())]
        target = "/fees/anything"
        response = await self.http.request(node.caller, "GET", target, headers, timeout_s=5.0)
        assert isinstance(response, HttpResponse), response
        self.assertEqual(200, response.status, response.body)

    async def test_publish_verify_and_find_a_stopped_node(self) -> None:
        """A monitor that ignores an unresponsive node would miss an outdated configuration."""
        nodes = [await self.processes.start_node(f"n{i}", f"z{i}", self.platform) for i in (1, 2)]
        await self.run_json("profile", "publish", str(self.file))
        await self.run_json("key", "publish", "acme")
        verified = await self.run_json("monitor", "verify")
        self.assertEqual((2, []), (verified["nodes"], verified["findings"]))
        nodes[1].process.send_signal(signal.SIGSTOP)
        found = (await self.run_json("monitor", "verify", code=ExitCode.NODES_DIFFER))["findings"]
        self.assertEqual([("n2", "z2", "silent")], [tuple(f.values())[:3] for f in found])
        status = await self.run_json("status")
        problems = {item["node"]: item["problem"] for item in status["nodes"]}
        self.assertEqual("", problems["n1"])
        self.assertTrue(problems["n2"])
        nodes[1].process.send_signal(signal.SIGCONT)
        self.assertEqual([], (await self.run_json("monitor", "verify"))["findings"])

    async def test_calls_appear_in_status_metrics_and_burn_report(self) -> None:
        """A call that is missing from one of these outputs is invisible to the operator."""
        node = await self.processes.start_node("n1", "z1", self.platform)
        await self.run_json("profile", "publish", str(self.file))
        key = (await self.run_json("key", "publish", "acme"))["key"]
        await self.processes.wait_serving(node)
        target = await self.processes.start_target("t1", "fees", node, ["--slots", "7"])
        await self.processes.wait_target(target)
        await self.wait_for_quota(node)
        for _ in range(CALLS):
            await self.call(node, key)
        await self.get(node, "/metrics")
        metrics = (await self.get(node, "/metrics")).decode()
        calls = r'pollenglade_calls_total{organisation="acme",service="fees",profile="desk",'
        self.assertIn(f'{calls}outcome="ran",reason=""}} {CALLS}\n', metrics)
        self.assertIn(f'target_slots{{service="fees",address="{target.address}"}} 7\n', metrics)
        status = (await self.run_json("status"))["nodes"][0]["status"]
        self.assertEqual([("fees", 7)], [(t["service"], t["slots"]) for t in status["targets"]])
        self.assertTrue(status["slots_held"])
        await self.check_burn_report(node)

    async def wait_for_quota(self, node: NodeProcess) -> None:
        """Wait until the organisation's bucket has enough tokens for the test."""
        pattern = re.compile(r"^pollenglade_quota_slots_held (\d+)", re.MULTILINE)
        for _ in range(200):
            found = pattern.search((await self.get(node, "/metrics")).decode())
            if found is not None and int(found[1]) == 32:
                # A new holder starts with an empty bucket, and the zone gets half of the rate.
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        self.fail("the node holds no quota slots")

    async def check_burn_report(self, node: NodeProcess) -> None:
        """Check the burn report in its three output formats."""
        command = ("report", "burn", "--node", str(node.control))
        for _ in range(MAX_POLLS):
            report = await self.run_json(*command)
            counted = {item["calls"] for item in report["burns"] if item["organisation"] == "acme"}
            if counted == {CALLS}:
                break
            await asyncio.sleep(0.5)
        self.assertEqual({CALLS}, counted)
        self.assertEqual({}, report["missing_batches"])
        code, table = await self.run_command(*command)
        self.assertEqual(ExitCode.OK, code)
        self.assertRegex(table, rf"acme +fees +5 min +{CALLS} +0")
        code, page = await self.run_command(*command, "--output", "html")
        self.assertEqual(ExitCode.OK, code)
        page = page.removeprefix("<!DOCTYPE html>").replace('<meta charset="utf-8">', "")
        self.assertEqual(4, len(ElementTree.fromstring(page).findall(".//svg/rect")))
        self.assertNotIn("http", page)
