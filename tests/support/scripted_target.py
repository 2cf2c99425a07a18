"""A target that runs in the test process and records every byte it receives."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from pollenglade_emulator.announcer import Announcer
from pollenglade_emulator.announcer import TargetState
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.address import Address
from pollenglade_net.http_message import HttpRequest

Script = Callable[[HttpRequest, asyncio.StreamWriter], Awaitable[None]]
READ_CHUNK_BYTES = 65_536
SLOTS = 50


class ScriptedTarget:
    """Parses requests and lets a script write the bytes of each response."""

    def __init__(self, service: str, script: Script) -> None:
        self._service = service
        self._script = script
        self._announcer: Announcer | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.received_bytes = bytearray()
        self.requests: list[HttpRequest] = []

    async def start(self, node: NodeProcess) -> None:
        """Listen and announce the target to a node."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", self._server.sockets[0].getsockname()[1])
        self._announcer = Announcer(node.control, self._service, address, SLOTS)
        self._announcer.state = TargetState.READY
        self._announcer.start()

    async def close(self) -> None:
        """Stop announcing the target and close all connections."""
        assert self._announcer is not None and self._server is not None
        await self._announcer.close()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                continue
        except (OSError, h11.RemoteProtocolError):
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        # A new parser per request ignores responses, so that the script controls their framing.
        parser = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_CHUNK_BYTES)
                if not data:
                    return False
                self.received_bytes += data
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                method = head.method.decode()
                request = HttpRequest(method, head.target, list(head.headers), body)
                self.requests.append(request)
                await self._script(request, writer)
                return not writer.is_closing()


def ok_response(body: bytes, head: bytes = b"") -> bytes:
    """Return the bytes of a complete 200 response; `head` holds further header lines."""
    return b"HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s" % (head, len(body), body)
