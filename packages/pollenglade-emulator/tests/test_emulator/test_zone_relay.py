"""Guards against partitions that affect other pairs of zones than those in the rules."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from pollenglade_emulator.ports import PortPool
from pollenglade_emulator.processes import Processes
from pollenglade_emulator.relay import RelayMode
from pollenglade_emulator.zone_network import ZoneNetwork
from pollenglade_emulator.zone_network import rules_between
from pollenglade_emulator.zone_relay import RouteDocument
from pollenglade_emulator.zone_relay import Rule
from pollenglade_emulator.zone_relay import ZoneRelay
from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_server import HttpServer

from .test_relay import echo

ZONES = ("a", "b", "c")
QUIET_S = 0.1
LIMIT_S = 10.0


class ZoneRelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.relay = ZoneRelay({f"127.0.{1 + ZONES.index(zone)}": zone for zone in ZONES})
        upstream = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(upstream.close)
        ports = PortPool()
        self.addCleanup(ports.close)
        self.port_by_zone = {zone: ports.take() for zone in ZONES}
        for zone, port in self.port_by_zone.items():
            address = f"127.0.0.1:{upstream.sockets[0].getsockname()[1]}"
            listen = f"127.0.0.1:{port}"
            await self.relay.add_route(RouteDocument(zone=zone, upstream=address, listen=listen))

    async def asyncTearDown(self) -> None:
        await self.relay.close()

    async def connect(
        self, source: str, destination: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection from a zone to a zone."""
        local = (f"127.0.{1 + ZONES.index(source)}.1", 0)
        port = self.port_by_zone[destination]
        opened = await asyncio.open_connection("127.0.0.1", port, local_addr=local)
        self.addCleanup(opened[1].close)
        return opened

    async def echoes(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], wait_s: float
    ) -> bool:
        """Return whether a byte comes back; it can be the echo of an earlier byte."""
        reader, writer = connection
        with contextlib.suppress(TimeoutError, OSError):
            writer.write(b"x")
            return await asyncio.wait_for(reader.read(1), wait_s) == b"x"
        return False

    async def test_rules_apply_to_open_and_new_connections_of_their_zones_only(self) -> None:
        """A relay that ignores the source zone would partition a zone from itself."""
        pairs = [(source, to) for source in ZONES for to in ZONES]
        for mode in (RelayMode.SILENT, RelayMode.CUT):
            with self.subTest(mode):
                self.relay.apply(())
                open_before = {pair: await self.connect(*pair) for pair in pairs}
                for connection in open_before.values():
                    self.assertTrue(await self.echoes(connection, LIMIT_S))
                rules = rules_between(["a"], ["b", "c"], mode)
                cut = {(rule.source, rule.destination) for rule in rules}
                self.assertEqual({("a", "b"), ("a", "c"), ("b", "a"), ("c", "a")}, cut)
                self.relay.apply(tuple(rules))
                for pair in pairs:
                    for connection in (open_before[pair], await self.connect(*pair)):
                        works = pair not in cut
                        wait_s = LIMIT_S if works else QUIET_S
                        self.assertEqual(works, await self.echoes(connection, wait_s), pair)
                self.relay.apply(())
                if mode is RelayMode.SILENT:
                    for pair in pairs:
                        self.assertTrue(await self.echoes(open_before[pair], LIMIT_S), pair)

    async def test_delay_applies_in_both_directions_between_its_zones(self) -> None:
        """Without a delay between zones, calls to another zone would seem to cost nothing."""
        self.relay.apply((Rule(source="a", destination="b", delay_s=0.1),))
        loop = asyncio.get_running_loop()
        connection = await self.connect("a", "b")
        started_s = loop.time()
        self.assertTrue(await self.echoes(connection, LIMIT_S))
        self.assertGreaterEqual(loop.time() - started_s, 0.2)


class ZoneNetworkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_relay_that_accepts_no_connection_at_first_fails_the_test(self) -> None:
        """Beside heavy load, its process may get no processor time for a second."""
        ports = PortPool()
        self.addCleanup(ports.close)
        control = Address("127.0.0.1", ports.take())
        requests: list[bytes] = []

        async def respond(request: HttpRequest) -> HttpResponse:
            requests.append(request.target)
            return HttpResponse(200)

        network = ZoneNetwork(Processes(), ZONES, control)
        healing = asyncio.create_task(network.heal())
        await asyncio.sleep(0.2)
        server = HttpServer(async_handler(respond))
        self.addAsyncCleanup(server.close)
        await server.start(control.host, control.port)
        async with asyncio.timeout(LIMIT_S):
            await healing
        self.assertEqual(requests, [b"/rules"])
