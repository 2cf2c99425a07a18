"""Guards against a target stand-in whose run log omits or misreports calls."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from random import Random

import orjson

from pollenglade_emulator.deployments import SALAIRES
from pollenglade_emulator.run_log import RunLog
from pollenglade_emulator.run_log import parse_execution
from pollenglade_emulator.run_log import read_run_log
from pollenglade_emulator.target import Target
from pollenglade_emulator.target import TargetSettings
from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response
from pollenglade_net.http_server import HttpServer

HOST = "127.0.0.1"


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"
        self.nested: list[HttpRequest] = []
        self.nested_status = 200
        self.node = HttpServer(async_handler(self.respond_nested))
        node = Address(HOST, await self.node.start(HOST, 0))
        self.log = RunLog("intake", self.path)
        settings = TargetSettings("intake", slots=2, node=node)
        self.target = Target(settings, SALAIRES.routes_by_name, self.log, Random(1))
        self.server = HttpServer(async_handler(self.target.handle))
        self.address = Address(HOST, await self.server.start(HOST, 0))
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.target.close()
        await self.server.close()
        await self.node.close()
        self.log.close()

    async def respond_nested(self, request: HttpRequest) -> HttpResponse:
        """Respond like the node that receives nested calls."""
        self.nested.append(request)
        return json_response(self.nested_status, {}, [(b"retry-after", b"3")])

    async def call(
        self, path: str, number: str, method: str = "GET", work_ms: int | None = None
    ) -> HttpResponse:
        """Send one call with a call handle, an organisation and an idempotency key."""
        headers = [
            (b"pollenglade-call", b"handle-" + number.encode()),
            (b"emulator-request", number.encode()),
            (b"emulator-organisation", b"uri"),
            (b"idempotency-key", b"once-" + number.encode()),
        ]
        if work_ms is not None:
            headers.append((b"emulator-work-ms", b"%d" % work_ms))
        response = await self.client.request(self.address, method, path, headers, timeout_s=20)
        assert isinstance(response, HttpResponse), response
        return response

    async def test_run_log_has_headers_and_responses_name_the_request(self) -> None:
        """Without headers in the log, tests could not check that no key reaches a target."""
        numbers = [str(number) for number in range(20)]
        found = await asyncio.gather(*(self.call(f"/x/{n}", n, work_ms=5) for n in numbers))
        for number, response in zip(numbers, found, strict=True):
            body = response.json()
            assert isinstance(body, dict)
            self.assertEqual((number, f"/x/{number}"), (body["request"], body["path"]))
        listed = orjson.loads((await self.call("/_log", "log")).body)["entries"]
        entries = [parse_execution(entry) for entry in listed]
        self.assertEqual(entries, read_run_log(self.path))
        self.assertEqual(sorted(numbers), sorted(entry.request_id for entry in entries))
        for entry in entries:
            self.assertEqual(f"handle-{entry.request_id}", entry.call_id)
            self.assertIn(("emulator-organisation", "uri"), entry.headers)
        changes = sorted((e.start_s, 1) for e in entries)
        changes = sorted([*changes, *((e.end_s or 0.0, -1) for e in entries)])
        running = max_running = 0
        for _, step in changes:
            running += step
            max_running = max(max_running, running)
        self.assertEqual(2, max_running, "calls above the slot limit must wait")

    async def test_nested_calls_copy_the_handle_and_derive_the_idempotency_key(self) -> None:
        """A nested call without call handle is refused; two calls with one key would run once."""
        self.assertEqual(200, (await self.call("/declaration/7", "7", "POST")).status)
        (request,) = self.nested
        self.assertEqual(("POST", b"/archive/file/7"), (request.method, request.target))
        self.assertEqual(b"handle-7", request.header(b"pollenglade-call"))
        self.assertEqual(b"once-7-0-file", request.header(b"idempotency-key"))
        self.nested_status = 503
        failed = await self.call("/declaration/8", "8", "POST")
        self.assertEqual((502, b"3"), (failed.status, failed.header(b"retry-after")))

    async def test_shed_calls_are_not_in_the_log(self) -> None:
        """A target that runs a call that it reports as not run makes guarantee 8 untestable."""
        await self.client.request(self.address, "PUT", "/_conduct", None, b'{"shed": true}')
        response = await self.call("/status/1", "1")
        self.assertEqual((503, b"true"), (response.status, response.header(b"pollenglade-not-run")))
        self.assertEqual(0, len(self.log))
        bad = await self.client.request(self.address, "PUT", "/_conduct", None, b'{"shedd": 1}')
        assert isinstance(bad, HttpResponse)
        self.assertEqual(400, bad.status)

    async def test_health_can_contradict_behaviour(self) -> None:
        """Tests need targets whose health and load reports contradict their behaviour."""
        document = b'{"health": 503, "load": 0.0}'
        await self.client.request(self.address, "PUT", "/_conduct", None, document)
        self.assertEqual(503, (await self.call("/health", "h")).status)
        self.assertEqual(200, (await self.call("/x/1", "1", work_ms=0)).status)

    async def test_silent_call_occupies_a_slot_until_it_is_cancelled(self) -> None:
        """A hung call that frees its slot would make a silent target look like a slow one."""
        hung = await self.client.request(self.address, "GET", "/_silent/1", timeout_s=0.2)
        assert isinstance(hung, HttpFailure)
        for number in range(4):
            self.assertEqual(200, (await self.call("/x/1", str(number), work_ms=0)).status)
        self.assertEqual((0, 0), (self.target.running, self.target.waiting))
