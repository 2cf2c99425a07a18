"""TCP relay that can reset, silence or delay its connections while they are open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 64

Chunks = asyncio.Queue[tuple[float, bytes]]


class RelayMode(StrEnum):
    """What the relay does with a connection.

    `pass` forwards its bytes, `cut` resets it, `silent` keeps it open and forwards nothing.
    """

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


@dataclass(frozen=True)
class RelayConduct:
    """Mode of a connection; each chunk is delayed by `delay_s` in each direction."""

    mode: RelayMode = RelayMode.PASS
    delay_s: float = 0.0


class Connection:
    """One relayed connection between a client and the upstream.

    While it is silent it stays open and buffers data and the end of the stream. They are forwarded
    once it passes again, as after a partition, when TCP retransmits lost segments.
    """

    def __init__(self, conduct: RelayConduct) -> None:
        self._forwarding = asyncio.Event()
        self._writers: list[asyncio.StreamWriter] = []
        self._delay_s = 0.0
        self.apply(conduct)

    def apply(self, conduct: RelayConduct) -> None:
        """Change the conduct; `cut` stops forwarding, and the caller resets the connection."""
        self._delay_s = conduct.delay_s
        if conduct.mode is RelayMode.PASS:
            self._forwarding.set()
        else:
            self._forwarding.clear()

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            writer.transport.abort()

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, port: int
    ) -> None:
        """Relay until both directions have ended or one side resets the connection."""
        self._writers.append(writer)
        try:
            await self._forwarding.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
            self._writers.append(upstream_writer)
            async with asyncio.TaskGroup() as group:
                self._start_forwarding(group, reader, upstream_writer)
                self._start_forwarding(group, upstream_reader, writer)
        except* OSError:
            pass
        finally:
            self.abort()

    def _start_forwarding(
        self,
        group: asyncio.TaskGroup,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # Separate tasks read and write, so that a delay adds latency without limiting the rate.
        queue: Chunks = asyncio.Queue(MAX_QUEUED_CHUNKS)
        group.create_task(self._read(reader, queue))
        group.create_task(self._write(writer, queue))

    async def _read(self, reader: asyncio.StreamReader, queue: Chunks) -> None:
        data = b"-"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                # A partition delays a reset like data.
                await self._forwarding.wait()
                raise
            await queue.put((asyncio.get_running_loop().time() + self._delay_s, data))

    async def _write(self, writer: asyncio.StreamWriter, queue: Chunks) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await queue.get()
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            await self._forwarding.wait()
            if writer.is_closing():
                raise ConnectionResetError
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class Relay:
    """Listens on one address and relays each connection to one upstream address.

    `conduct_of` returns the conduct for the IP address of a client; without it all connections have
    the conduct that `apply` sets.
    """

    def __init__(
        self,
        upstream_host: str,
        upstream_port: int,
        conduct_of: Callable[[str], RelayConduct] | None = None,
    ) -> None:
        self._upstream = (upstream_host, upstream_port)
        self._conduct = RelayConduct()
        self._conduct_of = conduct_of or (lambda host: self._conduct)
        self._tasks_by_connection: dict[Connection, asyncio.Task[None]] = {}
        self._host_by_connection: dict[Connection, str] = {}
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the relay listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks_by_connection)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        assert self._server is not None
        self._server.close()
        tasks = list(self._tasks_by_connection.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def apply(self, conduct: RelayConduct, only_open: bool = False) -> None:
        """Change the conduct of all connections, or with `only_open` of the open ones only."""
        if not only_open:
            self._conduct = conduct
        for connection in self._tasks_by_connection:
            self._apply_to(connection, conduct)

    def refresh(self) -> None:
        """Apply the current result of `conduct_of` to all open connections."""
        for connection, host in self._host_by_connection.items():
            self._apply_to(connection, self._conduct_of(host))

    def _apply_to(self, connection: Connection, conduct: RelayConduct) -> None:
        connection.apply(conduct)
        if conduct.mode is RelayMode.CUT:
            self._tasks_by_connection[connection].cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The listener stays open in every mode: a refused connection would show a peer that the
        # process has ended, unlike a partition.
        host = str(writer.get_extra_info("peername")[0])
        conduct = self._conduct_of(host)
        if conduct.mode is RelayMode.CUT:
            writer.transport.abort()
            return
        connection = Connection(conduct)
        self._host_by_connection[connection] = host
        task = asyncio.ensure_future(connection.run(reader, writer, *self._upstream))
        self._tasks_by_connection[connection] = task
        try:
            await asyncio.wait([task])
        finally:
            del self._tasks_by_connection[connection]
            del self._host_by_connection[connection]
