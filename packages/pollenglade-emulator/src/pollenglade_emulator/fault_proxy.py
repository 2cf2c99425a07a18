"""Subcommand `proxy`: TCP relay whose faults are set over HTTP."""

from __future__ import annotations

import asyncio
import signal
import sys
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


class ConductDocument(BaseModel):
    """Body of `PUT /conduct`; with `only_open` later connections keep the previous conduct."""

    model_config = ConfigDict(extra="forbid")

    mode: RelayMode = RelayMode.PASS
    delay_s: float = Field(default=0.0, ge=0.0, le=60.0)
    only_open: bool = False


class FaultProxy:
    """One relay with a control port: `PUT /conduct`, `GET /status`."""

    def __init__(self, upstream: Address) -> None:
        self.relay = Relay(upstream.host, upstream.port)
        self._control = HttpServer(async_handler(self.handle))
        self._document = ConductDocument()

    async def start(self, listen: Address, control: Address) -> int:
        """Listen on both addresses and return the control port."""
        await self.relay.start(listen.host, listen.port)
        return await self._control.start(control.host, control.port)

    async def close(self) -> None:
        """Close both listeners and every connection."""
        await self._control.close()
        await self.relay.close()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to a request on the control port."""
        if request.method == "PUT" and request.target == b"/conduct":
            try:
                document = ConductDocument.model_validate_json(request.body)
            except ValidationError as error:
                return json_response(400, {"detail": str(error)})
            self._document = document
            self.relay.apply(RelayConduct(document.mode, document.delay_s), document.only_open)
        elif request.method != "GET":
            return json_response(405, {"detail": "use PUT /conduct or GET /status"})
        status = {**self._document.model_dump(mode="json"), "open": self.relay.open_connections}
        return json_response(200, status)


async def serve(upstream: Address, listen: Address, control: Address) -> None:
    """Run a proxy until SIGTERM or SIGINT."""
    proxy = FaultProxy(upstream)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    control_port = await proxy.start(listen, control)
    sys.stderr.write(
        f"proxy is listening on port {proxy.relay.port}, control port {control_port}\n"
    )
    await stop.wait()
    await proxy.close()


@app.command()
def proxy(
    upstream: Annotated[str, typer.Option(help="Address to relay to, as host:port.")],
    listen: Annotated[str, typer.Option(help="Address of the relay.")] = "127.0.0.1:0",
    control: Annotated[str, typer.Option(help="Address of the control port.")] = "127.0.0.1:0",
) -> None:
    """Relay TCP connections and cut, silence or delay them on request."""
    asyncio.run(serve(*(Address.parse(item) for item in (upstream, listen, control))))
