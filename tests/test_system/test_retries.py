"""Guards against retries that multiply along a call chain of separate processes."""

from __future__ import annotations

import asyncio
import unittest

from support.scripted_target import ScriptedTarget
from support.system import System
from support.system import started

from pollenglade_core.calls.call import MAX_DEPTH
from pollenglade_core.configuration.profile import RequestRule
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

SERVICE = "fees"
FAN_OUT_LEVELS = 3
"""Levels at which a target makes two nested calls instead of one."""

ALLOWANCE = RequestRule().extra_attempts


class Chain:
    """Targets on two nodes; the target of one level calls the next level through its own node."""

    def __init__(self, last: int, breaks_at_last: bool) -> None:
        self.last = last
        self.breaks_at_last = breaks_at_last
        self.nested_calls = 0
        self.levels: list[int] = []
        self.statuses: list[int] = []
        self.client = HttpClient()

    def target_on(self, node: NodeProcess) -> ScriptedTarget:
        """Return a target whose nested calls go through a node."""

        async def script(request: HttpRequest, writer: asyncio.StreamWriter) -> None:
            await self._run(node, request, writer)

        return ScriptedTarget(SERVICE, script)

    async def _run(
        self, node: NodeProcess, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.target.startswith(b"/chain/"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        level = int(request.target.rpartition(b"/")[2])
        self.levels.append(level)
        if level == self.last and self.breaks_at_last:
            writer.close()
            return
        handle = request.header(b"pollenglade-call")
        assert handle is not None
        ok = True
        if level < self.last or not self.breaks_at_last:
            for _ in range(2 if level < FAN_OUT_LEVELS else 1):
                ok = await self._call_next(node, level + 1, handle) and ok
        status = b"200 OK" if ok else b"500 Internal Server Error"
        writer.write(b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\n\r\n")

    async def _call_next(self, node: NodeProcess, level: int, handle: bytes) -> bool:
        self.nested_calls += 1
        response = await self.client.request(
            node.caller, "GET", f"/{SERVICE}/chain/{level}", [(b"pollenglade-call", handle)]
        )
        if isinstance(response, HttpResponse):
            self.statuses.append(response.status)
        return isinstance(response, HttpResponse) and response.status == 200


class RetryBoundTest(unittest.IsolatedAsyncioTestCase):
    async def run_chain(self, chain: Chain) -> HttpResponse:
        """Send one root call through a chain on two nodes and return the response."""
        system: System = await self.enterAsyncContext(started())
        self.addAsyncCleanup(chain.client.close)
        first, second = await system.add_node("z1"), await system.add_node("z2")
        for node in (first, second):
            target = chain.target_on(node)
            await target.start(node)
            self.addAsyncCleanup(target.close)
        await system.wait_ready(first, SERVICE)
        await system.wait_ready(second, SERVICE)
        response = await system.call(first, f"/{SERVICE}/chain/1")
        assert isinstance(response, HttpResponse), response
        return response

    async def test_attempts_stay_within_the_allowance_of_the_root(self) -> None:
        """A deep service that always breaks must not be called again at each level."""
        chain = Chain(MAX_DEPTH, breaks_at_last=True)
        response = await self.run_chain(chain)
        self.assertNotEqual(200, response.status)
        attempts = len(chain.levels)
        bound = 1 + chain.nested_calls + ALLOWANCE
        print(f"attempts {attempts}, first attempts {1 + chain.nested_calls}, bound {bound}")
        self.assertLessEqual(attempts, bound)
        self.assertGreater(attempts, 1 + chain.nested_calls, "no retry was made at all")
        self.assertIn(MAX_DEPTH, chain.levels)

    async def test_calls_below_the_largest_depth_are_refused(self) -> None:
        """A chain without end must stop before a target at depth 14 runs."""
        chain = Chain(MAX_DEPTH + 5, breaks_at_last=False)
        await self.run_chain(chain)
        self.assertEqual(MAX_DEPTH, max(chain.levels))
        self.assertIn(508, chain.statuses)
