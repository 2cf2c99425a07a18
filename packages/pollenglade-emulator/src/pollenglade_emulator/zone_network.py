"""A network of zones on loopback addresses, with one relay process between them."""

from __future__ import annotations

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
from .relay import Mode
from .zone_relay import Rule

RELAY_NAME = "zone-relay"
PLATFORM_ZONE = "platform"
"""Destination of connections to the platform in rules."""


class ZoneNetwork:
    """Starts nodes on `127.0.<zone>.<host>`; use `start` to make one.

    Nodes reach each other and the platform only through the relay, which knows the zone of a
    connection from its source address. Callers and targets of a host connect directly.
    """

    def __init__(self, processes: Processes, zones: Sequence[str], control: Address) -> None:
        self._processes = processes
        self._control = control
        self._network_by_zone = {zone: f"127.0.{1 + index}" for index, zone in enumerate(zones)}
        self._addresses_by_node: dict[str, NodeAddresses] = {}
        self._settings_by_node: dict[str, dict[str, str]] = {}
        self._distance_s = 0.0
        self.platform = control

    @classmethod
    async def start(
        cls,
        processes: Processes,
        zones: Sequence[str],
        platform: Address,
        distance_s: float = 0.0,
    ) -> ZoneNetwork:
        """Start the relay; `distance_s` is the delay one way between two zones."""
        network = cls(processes, zones, processes.free_address())
        network._distance_s = distance_s
        command = ["-m", "pollenglade_emulator", RELAY_NAME, "--control", str(network._control)]
        for zone, prefix in network._network_by_zone.items():
            command += ["--zone", f"{prefix}={zone}"]
        process = await processes.start(RELAY_NAME, command)
        await processes.wait_ready(process, network._control, "/status")
        network.platform = await network._route(PLATFORM_ZONE, platform)
        await network.heal()
        return network

    async def start_node(
        self, name: str, zone: str, settings: Mapping[str, str] | None = None
    ) -> NodeProcess:
        """Start a node; one that was started before gets its former addresses."""
        if name not in self._addresses_by_node:
            await self._place(name, zone)
        return await self._processes.start_node(
            name,
            zone,
            self.platform,
            settings={**self._settings_by_node[name], **(settings or {})},
            addresses=self._addresses_by_node[name],
        )

    async def _place(self, name: str, zone: str) -> None:
        host = f"{self._network_by_zone[zone]}.{1 + len(self._addresses_by_node)}"
        addresses = self._processes.node_addresses(host)
        self._settings_by_node[name] = {
            "POLLENGLADE_ADVERTISED_LINK_ADDRESS": str(await self._route(zone, addresses.link)),
            "POLLENGLADE_ADVERTISED_CONTROL_ADDRESS": str(
                await self._route(zone, addresses.control)
            ),
            "POLLENGLADE_SOURCE_HOST": host,
        }
        self._addresses_by_node[name] = addresses

    async def _route(self, zone: str, upstream: Address) -> Address:
        listen = self._processes.free_address()
        document = {"zone": zone, "upstream": str(upstream), "listen": str(listen)}
        await self._send("POST", "/routes", document)
        return listen

    async def heal(self) -> None:
        """Let all connections pass, with the distance between zones."""
        await self.apply([])

    async def isolate(self, zone: str, mode: Mode = Mode.SILENT) -> None:
        """Cut one zone off from all other zones and from the platform."""
        others = [other for other in self._network_by_zone if other != zone]
        await self.apply(rules_between([zone], [*others, PLATFORM_ZONE], mode))

    async def split(self, groups: Sequence[Collection[str]], mode: Mode = Mode.SILENT) -> None:
        """Cut two groups of zones off from each other; both reach the platform."""
        first, second = groups
        await self.apply(rules_between(first, second, mode))

    async def silence_open(self, source: str, destination: str) -> None:
        """Silence the connections between two zones that are open now; new ones work."""
        rules = rules_between([source], [destination], Mode.SILENT)
        await self.apply(rules, only_open=True)

    async def apply(self, rules: Iterable[Rule], only_open: bool = False) -> None:
        """Set the rules, with the distance for the pairs of zones that they do not name."""
        given = {(rule.source, rule.destination): rule for rule in rules}
        zones = self._network_by_zone
        distances = [
            Rule(source=source, destination=destination, delay_s=self._distance_s)
            for source in zones
            for destination in zones
            if source != destination and (source, destination) not in given
        ]
        document = [rule.model_dump(mode="json") for rule in [*given.values(), *distances]]
        await self._send("PUT", "/rules", {"rules": document, "only_open": only_open})

    async def _send(self, method: str, target: str, document: object) -> None:
        client = HttpClient()
        try:
            response = await client.request(
                self._control, method, target, None, orjson.dumps(document)
            )
        finally:
            await client.close()
        if isinstance(response, HttpFailure) or response.status != 200:
            raise RuntimeError(f"the zone relay did not accept {document}: {response}")


def rules_between(first: Iterable[str], second: Iterable[str], mode: Mode) -> list[Rule]:
    """Return the rules for both directions between two groups of zones."""
    right = list(second)
    pairs = [(left, other) for left in first for other in right]
    pairs += [(other, left) for left, other in pairs]
    return [Rule(source=source, destination=to, mode=mode) for source, to in pairs]
