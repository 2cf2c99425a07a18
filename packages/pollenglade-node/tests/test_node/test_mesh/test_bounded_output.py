"""Guards against a log reader that stops reading and thereby blocks the node."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import threading
import unittest
from time import monotonic

from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_server import HttpServer
from pollenglade_node.mesh.bounded_output import FLUSH_INTERVAL_S
from pollenglade_node.mesh.bounded_output import MAX_BUFFERED_BYTES
from pollenglade_node.mesh.bounded_output import BoundedOutput

LINE = "x" * 1023 + "\n"
LINES_PER_REQUEST = 20
REQUESTS = 100
"""Number of requests; they log two megabytes, more than the pipe and the buffer hold."""

STOPPED_S = 5.0
"""Time in seconds for which the reader is stopped; the requests take less than one second."""

MAX_REQUEST_S = 0.25
"""Upper bound in seconds for one request and the pause after it; both take about 6 ms."""


class StoppedReaderTest(unittest.IsolatedAsyncioTestCase):
    def _start(self, stdout: int) -> None:
        self.reader = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=stdout, bufsize=0)
        self.addCleanup(self._end_reader)
        assert self.reader.stdin is not None
        self.output = BoundedOutput(self.reader.stdin.fileno())
        self.output.start()
        self.addCleanup(self.output.close)

    def _stop_reader(self) -> None:
        self.reader.send_signal(signal.SIGSTOP)
        # Resumes the reader, so that an event loop blocked by it does not block the test forever.
        release = threading.Timer(STOPPED_S, self.reader.send_signal, [signal.SIGCONT])
        release.start()
        self.addCleanup(release.cancel)

    def _end_reader(self) -> None:
        self.reader.send_signal(signal.SIGCONT)
        assert self.reader.stdin is not None
        self.reader.stdin.close()
        self.reader.kill()
        self.reader.wait()
        if self.reader.stdout is not None:
            self.reader.stdout.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        for _ in range(LINES_PER_REQUEST):
            self.output.write(LINE)
        return HttpResponse(200)

    async def _slowest_s(self) -> float:
        """Send requests that log many lines; return the slowest time in seconds, with its pause."""
        server = HttpServer(async_handler(self._handle))
        address = Address("127.0.0.1", await server.start("127.0.0.1", 0))
        client = HttpClient()
        slowest_s = 0.0
        for _ in range(REQUESTS):
            started_at = monotonic()
            response = await client.request(address, "GET", "/")
            self.assertIsInstance(response, HttpResponse)
            # The pause lets the output flush between requests.
            await asyncio.sleep(FLUSH_INTERVAL_S / 20)
            slowest_s = max(slowest_s, monotonic() - started_at)
        await client.close()
        await server.close()
        return slowest_s

    async def test_requests_wait_for_a_reader_that_is_stopped(self) -> None:
        self._start(subprocess.DEVNULL)
        self._stop_reader()
        self.assertLess(await self._slowest_s(), MAX_REQUEST_S)
        self.assertGreater(self.output.dropped_line_count, 0)

    async def test_lines_are_torn_when_the_reader_resumes(self) -> None:
        """Only complete lines are dropped, and the buffered ones are written first."""
        self._start(subprocess.PIPE)
        self._stop_reader()
        await self._slowest_s()
        self.reader.send_signal(signal.SIGCONT)
        assert self.reader.stdout is not None
        descriptor = self.reader.stdout.fileno()
        os.set_blocking(descriptor, False)
        received = b""
        async with asyncio.timeout(5):
            while len(received) < MAX_BUFFERED_BYTES:
                try:
                    received += os.read(descriptor, 65536)
                except BlockingIOError:
                    await asyncio.sleep(0.01)
        lines = received.split(b"\n")[:-1]
        self.assertEqual({LINE.encode()[:-1]}, set(lines))
