"""Guards against requests and responses that are mixed up, split or accepted with two framings."""

from __future__ import annotations

import asyncio
import re
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.client_connection import ClientConnection
from pollenglade_net.client_connection import ConnectionPool
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import MAX_BODY_BYTES
from pollenglade_net.http_message import FailureReason
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.http_server import HttpServer

READ_LIMIT_S = 5.0


async def echo(request: HttpRequest) -> HttpResponse:
    """Answer with the target and the body of the request."""
    return HttpResponse(200, [(b"x-target", request.target)], request.target + b"|" + request.body)


async def start_echo(case: unittest.IsolatedAsyncioTestCase) -> Address:
    """Start an echo server that closes with the test case."""
    server = HttpServer(async_handler(echo))
    port = await server.start("127.0.0.1", 0)
    case.addAsyncCleanup(server.close)
    return Address("127.0.0.1", port)


async def send_raw(address: Address, data: bytes) -> bytes:
    """Send bytes, close the sending side and return everything that comes back."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            return await reader.read()
    finally:
        writer.close()


class HttpExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_responses_belong_to_their_requests(self) -> None:
        """Pooled connections must not hand a response to another request."""
        address = await start_echo(self)
        client = HttpClient()
        self.addAsyncCleanup(client.close)
        bodies = [b"%d" % number * (number + 1) for number in range(60)]
        for _ in range(3):
            responses = await asyncio.gather(
                *(client.request(address, "POST", f"/{len(b)}", body=b) for b in bodies)
            )
            for body, response in zip(bodies, responses, strict=True):
                assert isinstance(response, HttpResponse)
                self.assertEqual(b"/%d|" % len(body) + body, response.body)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        """A pipelined request must wait for the response to the one before it."""
        address = await start_echo(self)
        parts = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number for number in range(20)]
        received = await send_raw(address, b"".join(parts))
        positions = [received.find(b"/%d|" % number) for number in range(20)]
        self.assertEqual(sorted(positions), positions)
        self.assertNotIn(-1, positions)

    async def test_connections_without_bodies_go_on_or_end_as_the_caller_asks(self) -> None:
        """A request whose end is not awaited must not change what becomes of its connection."""
        address = await start_echo(self)
        last = b"GET /last HTTP/1.1\r\nhost: a\r\n\r\n"
        cases = {
            b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n": True,
            b"HEAD /a HTTP/1.1\r\nhost: a\r\n\r\n": True,
            b"GET /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab": True,
            b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n": False,
            b"GET /a HTTP/1.0\r\nhost: a\r\n\r\n": False,
        }
        for first, goes_on in cases.items():
            with self.subTest(first):
                received = await send_raw(address, first + last)
                self.assertIn(b"x-target: /a", received)
                self.assertEqual(goes_on, b"x-target: /last" in received)

    async def test_connection_goes_on_after_a_streamed_response(self) -> None:
        """A response in parts must not leave the request before it half read."""

        def stream(exchange: Exchange) -> None:
            exchange.start(200, [(b"transfer-encoding", b"chunked")])
            exchange.write(exchange.request.target)
            exchange.end()

        server = HttpServer(stream)
        port = await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        parts = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number for number in range(3)]
        received = await send_raw(Address("127.0.0.1", port), b"".join(parts))
        self.assertEqual([b"/0", b"/1", b"/2"], re.findall(rb"\r\n(/\d)\r\n", received))

    async def test_a_draining_server_ends_a_connection_after_an_immediate_response(self) -> None:
        """The rest of the request must not be taken for another one once the response is out."""
        problems: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context["exception"]))
        targets: list[bytes] = []

        def refuse(exchange: Exchange) -> None:
            targets.append(exchange.request.target)
            exchange.respond(503, [], b"")

        server = HttpServer(refuse)
        port = await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        server.drain()
        parts = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number for number in range(2)]
        received = await send_raw(Address("127.0.0.1", port), b"".join(parts))
        self.assertIn(b"connection: close", received)
        self.assertEqual(([b"/0"], []), (targets, problems))

    async def test_timeout_cancels_the_work_of_the_server(self) -> None:
        """Work for a call that was given up occupies a slot and is wasted."""
        cancelled = asyncio.Event()

        async def never(request: HttpRequest) -> HttpResponse:
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
            return HttpResponse(200, [], b"")

        server = HttpServer(async_handler(never))
        port = await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.close)
        client = HttpClient()
        self.addAsyncCleanup(client.close)
        response = await client.request(Address("127.0.0.1", port), "GET", "/", timeout_s=0.1)
        self.assertIsInstance(response, HttpFailure)
        async with asyncio.timeout(READ_LIMIT_S):
            await cancelled.wait()

    async def test_cancelled_request_leaves_the_next_one_on_its_connection_alone(self) -> None:
        """A request cancelled just as its response ends must not take the next one's response."""
        address = await start_echo(self)
        requests: list[asyncio.Task[HttpResponse | HttpFailure]] = []

        class Pool(ConnectionPool):
            """Starts the next request and cancels the first as its connection comes back."""

            def give_back(self, connection: ClientConnection) -> None:
                super().give_back(connection)
                if len(requests) == 1:
                    requests.append(asyncio.create_task(client.request(address, "GET", "/next")))
                    requests[0].cancel()

        client = HttpClient(Pool())
        self.addAsyncCleanup(client.close)
        requests.append(asyncio.create_task(client.request(address, "GET", "/first")))
        await asyncio.wait(requests)
        async with asyncio.timeout(READ_LIMIT_S):
            response = await requests[1]
        assert isinstance(response, HttpResponse), response
        self.assertEqual(b"/next|", response.body)

    async def test_truncated_response_is_a_failure(self) -> None:
        """A body that ends before its length must never be taken for a whole response."""

        async def truncate(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
            writer.close()

        server = await asyncio.start_server(truncate, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient()
        self.addAsyncCleanup(client.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        result = await client.request(address, "GET", "/")
        assert isinstance(result, HttpFailure)
        self.assertTrue(result.sent)

    async def test_refused_connection_sent_nothing(self) -> None:
        """A refused connection must be told apart from a request that may have run."""
        client = HttpClient()
        self.addAsyncCleanup(client.close)
        result = await client.request(Address("127.0.0.1", 1), "GET", "/")
        self.assertEqual((FailureReason.CONNECT, False), (result.reason, result.sent))  # type: ignore[union-attr]


class MalformedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_bad_framing_is_refused(self) -> None:
        """Ambiguous or oversized requests must get an error and reach no handler."""
        address = await start_echo(self)
        head = b"POST /x HTTP/1.1\r\nhost: a\r\n"
        chunked = b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        cases = {
            "two framings": head + b"content-length: 3\r\n" + chunked,
            "two lengths": head + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc",
            "long head": head + b"x: " + b"a" * 40_000 + b"\r\n\r\n",
            "no request line": b"hello there\r\n\r\n",
            "large body": head
            + b"content-length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
            + b"a" * (MAX_BODY_BYTES + 1),
        }
        for name, data in cases.items():
            with self.subTest(name):
                received = await send_raw(address, data)
                self.assertRegex(received, rb"^HTTP/1.1 4\d\d ")
                self.assertIn(b"pollenglade-outcome: not-run", received)


class RandomBytesTest(unittest.TestCase):
    @given(st.binary(max_size=300))
    @settings(max_examples=40)
    def test_random_bytes_leave_the_server_usable(self, data: bytes) -> None:
        """Malformed input on one connection must not disturb others."""

        async def session() -> HttpResponse | HttpFailure:
            server = HttpServer(async_handler(echo))
            address = Address("127.0.0.1", await server.start("127.0.0.1", 0))
            client = HttpClient()
            try:
                await send_raw(address, data)
                return await client.request(address, "GET", "/still-here")
            finally:
                await client.close()
                await server.close()

        response = asyncio.run(session())
        assert isinstance(response, HttpResponse)
        self.assertEqual(200, response.status)


class HeaderFilterTest(unittest.TestCase):
    def test_fields_named_by_connection_are_dropped(self) -> None:
        """A field that Connection names belongs to one hop."""
        fields = [(b"connection", b"X-Secret, close"), (b"x-secret", b"1"), (b"accept", b"*/*")]
        self.assertEqual([(b"accept", b"*/*")], end_to_end_headers(fields))
