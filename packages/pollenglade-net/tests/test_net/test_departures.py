"""Guards against a server that does not notice, on either event loop, that a caller has left."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import unittest
import unittest.mock
from collections.abc import Awaitable
from collections.abc import Callable

import uvloop

from pollenglade_emulator.departure import DEPARTURES
from pollenglade_emulator.departure import Departure
from pollenglade_net import http_server
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_server import HttpServer
from pollenglade_net.server_limits import ServerLimits

NOTICED_WITHIN_S = 0.5
"""Time in seconds after a caller has left within which its work must have ended."""

SMALL_BUFFER_BYTES = 4096
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
PIPELINED = REQUEST * 4_000
"""More bytes than a connection buffers."""

CHUNK = bytes(64 * 1024)

LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    "asyncio": asyncio.new_event_loop,
    "uvloop": uvloop.new_event_loop,
}


class Server:
    """A server whose exchanges stay open until their callers leave."""

    def __init__(self, streams: bool = False) -> None:
        self.exchanges: list[Exchange] = []
        self.cancelled = 0
        self._streams = streams
        self._server = HttpServer(self._handle, ServerLimits(cancel_on_eof=True))
        self._port = 0

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Listen."""
        self._port = await self._server.start("127.0.0.1", 0)

    def connect(self) -> socket.socket:
        """Return a new connection to the server."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        client.connect(("127.0.0.1", self._port))
        client.setblocking(False)
        return client

    def _handle(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.on_cancel = self._on_cancel
        if self._streams:
            exchange.start(200, [(b"transfer-encoding", b"chunked")])
            exchange.on_drained = lambda: self._fill(exchange)
            self._fill(exchange)

    def _fill(self, exchange: Exchange) -> None:
        while exchange.is_open and not exchange.is_congested:
            exchange.write(CHUNK)

    def _on_cancel(self) -> None:
        self.cancelled += 1

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()


async def eventually(condition: Callable[[], bool], limit_s: float = NOTICED_WITHIN_S) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


Scenario = Callable[[Server, socket.socket, Departure], Awaitable[None]]


class DepartureTest(unittest.TestCase):
    def play(self, scenario: Scenario, streams: bool = False) -> None:
        """Play a scenario on each loop and for each way to leave."""

        async def session(leave: Departure) -> None:
            server = Server(streams)
            await server.start()
            client = server.connect()
            try:
                await scenario(server, client, leave)
            finally:
                client.close()
                await server.close()

        for loop, factory in LOOPS.items():
            for way, leave in DEPARTURES.items():
                with self.subTest(way, loop=loop), asyncio.Runner(loop_factory=factory) as runner:
                    runner.run(session(leave))

    def test_a_caller_that_waits_is_not_missed(self) -> None:
        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            client.send(REQUEST)
            await eventually(lambda: len(server.exchanges) == 1)
            leave(client)
            await eventually(lambda: server.cancelled == 1)

        self.play(scenario)

    def test_a_caller_that_does_not_read_a_stream_is_not_missed(self) -> None:
        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            client.send(REQUEST)
            await eventually(lambda: any(e.is_congested for e in server.exchanges))
            leave(client)
            await eventually(lambda: server.cancelled == 1)

        self.play(scenario, streams=True)

    def test_output_that_nobody_reads_keeps_a_connection(self) -> None:
        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            client.send(REQUEST)
            await eventually(lambda: any(e.is_congested for e in server.exchanges))
            leave(client)
            await eventually(lambda: server.connections == 0, 2.0)

        self.enterContext(unittest.mock.patch.object(http_server, "UNREAD_TIMEOUT_S", 0.2))
        self.play(scenario, streams=True)

    def test_a_caller_behind_its_pipelined_requests_is_not_missed(self) -> None:
        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            client.send(REQUEST)
            await eventually(lambda: len(server.exchanges) == 1)
            for _ in range(3):
                client.send(PIPELINED)
                await asyncio.sleep(0.02)
            leave(client)
            await eventually(lambda: server.cancelled == 1)
            self.assertEqual(len(server.exchanges), 1)

        self.play(scenario)

    def test_requests_that_were_read_before_a_pause_are_left_unanswered(self) -> None:
        """The caller gets an answer to each of them, then the end of the connection."""

        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            client.send(REQUEST)
            await eventually(lambda: len(server.exchanges) == 1)
            client.send(PIPELINED)
            await asyncio.sleep(2 * http_server.PAUSE_LIMIT_S)
            client.send(PIPELINED)
            answered = 0
            received = b"-"
            async with asyncio.timeout(10):
                while received:
                    while server.exchanges:
                        answered += 1
                        server.exchanges.pop().respond(200, [], b"")
                    await asyncio.sleep(0)
                    with contextlib.suppress(BlockingIOError):
                        received = client.recv(65536)
            self.assertGreater(answered, http_server.PIPELINE_LIMIT_BYTES // len(REQUEST))

        self.play(scenario)

    def test_a_request_that_is_read_after_its_caller_has_left_is_handled(self) -> None:
        async def scenario(server: Server, client: socket.socket, leave: Departure) -> None:
            await eventually(lambda: server.connections == 1)
            client.send(REQUEST)
            leave(client)
            time.sleep(0.05)
            await eventually(lambda: server.connections == 0)
            self.assertEqual(server.exchanges, [])

        self.play(scenario)
