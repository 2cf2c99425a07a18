"""A node without overload control: it forwards each call to a random target of the service.

It allows tests of the emulator without the daemon. Run it as `python -m support.plain_node` with
the environment variables of a node.
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

ROW_PREFIX = "plain/"
REFRESH_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 10.0
UNKNOWN_HEADERS = [(b"pollenglade-outcome", b"unknown"), (b"pollenglade-reason", b"target-failed")]
NOT_RUN_HEADERS = [(b"pollenglade-outcome", b"not-run"), (b"pollenglade-reason", b"no-target")]


class PlainNode:
    """Forwards calls to the targets of all nodes, which are listed in the platform table."""

    def __init__(self, platform: Address) -> None:
        self._random = Random()
        self._platform = PlatformClient(platform, "plain", self._random)
        self._client = HttpClient()
        self._addresses_by_service: dict[str, list[Address]] = {}
        self._announced: set[str] = set()

    async def refresh_targets(self) -> None:
        """Periodically read the targets of all nodes from the platform.

        The last known targets are kept while no targets can be read.
        """
        while True:
            rows = await self._platform.read_prefix(ROW_PREFIX)
            addresses_by_service: dict[str, list[Address]] = {}
            for row in rows if isinstance(rows, tuple) else ():
                addresses_by_service.setdefault(row.value["service"], []).append(
                    Address.parse(row.value["address"])
                )
            self._addresses_by_service = addresses_by_service or self._addresses_by_service
            await asyncio.sleep(REFRESH_INTERVAL_S)

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Handle a request to the control port; a POST announces a target."""
        if request.method == "POST":
            document = orjson.loads(request.body)
            name = ROW_PREFIX + document["address"]
            if name not in self._announced:
                self._announced.add(name)
                await self._platform.write(name, document, 0, uuid4().hex)
        return json_response(200, {})

    async def handle_call(self, request: HttpRequest) -> HttpResponse:
        """Forward one call to a target; a random call handle replaces the key."""
        service, _, path = request.target.decode().removeprefix("/").partition("/")
        addresses = self._addresses_by_service.get(service)
        if not addresses:
            return json_response(503, {}, NOT_RUN_HEADERS)
        removed_headers = (b"authorization", b"host", b"content-length", b"pollenglade-call")
        headers = [
            entry
            for entry in end_to_end_headers(request.headers)
            if entry[0] not in removed_headers
        ]
        headers.append((b"pollenglade-call", uuid4().hex.encode()))
        response = await self._client.request(
            self._random.choice(addresses),
            request.method,
            f"/{path}",
            headers,
            request.body,
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(response, HttpFailure):
            return json_response(502, {}, UNKNOWN_HEADERS)
        fields = list(end_to_end_headers(response.headers))
        fields.append((b"pollenglade-outcome", b"ran"))
        return HttpResponse(response.status, fields, response.body)


async def main() -> None:
    """Serve until SIGTERM."""
    node = PlainNode(Address.parse(os.environ["POLLENGLADE_PLATFORM_URL"].removeprefix("http://")))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    for handler, name in ((node.handle_call, "CALLER"), (node.handle_control, "CONTROL")):
        address = Address.parse(os.environ[f"POLLENGLADE_{name}_ADDRESS"])
        await HttpServer(async_handler(handler)).start(address.host, address.port)
    refresh = asyncio.ensure_future(node.refresh_targets())
    await stop.wait()
    refresh.cancel()


if __name__ == "__main__":
    asyncio.run(main())
    sys.exit(int(os.environ.get("PLAIN_NODE_EXIT_CODE", "0")))
