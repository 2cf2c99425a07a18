"""Messages shared by the HTTP server and the HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from http import HTTPStatus

import h11
import orjson
from h11._headers import Headers as H11Headers

Headers = list[tuple[bytes, bytes]]
"""Header fields in order; names are lower case."""

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024

HOP_BY_HOP = frozenset(
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
    """Why an HTTP request got no whole response."""

    CONNECT = "connect"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    PROTOCOL = "protocol"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request without a whole response.

    `sent` is False only where no byte of the request was handed to the operating system.
    """

    reason: FailureReason
    sent: bool
    detail: str = ""


@dataclass(slots=True)
class HttpRequest:
    """A request whose body has arrived completely."""

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""

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
    """A whole response."""

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
        """Decode the body; raise ValueError where it is not JSON."""
        return orjson.loads(self.body)


END_OF_MESSAGE = h11.EndOfMessage()
"""Shared by all messages; building one validates its empty list of trailers each time."""


_STATUS_LINES = {
    int(status): b"HTTP/1.1 %d %b\r\n" % (int(status), status.phrase.encode())
    for status in HTTPStatus
}


def valid_headers(headers: Headers) -> H11Headers:
    """Wrap fields that h11 has parsed before or that this program wrote itself.

    h11 validates a plain list field by field, which costs more than sending it. Fields that come
    from elsewhere must be passed as a plain list.
    """
    return H11Headers([(name, name, value) for name, value in headers])


def fields_of(headers: H11Headers) -> Headers:
    """Return the fields that h11 has parsed, with lower-case names.

    Iterating over the headers of h11 costs several times as much.
    """
    return [(name.lower(), value) for name, value in headers.raw_items()]


def encode_fields(first_line: bytes, headers: Headers) -> bytes:
    """Return the head of a message from fields that h11 has parsed or that are constants."""
    parts = [first_line]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    line = _STATUS_LINES.get(status)
    return line if line is not None else b"HTTP/1.1 %d \r\n" % status


def json_response(status: int, document: object, headers: Headers | None = None) -> HttpResponse:
    """Return a response with a JSON body."""
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return HttpResponse(status, fields, orjson.dumps(document))


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the fields that may be forwarded.

    Hop-by-hop fields and those that `Connection` names are dropped, because they describe one
    connection and can hide a field from the filter of the next hop.
    """
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    if not named:
        return [item for item in headers if item[0] not in HOP_BY_HOP]
    return [item for item in headers if item[0] not in HOP_BY_HOP and item[0] not in named]
