"""A network of zones on loopback addresses, with one relay process between them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import orjson

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .processes import NodeAddresses
from .processes import NodeProcess
from .processes import Processes
from .relay import RelayMode
from .zone_relay import Rule

REQUEST_LIMIT_S = 10.0
"""Time limit for a request to the relay, including repeated attempts to connect."""

CONNECT_RETRY_DELAY_S = 0.1

RELAY_NAME = "zone-relay"
PLATFORM_ZONE = "platform"
"""Name of the platform as a destination in rules."""


class ZoneNetwork:
    """Starts nodes on `127.0.<zone>.<host>`; `start` creates an instance.

    Nodes reach each other and the platform only through the relay, which derives the zone of a
    connection from its source address. Callers and targets connect to a node directly.
    """

    def __init__(self, processes: Processes, zones: Sequence[str], control: Address) -> None:
        self._processes = processes
        self._control = control
        self._prefix_by_zone = {zone: f"127.0.{1 + index}" for index, zone in enumerate(zones)}
        self._addresses_by_node: dict[str, NodeAddresses] = {}
        self._settings_by_node: dict[str, dict[str, str]] = {}
        self._delay_s = 0.0
        self.platform = control

    @classmethod
    async def start(
        cls,
        processes: Processes,
        zones: Sequence[str],
        platform: Address,
        delay_s: float = 0.0,
    ) -> ZoneNetwork:
        """Start the relay; `delay_s` is the one-way delay between two zones."""
        network = cls(processes, zones, processes.free_address())
        network._delay_s = delay_s
        command = ["-m", "pollenglade_emulator", RELAY_NAME, "--control", str(network._control)]
        for zone, prefix in network._prefix_by_zone.items():
            command += ["--zone", f"{prefix}={zone}"]
        process = await processes.start(RELAY_NAME, command)
        await processes.wait_ready(process, network._control, "/status")
        network.platform = await network._add_route(PLATFORM_ZONE, platform)
        await network.heal()
        return network

    async def start_node(
        self, name: str, zone: str, settings: Mapping[str, str] | None = None
    ) -> NodeProcess:
        """Start a node; a restarted node keeps its addresses."""
        if name not in self._addresses_by_node:
            await self._assign_addresses(name, zone)
        return await self._processes.start_node(
            name,
            zone,
            self.platform,
            settings={**self._settings_by_node[name], **(settings or {})},
            addresses=self._addresses_by_node[name],
        )

    async def _assign_addresses(self, name: str, zone: str) -> None:
        host = f"{self._prefix_by_zone[zone]}.{1 + len(self._addresses_by_node)}"
        addresses = self._processes.node_addresses(host)
        self._settings_by_node[name] = {
            "POLLENGLADE_ADVERTISED_LINK_ADDRESS": str(await self._add_route(zone, addresses.link)),
            "POLLENGLADE_ADVERTISED_CONTROL_ADDRESS": str(
                await self._add_route(zone, addresses.control)
            ),
            "POLLENGLADE_SOURCE_HOST": host,
        }
        self._addresses_by_node[name] = addresses

    async def _add_route(self, zone: str, upstream: Address) -> Address:
        listen = self._processes.free_address()
        document = {"zone": zone, "upstream": str(upstream), "listen": str(listen)}
        await self._send("POST", "/routes", document)
        return listen

    async def heal(self) -> None:
        """Remove all rules but the delay between zones."""
        await self.apply([])

    async def isolate(self, zone: str, mode: RelayMode = RelayMode.SILENT) -> None:
        """Partition one zone from all other zones and from the platform."""
        other_zones = [other for other in self._prefix_by_zone if other != zone]
        await self.apply(rules_between([zone], [*other_zones, PLATFORM_ZONE], mode))

    async def split(
        self, groups: Sequence[Collection[str]], mode: RelayMode = RelayMode.SILENT
    ) -> None:
        """Partition two groups of zones from each other; both reach the platform."""
        first, second = groups
        await self.apply(rules_between(first, second, mode))

    async def silence_open_connections(self, source: str, destination: str) -> None:
        """Silence the open connections between two zones; new connections work."""
        rules = rules_between([source], [destination], RelayMode.SILENT)
        await self.apply(rules, only_open=True)

    async def apply(self, rules: Iterable[Rule], only_open: bool = False) -> None:
        """Replace the rules; all other pairs of zones get the delay between zones.

        With `only_open` the rules apply only to connections that are open now.
        """
        rules_by_pair = {(rule.source, rule.destination): rule for rule in rules}
        zones = self._prefix_by_zone
        delay_rules = [
            Rule(source=source, destination=destination, delay_s=self._delay_s)
            for source in zones
            for destination in zones
            if source != destination and (source, destination) not in rules_by_pair
        ]
        document = [
            rule.model_dump(mode="json") for rule in [*rules_by_pair.values(), *delay_rules]
        ]
        await self._send("PUT", "/rules", {"rules": document, "only_open": only_open})

    async def _send(self, method: str, target: str, document: object) -> None:
        client = HttpClient()
        try:
            async with asyncio.timeout(REQUEST_LIMIT_S):
                while True:
                    response = await client.request(
                        self._control, method, target, None, orjson.dumps(document), REQUEST_LIMIT_S
                    )
                    if not isinstance(response, HttpFailure) or response.sent:
                        break
                    # The relay accepts no connection while it gets no processor time.
                    await asyncio.sleep(CONNECT_RETRY_DELAY_S)
        finally:
            await client.close()
        if isinstance(response, HttpFailure) or response.status != 200:
            raise RuntimeError(f"the zone relay rejected {document}: {response}")


def rules_between(first: Iterable[str], second: Iterable[str], mode: RelayMode) -> list[Rule]:
    """Return rules for both directions between each zone of one group and each of another."""
    second_zones = list(second)
    pairs = [(left, other) for left in first for other in second_zones]
    pairs += [(other, left) for left, other in pairs]
    return [Rule(source=source, destination=to, mode=mode) for source, to in pairs]
