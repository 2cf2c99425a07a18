"""Guards against nodes that keep bytes which a faulty target sends without end."""

from __future__ import annotations

import asyncio
import unittest

from support.scripted_target import ScriptedTarget
from support.system import System
from support.system import running_system
from support_platform.process_watch import ProcessWatch

from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

CALLERS = 4
MAX_MEMORY_BYTES = 400_000_000
"""The budget of 128 MiB, twice for a body that is passed on, and the process itself."""

BLOCK = b"10000\r\n" + bytes(65536) + b"\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
HEAD_BY_CONDUCT = {
    "shed": b"HTTP/1.1 503 Full\r\npollenglade-not-run: true\r\n" + CHUNKED,
    "endless": b"HTTP/1.1 200 OK\r\n" + CHUNKED,
}


async def respond(request: HttpRequest, writer: asyncio.StreamWriter) -> None:
    """Send a head by the conduct in the path, and chunks until the connection closes."""
    conduct = request.target.decode().split("/")[1]
    writer.write(HEAD_BY_CONDUCT.get(conduct, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"))
    while conduct in HEAD_BY_CONDUCT and not writer.is_closing():
        writer.write(BLOCK)
        await writer.drain()


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.system: System = await self.enterAsyncContext(running_system())
        self.nodes = [await self.system.add_node("z1"), await self.system.add_node("z2")]
        target = ScriptedTarget("fees", respond)
        await target.start(self.nodes[1])
        self.addAsyncCleanup(target.close)
        await self.system.wait_ready(self.nodes[0], "fees")

    async def test_a_shed_call_keeps_the_body_that_follows(self) -> None:
        """A call that the target sheds is refused, so its body is of no use."""
        statuses = await self.call_while_watched("/fees/shed", "GET", self.nodes[1])
        self.assertEqual(statuses, {503})

    async def test_a_claimed_call_keeps_a_response_without_end(self) -> None:
        """Its response is buffered, because a repeat of the call gets it too."""
        statuses = await self.call_while_watched("/fees/endless", "POST", self.nodes[0])
        self.assertLessEqual(statuses, {502, 504})

    async def call_while_watched(self, path: str, method: str, holder: NodeProcess) -> set[int]:
        """Send calls and return their statuses; fail if `holder` takes too much memory."""
        watch = ProcessWatch(holder.process.pid)
        watch.start()
        self.addCleanup(watch.close)
        responses = await asyncio.gather(
            *(
                self.system.call(
                    self.nodes[0],
                    f"{path}/{number}",
                    [(b"idempotency-key", b"key-%d" % number)],
                    method,
                )
                for number in range(CALLERS)
            )
        )
        self.assertFalse(watch.has_ended)
        self.assertLess(watch.peak_memory_bytes, MAX_MEMORY_BYTES)
        others = await self.system.call(self.nodes[0], "/fees/other")
        assert isinstance(others, HttpResponse), others
        self.assertEqual(others.status, 200)
        return {item.status if isinstance(item, HttpResponse) else 0 for item in responses}
