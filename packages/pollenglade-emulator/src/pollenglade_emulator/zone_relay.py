"""Subcommand `zone-relay`: relays connections between zones by rules for pairs of zones."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from typing import Annotated

import typer
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response
from pollenglade_net.http_server import HttpServer

from .relay import Relay
from .relay import RelayConduct
from .relay import RelayMode

app = typer.Typer()


class Rule(BaseModel):
    """Mode and one-way delay of the connections from one zone to another."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    source: str
    destination: str
    mode: RelayMode = RelayMode.PASS
    delay_s: float = Field(default=0.0, ge=0.0, le=60.0)


class RulesDocument(BaseModel):
    """Body of `PUT /rules`, which replaces all rules.

    Connections between zones without a rule are forwarded without delay. With `only_open` the rules
    apply to the connections that are open now, and the previous rules to later connections.
    """

    model_config = ConfigDict(extra="forbid")

    rules: tuple[Rule, ...]
    only_open: bool = False


class RouteDocument(BaseModel):
    """Body of `POST /routes`: listen on `listen` for `upstream`, which is in zone `zone`."""

    model_config = ConfigDict(extra="forbid")

    zone: str
    upstream: str
    listen: str


class ZoneRelay:
    """Relays between zones; `zones_by_prefix` maps address prefixes (`127.0.1`) to zones."""

    def __init__(self, zones_by_prefix: Mapping[str, str]) -> None:
        self._zones_by_prefix = zones_by_prefix
        self._relays: list[Relay] = []
        self._conduct_by_zones: dict[tuple[str, str], RelayConduct] = {}
        self._control = HttpServer(async_handler(self.handle))

    async def start(self, control: Address) -> int:
        """Listen on the control address and return its port."""
        return await self._control.start(control.host, control.port)

    async def close(self) -> None:
        """Close all listeners and connections."""
        await self._control.close()
        await asyncio.gather(*(relay.close() for relay in self._relays))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to a request on the control port."""
        try:
            if (request.method, request.target) == ("PUT", b"/rules"):
                document = RulesDocument.model_validate_json(request.body)
                self.apply(document.rules, document.only_open)
            elif (request.method, request.target) == ("POST", b"/routes"):
                await self.add_route(RouteDocument.model_validate_json(request.body))
            elif request.method != "GET":
                return json_response(405, {"detail": "use PUT /rules, POST /routes, GET /status"})
        except (ValidationError, ValueError, OSError) as error:
            return json_response(400, {"detail": str(error)})
        return json_response(200, {"open": sum(relay.open_connections for relay in self._relays)})

    def apply(self, rules: tuple[Rule, ...], only_open: bool = False) -> None:
        """Replace all rules, or with `only_open` only those of the open connections."""
        previous = self._conduct_by_zones
        self._conduct_by_zones = {
            (rule.source, rule.destination): RelayConduct(rule.mode, rule.delay_s) for rule in rules
        }
        for relay in self._relays:
            relay.refresh()
        if only_open:
            self._conduct_by_zones = previous

    async def add_route(self, route: RouteDocument) -> None:
        """Listen on the address of a route and relay its connections."""
        upstream, listen = Address.parse(route.upstream), Address.parse(route.listen)

        def conduct_of(host: str) -> RelayConduct:
            source = self._zones_by_prefix.get(host.rpartition(".")[0], "")
            return self._conduct_by_zones.get((source, route.zone), RelayConduct())

        relay = Relay(upstream.host, upstream.port, conduct_of)
        await relay.start(listen.host, listen.port)
        self._relays.append(relay)


async def serve(zones_by_prefix: Mapping[str, str], control: Address) -> None:
    """Run the relay until SIGTERM or SIGINT."""
    relay = ZoneRelay(zones_by_prefix)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await relay.start(control)
    await stop.wait()
    await relay.close()


@app.command("zone-relay")
def zone_relay(
    control: Annotated[str, typer.Option(help="Address of the control port.")],
    zone: Annotated[
        list[str], typer.Option(help="A zone as <address prefix>=<name>, such as 127.0.1=a.")
    ],
) -> None:
    """Relay connections between zones by rules that are set over HTTP."""
    pairs = (item.partition("=") for item in zone)
    zones_by_prefix = {prefix: name for prefix, _, name in pairs}
    asyncio.run(serve(zones_by_prefix, Address.parse(control)))
