"""Subcommand `http-cost`: processor time of one HTTP exchange at a server and at a client.

The connections are those of the product; their transport is in memory, so that no system calls are
included. The least of several rounds is printed, because other processes only add time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import process_time
from typing import Annotated
from typing import cast

import typer

from pollenglade_net.address import Address
from pollenglade_net.client_connection import ClientConnection
from pollenglade_net.connection_pool import ConnectionPool
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import encode_message_head
from pollenglade_net.http_server import HttpServer
from pollenglade_net.server_connection import ServerConnection

TARGET = b"/applications/17?view=short"
REQUEST_HEADERS: Headers = [
    (b"host", b"portal.example"),
    (b"accept", b"application/json"),
    (b"user-agent", b"portal/3.2"),
    (b"x-request-id", b"a81"),
    (b"authorization", b"Bearer 0123456789abcdef"),
    (b"pollenglade-deadline-ms", b"1800"),
    (b"pollenglade-organisation", b"registry"),
]
RESPONSE_HEADERS: Headers = [
    (b"content-type", b"application/json"),
    (b"x-version", b"7"),
    (b"example-server-load", b"3,0,9"),
]
BODY = b'{"status":"submitted","id":17,"documents":[1,2,3]}'
CHUNKED_BODY = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
ROUNDS = 15


class MemoryTransport:
    """Transport that stays open and drops what is written."""

    def write(self, data: bytes) -> None:
        """Drop the data."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return that nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """Return that the transport is open."""
        return False

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Raise an error, because every exchange must keep the connection open."""
        raise AssertionError("the connection closed; the exchange is not measured")

    abort = close


class CountingSink:
    """Response sink that counts complete responses."""

    def __init__(self) -> None:
        self.responses = 0

    def on_head(self, status: int, headers: Headers) -> None:
        """Ignore the head."""

    def on_data(self, data: bytes) -> None:
        """Check the body."""
        assert data == BODY

    def on_end(self) -> None:
        """Count the response."""
        self.responses += 1

    def on_failure(self, failure: HttpFailure) -> None:
        """Raise an error."""
        raise AssertionError(failure)


def _encode(first_line: bytes, headers: Headers, framing: str) -> bytes:
    if framing == "no body":
        return encode_message_head(first_line, headers)
    if framing == "chunks":
        field, body = (b"transfer-encoding", b"chunked"), CHUNKED_BODY
    else:
        field, body = (b"content-length", b"%d" % len(BODY)), BODY
    return encode_message_head(first_line, [*headers, field]) + body


def _respond(exchange: Exchange) -> None:
    exchange.respond(200, RESPONSE_HEADERS, BODY)


def _stream(exchange: Exchange) -> None:
    exchange.start_response(200, RESPONSE_HEADERS)
    exchange.write_chunk(BODY)
    exchange.end_response()


def _transport() -> asyncio.Transport:
    return cast(asyncio.Transport, MemoryTransport())


def _server_exchange(
    method: bytes, framing: str, handler: Callable[[Exchange], None]
) -> Callable[[], None]:
    connection = ServerConnection(HttpServer(handler))
    connection.connection_made(_transport())
    request = _encode(b"%b %b HTTP/1.1\r\n" % (method, TARGET), REQUEST_HEADERS, framing)
    return lambda: connection.data_received(request)


def _client_exchange(method: str, framing: str) -> Callable[[], None]:
    pool = ConnectionPool()
    address = Address("127.0.0.1", 1)
    connection = ClientConnection(pool, address)
    connection.connection_made(_transport())
    response = _encode(b"HTTP/1.1 200 OK\r\n", RESPONSE_HEADERS, framing)
    request_body = BODY if method == "POST" else b""
    sink = CountingSink()

    def exchange() -> None:
        connection.send(
            method, TARGET, REQUEST_HEADERS, request_body, sink, 1.0, fields_validated=True
        )
        connection.data_received(response)
        assert pool.acquire(address) is connection

    return exchange


def _measure_us(exchange: Callable[[], None], exchanges: int) -> float:
    rounds_us = []
    for _ in range(ROUNDS):
        started_at = process_time()
        for _ in range(exchanges):
            exchange()
        rounds_us.append((process_time() - started_at) / exchanges * 1e6)
    return min(rounds_us)


async def _run(exchanges: int) -> None:
    exchange_by_name = {
        "server: GET": _server_exchange(b"GET", "no body", _respond),
        "server: POST with a length": _server_exchange(b"POST", "length", _respond),
        "server: POST in chunks, streamed response": _server_exchange(b"POST", "chunks", _stream),
        "client: GET, response with a length": _client_exchange("GET", "length"),
        "client: POST, response with a length": _client_exchange("POST", "length"),
        "client: POST, response in chunks": _client_exchange("POST", "chunks"),
    }
    for name, exchange in exchange_by_name.items():
        print(f"{name}: {_measure_us(exchange, exchanges):.1f} us")


def http_cost(
    exchanges: Annotated[int, typer.Option(help="Exchanges of each round.")] = 2000,
) -> None:
    """Measure the processor time of one HTTP exchange without system calls."""
    asyncio.run(_run(exchanges))
