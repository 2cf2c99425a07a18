"""Subcommand `link-comparison`: compares two transports for calls between nodes.

One is keep-alive HTTP/1.1 with a JSON envelope, the other is the msgpack link. Client and
server only encode, decode and respond. The measurements of both are interleaved in one run.
"""

from __future__ import annotations

import asyncio
import base64
import json
import multiprocessing
import os
import statistics
from collections.abc import Awaitable
from collections.abc import Callable
from multiprocessing.connection import Connection
from time import monotonic
from time import perf_counter
from typing import Annotated
from typing import Any

import orjson
import typer
import uvloop

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_net.address import Address
from pollenglade_net.attempt import Attempt
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_server import HttpServer
from pollenglade_net.link import Link
from pollenglade_net.link_message import Feedback
from pollenglade_net.link_message import Hello
from pollenglade_net.memory_budget import MemoryBudget

RESPONSE_HEADERS: Headers = [(b"content-type", b"application/json"), (b"x-version", b"7")]
RESPONSE_BODY = b'{"status":"submitted","id":17,"documents":[1,2,3]}'
REQUEST = HttpRequest(
    "GET",
    b"/applications/17?view=short",
    [(b"accept", b"application/json"), (b"user-agent", b"portal/3.2"), (b"x-request-id", b"a81")],
)
ROUNDS = 8
WARM_UP_CALLS = 500


class _CompletedAttempt:
    def cancel(self) -> None:
        """Do nothing; the response has been sent."""

    def withdraw(self) -> bool:
        """Return False; the call has been run."""
        return False

    def credit(self, credit_bytes: int) -> None:
        """Do nothing; the response has been sent."""


class ImmediateResponder:
    """Link owner that responds to every call immediately."""

    def __init__(self, name: str) -> None:
        self.hello = Hello(name, 1, "zone-a")
        self.memory_budget = MemoryBudget()

    def run_call(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> Attempt:
        """Send the fixed response."""
        sink.on_response(200, RESPONSE_HEADERS, RESPONSE_BODY, Feedback(1))
        return _CompletedAttempt()

    def handle_query(self, topic: str, payload: object, answer: Callable[[object], None]) -> None:
        """Reply to a query with None."""
        answer(None)

    def is_member(self, link: Link) -> bool:
        """Return that the peer is known."""
        return True

    def on_link_accepted(self, link: Link) -> None:
        """Ignore the connection until its handshake."""

    def on_link_open(self, link: Link) -> None:
        """Ignore the event."""

    def on_link_drain(self, link: Link) -> None:
        """Ignore the event."""

    def on_link_closed(self, link: Link) -> None:
        """Ignore the event."""


class _FutureSink:
    def __init__(self) -> None:
        self.done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        self.done.set_result(body)

    def on_head(self, status: int, headers: Headers) -> None:
        raise AssertionError("the response is not streamed")

    def on_data(self, data: bytes) -> None:
        raise AssertionError("the response is not streamed")

    def on_end(self, feedback: Feedback) -> None:
        raise AssertionError("the response is not streamed")

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        self.done.set_exception(ConnectionError(refusal.detail))

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        self.done.set_exception(ConnectionError(refusal.detail))


def _new_context() -> CallContext:
    return CallContext(
        call_id="n1.abc.17",
        organisation="gallery-north",
        profile="residencies",
        service="open-calls",
        importance=Importance.NORMAL,
        deadline=monotonic() + 2.0,
        allowance=RetryAllowance(2),
        fingerprint="0123456789abcdef0123456789abcdef",
    )


def _text_pairs(headers: Headers) -> list[list[str]]:
    return [[name.decode("latin-1"), value.decode("latin-1")] for name, value in headers]


def _json_request(context: CallContext, request: HttpRequest, now: float) -> bytes:
    return orjson.dumps(
        {
            "call_id": context.call_id,
            "organisation": context.organisation,
            "profile": context.profile,
            "service": context.service,
            "importance": int(context.importance),
            "remaining_ms": int(context.remaining_s(now) * 1000),
            "allowance": context.allowance.remaining,
            "weight": context.weight,
            "depth": context.depth,
            "idempotent": context.idempotent,
            "fingerprint": context.fingerprint,
            "method": request.method,
            "target": request.target.decode("latin-1"),
            "headers": _text_pairs(request.headers),
            "body": base64.b64encode(request.body).decode(),
        }
    )


def _answer_json(exchange: Exchange) -> None:
    document = orjson.loads(exchange.request.body)
    assert document["headers"] and base64.b64decode(document["body"]) == b""
    body = orjson.dumps(
        {
            "status": 200,
            "headers": _text_pairs(RESPONSE_HEADERS),
            "body": base64.b64encode(RESPONSE_BODY).decode(),
            "unspent": 1,
        }
    )
    exchange.respond(200, [(b"content-type", b"application/json")], body)


async def _serve(pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    http = HttpServer(_answer_json)
    http_port = await http.start("127.0.0.1", 0)
    responder = ImmediateResponder("server")
    link = await loop.create_server(lambda: Link(responder), "127.0.0.1", 0)
    pipe.send((http_port, link.sockets[0].getsockname()[1]))
    while True:
        command = await loop.run_in_executor(None, pipe.recv)
        if command == "stop":
            return
        times = os.times()
        pipe.send(times.user + times.system)


def _server_process(pipe: Connection) -> None:
    uvloop.run(_serve(pipe))


Call = Callable[[], Awaitable[None]]


async def _http_call(client: HttpClient, address: Address) -> None:
    body = _json_request(_new_context(), REQUEST, monotonic())
    response = await client.request(address, "POST", "/call", body=body)
    assert not isinstance(response, HttpFailure)
    document = orjson.loads(response.body)
    assert base64.b64decode(document["body"]) == RESPONSE_BODY


async def _link_call(link: Link) -> None:
    sink = _FutureSink()
    link.call(_new_context(), REQUEST, sink)
    assert await sink.done == RESPONSE_BODY


async def _measure_latencies(call: Call, count: int, concurrent: int) -> list[float]:
    latencies: list[float] = []

    async def worker() -> None:
        for _ in range(count // concurrent):
            started_at = perf_counter()
            await call()
            latencies.append(perf_counter() - started_at)

    await asyncio.gather(*(worker() for _ in range(concurrent)))
    return latencies


class _Transport:
    """One transport with its latencies and processor times in seconds."""

    def __init__(self, name: str, call: Call) -> None:
        self.name = name
        self.call = call
        self.latencies: list[float] = []
        self.client_s = 0.0
        self.server_s = 0.0

    def row(self) -> dict[str, Any]:
        """Return quantiles and processor time per call in microseconds."""
        ordered = sorted(self.latencies)
        count = len(ordered)
        return {
            "way": self.name,
            "calls": count,
            "p50_us": round(statistics.median(ordered) * 1e6),
            "p90_us": round(ordered[int(count * 0.9)] * 1e6),
            "p99_us": round(ordered[int(count * 0.99)] * 1e6),
            "client_cpu_us": round(self.client_s / count * 1e6),
            "server_cpu_us": round(self.server_s / count * 1e6),
        }


async def _compare(pipe: Connection, calls: int, concurrent: int) -> list[dict[str, Any]]:
    loop = asyncio.get_running_loop()
    http_port, link_port = pipe.recv()
    client = HttpClient()
    address = Address("127.0.0.1", http_port)
    responder = ImmediateResponder("client")
    _, link = await loop.create_connection(lambda: Link(responder), "127.0.0.1", link_port)
    await link.ready
    transports = [
        _Transport("http-json", lambda: _http_call(client, address)),
        _Transport("msgpack-link", lambda: _link_call(link)),
    ]
    for transport in transports:
        await _measure_latencies(transport.call, WARM_UP_CALLS, concurrent)
    for _ in range(ROUNDS):
        for transport in transports:
            await _measure_round(transport, pipe, calls // ROUNDS, concurrent)
    await client.close()
    link.close("the measurement is over")
    return [transport.row() for transport in transports]


async def _measure_round(
    transport: _Transport, pipe: Connection, calls: int, concurrent: int
) -> None:
    pipe.send("time")
    server_before = pipe.recv()
    before = os.times()
    transport.latencies += await _measure_latencies(transport.call, calls, concurrent)
    after = os.times()
    pipe.send("time")
    transport.server_s += pipe.recv() - server_before
    transport.client_s += after.user + after.system - before.user - before.system


def link_comparison(
    calls: Annotated[int, typer.Option(help="Calls for each transport.")] = 16_000,
    concurrent: Annotated[int, typer.Option(help="Number of concurrent calls.")] = 1,
) -> None:
    """Compare HTTP with JSON to the msgpack link between two processes."""
    parent, child = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_server_process, args=(child,))
    process.start()
    try:
        rows = uvloop.run(_compare(parent, calls, concurrent))
    finally:
        parent.send("stop")
        process.join()
    typer.echo(json.dumps(rows, indent=2))
