"""Messages shared by the HTTP server and the HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from http import HTTPStatus

import orjson

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, with names in lower case."""

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024

MAX_EVENTS_PER_TURN = 64
"""Number of parsed events after which the event loop gets its turn; they take about 1 ms."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class FailureReason(StrEnum):
    """Why an HTTP request received no complete response."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    PROTOCOL = "protocol"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Failure of a request that received no complete response.

    `sent` is False only if no byte of the request was passed to the operating system.
    """

    reason: FailureReason
    sent: bool
    detail: str = ""


@dataclass(slots=True)
class HttpRequest:
    """A request with its complete body, which is not changed."""

    method: str
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def header_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header field by its lower-case name."""
        return [value for key, value in self.headers if key == name]


@dataclass(slots=True)
class HttpResponse:
    """A response with its complete body."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def json(self) -> object:
        """Decode the body; raise ValueError if it is not JSON."""
        return orjson.loads(self.body)


_STATUS_LINE_BY_CODE = {
    int(status): b"HTTP/1.1 %d %b\r\n" % (int(status), status.phrase.encode())
    for status in HTTPStatus
}


def encode_message_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode the head of a message; the fields must be valid."""
    parts = [first_line]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def status_line(status: int) -> bytes:
    """Return the encoded status line of a response."""
    line = _STATUS_LINE_BY_CODE.get(status)
    return line if line is not None else b"HTTP/1.1 %d \r\n" % status


def json_response(status: int, document: object, headers: Headers | None = None) -> HttpResponse:
    """Return a response with a JSON body."""
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return HttpResponse(status, fields, orjson.dumps(document))


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the header fields that may be forwarded.

    Drops hop-by-hop fields and the fields that `Connection` lists, because they apply to one
    connection only and could hide a field from the filter of the next hop.
    """
    connection_tokens = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    if not connection_tokens:
        return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
    return [
        item
        for item in headers
        if item[0] not in HOP_BY_HOP_HEADERS and item[0] not in connection_tokens
    ]
