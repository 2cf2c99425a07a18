"""Guards against messages that the readers accept or understand differently from h11.

h11 refuses some proper messages: empty lines before a request (RFC 9112, section 2.2), space before
a chunk extension and any number of zeros before a chunk size (7.1), zeros before a length (RFC
9110, section 8.6), and empty elements beside a transfer coding (5.6.1). `rfc_h11` takes the first
four, and `test_proper_spellings_are_read` says what they mean.
"""

from __future__ import annotations

import re
import unittest
import unittest.mock
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise

import h11
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_net.http_head import ProtocolError
from pollenglade_net.http_head import RequestHead
from pollenglade_net.http_head import check_request
from pollenglade_net.http_message import MAX_HEAD_BYTES
from pollenglade_net.http_message import Headers
from pollenglade_net.message_reader import RequestReader
from pollenglade_net.message_reader import ResponseReader

MAX_EXAMPLES = max(1_500, settings().max_examples)

REQUEST_LINES = [
    b"GET / HTTP/1.1",
    b"POST /a?b=c HTTP/1.1",
    b"HEAD * HTTP/1.0",
    b"PURGE-IT x HTTP/1.1",
    b"CONNECT a:1 HTTP/1.1",
    b"GET  / HTTP/1.1",
    b"GET / HTTP/1.1 ",
    b" GET / HTTP/1.1",
    b"GET /\x80 HTTP/1.1",
    b"GET / HTTP/2.0",
    b"GET / http/1.1",
    b"GET /",
    b"G@T / HTTP/1.1",
    b"",
]
STATUS_LINES = [
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200",
    b"HTTP/1.0 200 Fine",
    b"HTTP/1.1 404 \xff\x01",
    b"HTTP/1.1 204 ",
    b"HTTP/1.1 304 Not Modified",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 2000 Long",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"",
]
LENGTHS = [b"5", b" 5", b" 3", b" 5, 5", b" 5, 3", b" 05", b" +5", b" ", b"0" * 20 + b"5"]
CODINGS = [b" chunked", b" CHUNKED", b" gzip, chunked", b" identity", b"\x0bchunked"]
VALUES = [b" \t a \t b \t ", b" \x00", b" a\rb", b" \x7f", b" \x01\xff", b""]
FIELD_LINES = [
    *[b"Content-Length:" + length for length in LENGTHS],
    *[b"Transfer-Encoding:" + coding for coding in CODINGS],
    *[b"X:" + value for value in VALUES],
    b"Host: a",
    b"host:b",
    b"Host : a",
    b"Transfer-Encoding : chunked",
    b"Connection: close",
    b"Connection: keep-alive, CLOSE",
    b"Upgrade: h2c",
    b"Expect: 100-continue",
    b": a",
    b"X\xff: a",
    b"no colon",
    b" folded",
    b"\t",
]
BODIES = [
    b"",
    b"abcde",
    b"abc",
    b"5\r\nabcde\r\n0\r\n\r\n",
    b'05;x="y"\r\nabcde\r\n0\r\nT: 1\r\n\r\n',
    b"5 \r\nabcde\r\n0\r\n\r\n",
    b"5 ;x\r\nabcde\r\n0\r\n\r\n",
    b"5;\nx\r\nabcde\r\n0\r\n\r\n",
    b"5\nabcde\n0\n\n",
    b"5\r\nabcdeXX0\r\n\r\n",
    b"0x5\r\nabcde\r\n0\r\n\r\n",
    b"-5\r\nabcde\r\n0\r\n\r\n",
    b"f" * 21 + b"\r\n",
    b"0\r\nT : 1\r\n\r\n",
    b"0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    b"0\r\n\n",
    b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
]
NEXT_REQUEST = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"


@dataclass
class Reading:
    """Messages that were read completely, and whether the bytes after them were refused."""

    messages: list[tuple[object, ...]] = field(default_factory=list)
    refused: bool = False


def lower_case(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the fields of h11 as a plain list."""
    return [(bytes(name), bytes(value)) for name, value in headers]


EMPTY_LINES_PATTERN = re.compile(rb"(?:\r?\n)+")
CHUNK_HEADER_PATTERN = re.compile(
    rb"(?P<chunk_size>0*+[0-9A-Fa-f]{1,20}|0+)(?P<chunk_ext>[ \t]*;.*)?[ \t]*\r\n"
)


@contextmanager
def rfc_h11() -> Iterator[None]:
    """Let h11 take proper chunk sizes and lengths that it refuses."""
    with (
        unittest.mock.patch("h11._readers.chunk_header_re", CHUNK_HEADER_PATTERN),
        unittest.mock.patch("h11._headers.CONTENT_LENGTH_MAX_DIGITS", 100),
    ):
        yield


def without_empty_lines(data: bytes) -> bytes:
    """Remove empty lines, and the first byte of one, from the start of a request."""
    match = EMPTY_LINES_PATTERN.match(data)
    rest = data[match.end() :] if match is not None else data
    return b"" if rest == b"\r" else rest


@rfc_h11()
def judge_requests(pieces: list[bytes]) -> Reading:
    """Read requests with h11; the server also refuses two framings in one request."""
    reading = Reading()
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    head, body = h11.Request(method="GET", target="/", headers=[("host", "a")]), b""
    first_bytes = without_empty_lines(b"".join(pieces))
    for piece in [first_bytes] if first_bytes else []:
        parser.receive_data(piece)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                reading.refused = True
                return reading
            if isinstance(event, h11.Request):
                head, body = event, b""
                names = {name for name, _ in head.headers}
                if {b"content-length", b"transfer-encoding"} <= names:
                    reading.refused = True
                    return reading
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                message = (head.method, head.target, lower_case(head.headers), body)
                reading.messages.append(message)
                if parser.their_state is not h11.DONE:
                    return reading
                trailing_bytes = without_empty_lines(parser.trailing_data[0])
                parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
                if trailing_bytes:
                    parser.receive_data(trailing_bytes)
            else:
                break
    return reading


def read_requests(pieces: list[bytes]) -> Reading:
    """Read requests with the reader of the server."""
    reading = Reading()
    reader = RequestReader()
    head, body = RequestHead(b"", b"", b"", [], 0, True, False), b""
    for piece in pieces:
        reader.receive(piece)
        while True:
            try:
                event = reader.next_event()
            except ProtocolError:
                reading.refused = True
                return reading
            if event is None:
                break
            if isinstance(event, RequestHead):
                head, body = event, b""
            else:
                body += event
            if reader.is_message_complete:
                reading.messages.append((head.method, head.target, head.headers, body))
                if not head.stays_open:
                    return reading
                reader.start_next()
    return reading


@rfc_h11()
def judge_response(pieces: list[bytes], method: str) -> tuple[object, ...] | None:
    """Return the complete response that h11 reads, or None."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(h11.Request(method=method, target="/", headers=[("host", "a")]))
    parser.send(h11.EndOfMessage())
    head, body = h11.Response(status_code=200, headers=[]), b""
    for piece in [*pieces, b""]:
        parser.receive_data(piece)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                return None
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                reusable = parser.their_state is h11.DONE and bool(piece)
                return head.status_code, lower_case(head.headers), body, reusable
            elif not isinstance(event, h11.InformationalResponse):
                break
    return None


def read_response(pieces: list[bytes], method: str) -> tuple[object, ...] | None:
    """Return the complete response that the reader of the client reads, or None."""
    reader = ResponseReader()
    reader.method = method
    body = b""
    head = None
    for piece in [*pieces, b""]:
        if piece:
            reader.receive(piece)
        else:
            reader.receive_eof()
        while True:
            try:
                event = reader.next_event()
            except ProtocolError:
                return None
            if event is None:
                break
            if isinstance(event, bytes):
                body += event
            elif event.status >= 200:
                head = event
            if reader.is_message_complete:
                assert head is not None
                return head.status, head.headers, body, head.stays_open
    return None


def splits(data: bytes) -> Iterator[list[bytes]]:
    """Yield the data whole, split in two at every position, and byte by byte."""
    yield [data]
    for position in range(1, len(data)):
        yield [data[:position], data[position:]]
    yield [data[position : position + 1] for position in range(len(data))]


@st.composite
def messages(draw: st.DrawFn, first_lines: list[bytes]) -> bytes:
    """Draw a message of usual and unusual parts, sometimes with an altered byte."""
    likely = st.sampled_from(first_lines[:3])
    line_ends = st.sampled_from([b"\r\n"] * 8 + [b"\n", b"\r\r\n", b"\r"])
    lines = [draw(likely | st.sampled_from(first_lines))]
    lines += draw(st.lists(st.sampled_from(FIELD_LINES), max_size=4))
    if draw(st.booleans()):
        lines.insert(1, b"Host: a")
    lines.append(b"")
    data = b"".join(line + draw(line_ends) for line in lines) + draw(st.sampled_from(BODIES))
    if draw(st.integers(0, 3)) == 0 and data:
        position = draw(st.integers(0, len(data) - 1))
        data = data[:position] + draw(st.binary(max_size=2)) + data[position + 1 :]
    return data


@st.composite
def pieces_of(draw: st.DrawFn, data: st.SearchStrategy[bytes]) -> list[bytes]:
    """Draw data and cut it at up to three positions."""
    whole = draw(data)
    cuts = sorted(draw(st.lists(st.integers(0, len(whole)), max_size=3)))
    bounds = [0, *cuts, len(whole)]
    parts = [whole[start:end] for start, end in pairwise(bounds)]
    return [part for part in parts if part]


class RequestDifferenceTest(unittest.TestCase):
    @given(pieces_of(messages(REQUEST_LINES)), st.sampled_from([b"", NEXT_REQUEST]))
    @settings(max_examples=MAX_EXAMPLES)
    def test_requests_are_read_as_by_h11(self, pieces: list[bytes], following: bytes) -> None:
        """A request that one hop refuses or reads differently can be smuggled past it."""
        pieces = [*pieces, following] if following else pieces
        self.assertEqual(judge_requests(pieces), read_requests(pieces))

    def test_proper_spellings_are_read(self) -> None:
        """Clients got 400 for proper requests (rule DENIED)."""
        head = b"POST /a HTTP/1.1\r\nHost: a\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = [
            b"\r\n\n" + head + b"Content-Length: 2\r\n\r\nok",
            chunked + b"2 \t;a = b\r\nok\r\n0 ;c\r\n\r\n",
            chunked + b"0" * 40 + b"2\r\nok\r\n" + b"0" * 40 + b"\r\n\r\n",
            head + b"Content-Length: " + b"0" * 40 + b"2\r\n\r\nok",
            head + b"Transfer-Encoding: , chunked ,\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        ]
        for data in cases:
            for pieces in splits(data + b"\r\n" + NEXT_REQUEST):
                reading = read_requests(pieces)
                self.assertFalse(reading.refused, pieces)
                self.assertEqual([b"ok", b""], [message[3] for message in reading.messages])

    def test_an_empty_line_precedes_a_response(self) -> None:
        """Such bytes belong to no response."""
        self.assertIsNone(read_response([b"\r\nHTTP/1.1 204 A\r\n\r\n"], "GET"))

    def test_absolute_targets_are_read(self) -> None:
        """Their host replaces the Host field (RFC 9112, section 3.2.2)."""
        cases = {
            b"GET http://b/c?d": (b"/c?d", b"b"),
            b"GET HTTPS://B:80": (b"/", b"B:80"),
            b"GET http://b?d": (b"/?d", b"b"),
            b"OPTIONS http://b": (b"*", b"b"),
            b"GET ftp://b/c": (b"ftp://b/c", b"a"),
            b"GET http://b@c/d": (b"http://b@c/d", b"a"),
        }
        for line, (target, host) in cases.items():
            message = read_requests([line + b" HTTP/1.1\r\nX: y\r\nHost: a\r\n\r\n"]).messages[0]
            self.assertEqual(
                (target, [(b"host", host)]),
                (
                    message[1],
                    [
                        item for item in message[2] if item[0] == b"host"  # type: ignore[attr-defined]
                    ],
                ),
            )

    def test_requests_are_read_alike_however_they_are_split(self) -> None:
        """A token that arrives in two pieces must not be lost or read twice."""
        post = b"POST /a HTTP/1.1\r\nHost: a\r\nX: y\r\n"
        cases = [
            NEXT_REQUEST * 2,
            post + b"Content-Length: 5\r\n\r\nabcde" + NEXT_REQUEST,
            post + b"Transfer-Encoding: chunked\r\n\r\n" + BODIES[3] + NEXT_REQUEST,
            post + b"Transfer-Encoding: chunked\r\n\r\n" + BODIES[4] + NEXT_REQUEST,
            post.replace(b"\r\n", b"\n") + b"Content-Length: 1\n\nx" + NEXT_REQUEST,
        ]
        for data in cases:
            expected = judge_requests([data])
            self.assertEqual(2, len(expected.messages))
            for pieces in splits(data):
                self.assertEqual(expected, read_requests(pieces), pieces)

    def test_endless_parts_of_a_request_are_refused(self) -> None:
        """A caller must not fill the memory with a part that never ends."""
        post = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "target": (b"GET /", b"a"),
            "head": (b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
            "chunk size": (post, b"0"),
            "chunk extension": (post + b"5;", b"x "),
            "trailers": (post + b"0\r\n", b"a: b\r\n"),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name):
                pieces = [start, *([repeated * 100] * (2 * MAX_HEAD_BYTES // 100))]
                self.assertTrue(judge_requests(pieces).refused)
                self.assertTrue(read_requests(pieces).refused)

    def test_a_complete_head_above_the_limit_is_refused(self) -> None:
        """A head that arrives at once must obey the same limit as one in pieces."""
        head = b"GET / HTTP/1.1\r\nHost: a\r\nx: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n"
        self.assertTrue(read_requests([head]).refused)


class ResponseDifferenceTest(unittest.TestCase):
    @given(pieces_of(messages(STATUS_LINES)), st.sampled_from(["GET", "HEAD", "POST"]))
    @settings(max_examples=MAX_EXAMPLES)
    def test_responses_are_read_as_by_h11(self, pieces: list[bytes], method: str) -> None:
        """An incomplete response must not pass for a complete one, nor the reverse."""
        self.assertEqual(judge_response(pieces, method), read_response(pieces, method))

    def test_responses_are_read_alike_however_they_are_split(self) -> None:
        """The end of a response must not depend on how its bytes arrive."""
        head = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n"
        cases = [
            head + b"Content-Length: 5\r\n\r\nabcde",
            head + b"Transfer-Encoding: chunked\r\n\r\n" + BODIES[4],
            head + b"\r\nuntil the close",
        ]
        for data in cases:
            expected = judge_response([data], "GET")
            self.assertIsNotNone(expected)
            for pieces in splits(data):
                self.assertEqual(expected, read_response(pieces, "GET"), pieces)


class SentRequestTest(unittest.TestCase):
    @given(
        st.sampled_from([b"GET", b"G T", b"PURGE", b"", b"G\n"]),
        st.sampled_from([b"/", b"/ a", b"", b"/\r\n", b"/\x80"]),
        st.lists(st.sampled_from([line for line in FIELD_LINES if b":" in line]), max_size=3),
    )
    @settings(max_examples=MAX_EXAMPLES)
    def test_requests_that_h11_does_not_send_are_not_sent(
        self, method: bytes, target: bytes, lines: list[bytes]
    ) -> None:
        """Unchecked fields of a caller could inject another request."""
        parts = [line.partition(b":") for line in lines]
        fields = [(name, value.strip(b" ")) for name, _, value in parts]
        try:
            h11.Request(method=method, target=target, headers=fields)
        except h11.LocalProtocolError:
            with self.assertRaises(ProtocolError):
                check_request(method, target, fields)
