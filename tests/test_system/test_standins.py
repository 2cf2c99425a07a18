"""Guards against stand-ins that leave processes behind or report their stop wrongly."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import unittest
from pathlib import Path

import orjson

from pollenglade_emulator.processes import ProcessError
from pollenglade_emulator.processes import Processes
from pollenglade_emulator.run_log import read_run_log
from pollenglade_emulator.target import POISON_EXIT_CODE
from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response
from pollenglade_net.http_server import HttpServer

SILENT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 20.0


class StandinProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "log"
        self.client = HttpClient()
        self.announced: list[dict[str, object]] = []
        self.control = HttpServer(async_handler(self.announce))
        self.control_port = await self.control.start("127.0.0.1", 0)

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.control.close()

    async def announce(self, request: HttpRequest) -> HttpResponse:
        """Record an announcement, like the control port of a node."""
        self.announced.append(orjson.loads(request.body))
        return json_response(200, {})

    async def test_drain_finishes_the_running_call(self) -> None:
        """Calls that a target aborts at SIGTERM would look like a fault of the node."""
        options = ["--control", f"127.0.0.1:{self.control_port}", "--log-file", str(self.log)]
        async with Processes() as processes:
            target = await processes.wait_target(
                await processes.start_target("t", "fees", options=options)
            )
            headers = [(b"emulator-work-ms", b"700")]
            call = asyncio.ensure_future(
                self.client.request(target.address, "GET", "/x/1", headers, timeout_s=20)
            )
            while not self.log.stat().st_size:
                await asyncio.sleep(0.01)
            code = await target.process.stop()
            response = await call
        assert isinstance(response, HttpResponse), response
        self.assertEqual((200, 0), (response.status, code))
        self.assertEqual(["done"], [entry.result for entry in read_run_log(self.log)])
        states = [entry["state"] for entry in self.announced]
        self.assertEqual(("ready", "draining"), (states[0], states[-1]))
        self.assertEqual(str(target.address), self.announced[0]["address"])

    async def test_call_that_crashes_its_target_is_in_the_run_log_file(self) -> None:
        """Crashes are counted in the run log, which must outlive the process."""
        async with Processes() as processes:
            options = ["--log-file", str(self.log)]
            target = await processes.wait_target(
                await processes.start_target("t", "fees", options=options)
            )
            await self.client.request(target.address, "POST", "/_poison/1")
            self.assertEqual(POISON_EXIT_CODE, await target.process.wait())
        (entry,) = read_run_log(self.log)
        self.assertEqual(("/_poison/1", None), (entry.path, entry.end_s))

    async def test_proxy_is_controlled_over_http(self) -> None:
        """A mode that is acknowledged without effect would make partition tests meaningless."""
        async with Processes() as processes:
            target = await processes.wait_target(await processes.start_target("t", "fees"))
            listen, control = processes.free_address(), processes.free_address()
            command = ["-m", "pollenglade_emulator", "proxy", "--upstream", str(target.address)]
            command += ["--listen", str(listen), "--control", str(control)]
            proxy = await processes.start("proxy", command)
            await processes.wait_ready(proxy, control, "/status")
            self.assertIsInstance(await self.fetch(listen, RESPONSE_TIMEOUT_S), HttpResponse)
            for mode, passes in (("silent", False), ("pass", True), ("cut", False), ("pass", True)):
                body = orjson.dumps({"mode": mode})
                await self.client.request(control, "PUT", "/conduct", None, body)
                response = await self.fetch(
                    listen, RESPONSE_TIMEOUT_S if passes else SILENT_TIMEOUT_S
                )
                self.assertEqual(passes, isinstance(response, HttpResponse), mode)
            codes = await processes.stop_all()
        self.assertEqual({"t": 0, "proxy": 0}, codes)

    async def fetch(self, address: Address, timeout_s: float) -> object:
        """Fetch the health of the target through the proxy, on a new connection each time."""
        client = HttpClient()
        try:
            return await client.request(address, "GET", "/health", timeout_s=timeout_s)
        finally:
            await client.close()

    async def test_failure_in_a_test_ends_every_process(self) -> None:
        """Processes that survive a failed test would affect the next one."""
        pids: list[int] = []
        with self.assertRaises(ProcessError):
            async with Processes() as processes:
                target = await processes.wait_target(await processes.start_target("t", "fees"))
                target.process.send_signal(signal.SIGSTOP)
                pids.append(target.process.pid)
                broken = await processes.start("broken", ["-c", "print('the reason'); exit(3)"])
                pids.append(broken.pid)
                try:
                    await processes.wait_ready(broken, processes.free_address(), "/")
                except ProcessError as error:
                    self.assertIn("the reason", str(error))
                    raise
        for pid in pids:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)
