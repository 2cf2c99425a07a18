"""Guards against a relay that causes another fault than the requested one."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from pollenglade_emulator.relay import Relay
from pollenglade_emulator.relay import RelayConduct
from pollenglade_emulator.relay import RelayMode

QUIET_S = 0.2
LIMIT_S = 20.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send all received data back."""
    while data := await reader.read(65_536):
        writer.write(data)
        await writer.drain()
    writer.close()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.upstream = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = self.upstream.sockets[0].getsockname()[1]
        self.relay = Relay("127.0.0.1", port)
        await self.relay.start("127.0.0.1", 0)

    async def asyncTearDown(self) -> None:
        await self.relay.close()
        self.upstream.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection through the relay."""
        opened = await asyncio.open_connection("127.0.0.1", self.relay.port)
        self.addCleanup(opened[1].close)
        return opened

    async def exchange(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes
    ) -> bytes:
        """Send data and return as many bytes of the response."""
        reader, writer = connection
        writer.write(data)
        return await asyncio.wait_for(reader.readexactly(len(data)), LIMIT_S)

    async def test_large_transfer_is_unchanged_and_ends(self) -> None:
        """Bytes or an end of stream that the relay loses would look like a fault of the node."""
        reader, writer = await self.connect()
        data = bytes(range(256)) * 20_000
        writer.write(data)
        writer.write_eof()
        self.assertEqual(data, await asyncio.wait_for(reader.read(-1), LIMIT_S))

    async def test_silence_of_open_connections_spares_new_ones(self) -> None:
        """Open connections can go silent while new ones work, which the relay must reproduce."""
        old = await self.connect()
        self.assertEqual(b"one", await self.exchange(old, b"one"))
        self.relay.apply(RelayConduct(RelayMode.SILENT), only_open=True)
        old[1].write(b"two")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(old[0].read(1), QUIET_S)
        self.assertEqual(b"new", await self.exchange(await self.connect(), b"new"))
        self.relay.apply(RelayConduct())
        self.assertEqual(b"two", await asyncio.wait_for(old[0].readexactly(3), LIMIT_S))

    async def test_silent_listener_accepts_and_never_answers(self) -> None:
        """After a reset instead of silence a node would not depend on its timeout."""
        self.relay.apply(RelayConduct(RelayMode.SILENT))
        reader, writer = await self.connect()
        writer.write(b"lost")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), QUIET_S)
        self.assertFalse(reader.at_eof())

    async def test_cut_resets_and_heals(self) -> None:
        """A cut that leaves connections open would be a test of silence instead."""
        reader, writer = await self.connect()
        await self.exchange((reader, writer), b"one")
        self.relay.apply(RelayConduct(RelayMode.CUT))
        for victim in (reader, (await self.connect())[0]):
            with contextlib.suppress(ConnectionError):
                self.assertEqual(b"", await asyncio.wait_for(victim.read(1), LIMIT_S))
        self.relay.apply(RelayConduct())
        self.assertEqual(b"two", await self.exchange(await self.connect(), b"two"))

    async def test_delay_is_at_least_the_stated_one(self) -> None:
        """Without an effective delay, tests of a slow network would pass without testing it."""
        self.relay.apply(RelayConduct(delay_s=0.1))
        connection = await self.connect()
        loop = asyncio.get_running_loop()
        before = loop.time()
        await self.exchange(connection, b"slow")
        # Each direction delays the chunk once; the clock of the loop has a resolution of 1 ns.
        self.assertGreaterEqual(loop.time() - before, 0.2 - 1e-6)
