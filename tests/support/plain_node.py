"""A node without any control: it forwards each call to a random target of the service.

It lets the emulator be tested without the daemon. Run it as `python -m support.plain_node`, with
the environment of a node.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from random import Random
from uuid import uuid4

import orjson

from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.http_message import json_response
from pollenglade_net.http_server import HttpServer
from pollenglade_net.platform_client import PlatformClient

PREFIX = "plain/"
REFRESH_S = 0.5
TIMEOUT_S = 10.0
UNKNOWN = [(b"pollenglade-outcome", b"unknown"), (b"pollenglade-reason", b"target-failed")]
NOT_RUN = [(b"pollenglade-outcome", b"not-run"), (b"pollenglade-reason", b"no-target")]


class PlainNode:
    """Forwards calls; the targets of all nodes are listed in the platform table."""

    def __init__(self, platform: Address) -> None:
        self._random = Random()
        self._platform = PlatformClient(platform, "plain", self._random)
        self._client = HttpClient()
        self._addresses_by_service: dict[str, list[Address]] = {}
        self._announced: set[str] = set()

    async def refresh(self) -> None:
        """Learn the targets of all nodes."""
        while True:
            rows = await self._platform.read_prefix(PREFIX)
            found: dict[str, list[Address]] = {}
            for row in rows if isinstance(rows, tuple) else ():
                found.setdefault(row.value["service"], []).append(
                    Address.parse(row.value["address"])
                )
            self._addresses_by_service = found or self._addresses_by_service
            await asyncio.sleep(REFRESH_S)

    async def control(self, request: HttpRequest) -> HttpResponse:
        """Answer the control port."""
        if request.method == "POST":
            document = orjson.loads(request.body)
            name = PREFIX + document["address"]
            if name not in self._announced:
                self._announced.add(name)
                await self._platform.write(name, document, 0, uuid4().hex)
        return json_response(200, {})

    async def call(self, request: HttpRequest) -> HttpResponse:
        """Forward one call to a target, without its key and with a handle."""
        service, _, rest = request.target.decode().removeprefix("/").partition("/")
        addresses = self._addresses_by_service.get(service)
        if not addresses:
            return json_response(503, {}, NOT_RUN)
        dropped = (b"authorization", b"host", b"content-length", b"pollenglade-call")
        headers = [
            entry for entry in end_to_end_headers(request.headers) if entry[0] not in dropped
        ]
        headers.append((b"pollenglade-call", uuid4().hex.encode()))
        response = await self._client.request(
            self._random.choice(addresses),
            request.method,
            f"/{rest}",
            headers,
            request.body,
            timeout_s=TIMEOUT_S,
        )
        if isinstance(response, HttpFailure):
            return json_response(502, {}, UNKNOWN)
        fields = list(end_to_end_headers(response.headers))
        fields.append((b"pollenglade-outcome", b"ran"))
        return HttpResponse(response.status, fields, response.body)


async def main() -> None:
    """Serve until SIGTERM."""
    node = PlainNode(Address.parse(os.environ["POLLENGLADE_PLATFORM_URL"].removeprefix("http://")))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    for handle, name in ((node.call, "CALLER"), (node.control, "CONTROL")):
        address = Address.parse(os.environ[f"POLLENGLADE_{name}_ADDRESS"])
        await HttpServer(async_handler(handle)).start(address.host, address.port)
    refresh = asyncio.ensure_future(node.refresh())
    await stop.wait()
    refresh.cancel()


if __name__ == "__main__":
    asyncio.run(main())
    sys.exit(int(os.environ.get("PLAIN_NODE_EXIT_CODE", "0")))
