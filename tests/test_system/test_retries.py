"""Guards against retries that multiply along a chain of nested calls."""

from __future__ import annotations

import asyncio
import unittest

from support.scripted_target import ScriptedTarget
from support.system import System
from support.system import running_system

from pollenglade_core.calls.call import MAX_DEPTH
from pollenglade_core.configuration.profile import RequestRule
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

SERVICE = "fees"
FAN_OUT_LEVELS = 3
"""Targets at levels below this one make two nested calls instead of one."""

RETRY_ALLOWANCE = RequestRule().extra_attempts


class CallChain:
    """Targets on two nodes; each level calls the next one through its local node."""

    def __init__(self, last_level: int, fails_at_last_level: bool) -> None:
        self.last_level = last_level
        self.fails_at_last_level = fails_at_last_level
        self.nested_calls = 0
        self.levels: list[int] = []
        self.statuses: list[int] = []
        self.client = HttpClient()

    def target_on(self, node: NodeProcess) -> ScriptedTarget:
        """Return a target that sends its nested calls through a node."""

        async def script(request: HttpRequest, writer: asyncio.StreamWriter) -> None:
            await self._respond(node, request, writer)

        return ScriptedTarget(SERVICE, script)

    async def _respond(
        self, node: NodeProcess, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.target.startswith(b"/chain/"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return
        level = int(request.target.rpartition(b"/")[2])
        self.levels.append(level)
        if level == self.last_level and self.fails_at_last_level:
            writer.close()
            return
        handle = request.header(b"pollenglade-call")
        assert handle is not None
        succeeded = True
        if level < self.last_level or not self.fails_at_last_level:
            for _ in range(2 if level < FAN_OUT_LEVELS else 1):
                succeeded = await self._call_next(node, level + 1, handle) and succeeded
        status = b"200 OK" if succeeded else b"500 Internal Server Error"
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
    async def run_chain(self, chain: CallChain) -> HttpResponse:
        """Send one root call through the chain on two nodes and return the response."""
        system: System = await self.enterAsyncContext(running_system())
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
        """A failure at the deepest level must not be retried at every level above it."""
        chain = CallChain(MAX_DEPTH, fails_at_last_level=True)
        response = await self.run_chain(chain)
        self.assertNotEqual(200, response.status)
        attempts = len(chain.levels)
        bound = 1 + chain.nested_calls + RETRY_ALLOWANCE
        print(f"attempts {attempts}, first attempts {1 + chain.nested_calls}, bound {bound}")
        self.assertLessEqual(attempts, bound)
        self.assertGreater(attempts, 1 + chain.nested_calls, "no retry was made at all")
        self.assertIn(MAX_DEPTH, chain.levels)

    async def test_calls_below_the_largest_depth_are_refused(self) -> None:
        """An endless chain of calls must be refused before a target at depth 14 runs."""
        chain = CallChain(MAX_DEPTH + 5, fails_at_last_level=False)
        await self.run_chain(chain)
        self.assertEqual(MAX_DEPTH, max(chain.levels))
        self.assertIn(508, chain.statuses)
