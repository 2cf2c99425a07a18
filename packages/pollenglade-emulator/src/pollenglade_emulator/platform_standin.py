"""Stand-in for the platform: one process, in memory, with configurable faults.

GET  /table/<row>           the row, or 404
PUT  /table/<row>           {"value", "expected_version", "operation_id"}; 409 with the row
GET  /table?prefix=<text>   {"rows": [...]}
GET  /objects/<name>        the bytes, or 404
PUT  /objects/<name>
POST /faults                a `PlatformFaults` object; GET returns the current one
GET  /statistics            {"reads", "writes"}: requests received from clients
"""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import orjson
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from pollenglade_net.address import Address
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_server import HttpServer
from pollenglade_net.platform_api import Row

from .platform_faults import PlatformFaults


class _WriteBody(BaseModel):
    model_config = ConfigDict(extra="forbid")

    value: Any
    expected_version: int = Field(ge=0)
    operation_id: str = Field(min_length=1)


class PlatformStandIn:
    """Serves a table of versioned rows and an object store until it is closed."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.rows_by_name: dict[str, Row] = {}
        self.objects_by_name: dict[str, bytes] = {}
        self.reads = 0
        self.writes = 0
        self._server = HttpServer(self._handle)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen and return the address; port 0 selects a free port."""
        return Address(host, await self._server.start(host, port))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        path = urlsplit(request.target.decode("ascii", "replace")).path
        if path in ("/faults", "/statistics"):
            self._respond(exchange, self._control_response(request, path))
            return
        zone = (request.header(b"pollenglade-zone") or b"").decode("utf-8", "replace")
        if zone in self.faults.cut_zones:
            return
        if self.faults.down:
            exchange.abort()
        elif self.faults.delay_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.delay_s, self._execute, exchange)
        else:
            self._execute(exchange)

    def _execute(self, exchange: Exchange) -> None:
        request = exchange.request
        is_write = request.method == "PUT"
        if is_write:
            self.writes += 1
        else:
            self.reads += 1
        response = self._store_response(request)
        if is_write and self._drops_response():
            exchange.abort()
            return
        self._respond(exchange, response)

    def _respond(self, exchange: Exchange, response: HttpResponse) -> None:
        exchange.respond(response.status, response.headers, response.body)

    def _drops_response(self) -> bool:
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            return True
        interval = self.faults.lose_every_nth_answer
        return interval > 0 and self.writes % interval == 0

    def _control_response(self, request: HttpRequest, path: str) -> HttpResponse:
        if path == "/statistics":
            return _json(200, {"reads": self.reads, "writes": self.writes})
        if request.method == "POST":
            try:
                self.faults = PlatformFaults.model_validate_json(request.body)
            except ValidationError as error:
                return _json(400, {"detail": str(error)})
        return _json(200, self.faults.model_dump(mode="json"))

    def _store_response(self, request: HttpRequest) -> HttpResponse:
        url = urlsplit(request.target.decode("ascii", "replace"))
        resource, _, name = url.path.removeprefix("/").partition("/")
        name = unquote(name)
        match (request.method, resource, bool(name)):
            case ("GET", "table", False):
                return self._list_rows(parse_qs(url.query).get("prefix", [""])[0])
            case ("GET", "table", True):
                row = self.rows_by_name.get(name)
                return _json(200, row) if row else _json(404, {"detail": "no such row"})
            case ("PUT", "table", True):
                return self._write_row(name, bytes(request.body))
            case ("GET", "objects", True):
                data = self.objects_by_name.get(name)
                return _json(404, {}) if data is None else HttpResponse(200, [], data)
            case ("PUT", "objects", True):
                self.objects_by_name[name] = bytes(request.body)
                return HttpResponse(204, [])
        return _json(400, {"detail": "no such operation; see the module documentation"})

    def _list_rows(self, prefix: str) -> HttpResponse:
        names = sorted(name for name in self.rows_by_name if name.startswith(prefix))
        return _json(200, {"rows": [self.rows_by_name[name] for name in names]})

    def _write_row(self, name: str, body: bytes) -> HttpResponse:
        try:
            write = _WriteBody.model_validate_json(body)
        except ValidationError as error:
            return _json(400, {"detail": str(error)})
        current = self.rows_by_name.get(name)
        version = current.version if current else 0
        if write.expected_version != version:
            return _json(409, {"row": current})
        self.rows_by_name[name] = Row(name, version + 1, write.value, write.operation_id)
        return _json(200, {"version": version + 1})


def _json(status: int, body: object) -> HttpResponse:
    return HttpResponse(status, [(b"content-type", b"application/json")], orjson.dumps(body))
