"""Strict parsing and checking of the heads of HTTP/1.1 messages.

One compiled expression checks a complete head, so that splitting it into fields needs no further
checks. The differential tests compare it with h11, which refuses some proper messages.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from .http_message import Headers

CHUNKED = -1
"""Body length of a message in chunks."""

UNTIL_CLOSE = -2
"""Body length of a response that ends with its connection."""

MAX_LENGTH_DIGITS = 20

MAX_FIELDS = 32 * 1024
"""Largest number of fields of one head; fields of two bytes reach a limit of 64 KiB on its size."""

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]++"
_VALUE = rb"[^\x00\n\r\v\f]*+"
_FIELDS = rb"((?:%b:%b\r?\n)*+)\r?\n" % (_TOKEN, _VALUE)
_REQUEST_LINE = rb"(%b) ([\x21-\x7e]++) HTTP/([0-9]\.[0-9])\r?\n" % _TOKEN
_STATUS_LINE = rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: %b)?\r?\n" % _VALUE

REQUEST_PATTERN = re.compile(_REQUEST_LINE + _FIELDS)
REQUEST_LINE_PATTERN = re.compile(_REQUEST_LINE)
STATUS_PATTERN = re.compile(_STATUS_LINE + _FIELDS)
STATUS_LINE_PATTERN = re.compile(_STATUS_LINE)
TRAILERS_PATTERN = re.compile(_FIELDS)
TOKEN_PATTERN = re.compile(_TOKEN)
VALUE_PATTERN = re.compile(_VALUE)
TARGET_PATTERN = re.compile(rb"[\x21-\x7e]++")
FOLD_PATTERN = re.compile(rb"\r?\n[ \t]+")
LENGTH_PATTERN = re.compile(rb"0+|0*+[0-9]{1,%d}" % MAX_LENGTH_DIGITS)
ABSOLUTE_TARGET_PATTERN = re.compile(rb"(?i:https?)://([^/?#@]+)([/?][\x21-\x7e]*+)?")

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ProtocolError(Exception):
    """The peer, or this program, violated HTTP; `status` is the response to a bad request."""

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(slots=True)
class FieldSummary:
    """What the fields of one message say about its framing and its connection."""

    content_length: bytes | None = None
    is_chunked: bool = False
    hosts: int = 0
    connection_tokens: frozenset[bytes] = frozenset()
    expects_continue: bool = False
    proposes_upgrade: bool = False
    repeats_length: bool = False


@dataclass(slots=True)
class RequestHead:
    """Head of a request; `length` is that of its body, or CHUNKED."""

    method: bytes
    target: bytes
    version: bytes
    headers: Headers
    length: int
    stays_open: bool
    expects_continue: bool


@dataclass(slots=True)
class ResponseHead:
    """Head of a response; `length` is that of its body, CHUNKED or UNTIL_CLOSE."""

    status: int
    headers: Headers
    length: int
    stays_open: bool


def parse_request_head(head: bytes, max_field_bytes: int | None = None) -> RequestHead:
    """Parse a complete head, including its blank line; raise ProtocolError if it is malformed."""
    match = REQUEST_PATTERN.fullmatch(head) or _match_unfolded(
        head, REQUEST_LINE_PATTERN, REQUEST_PATTERN
    )
    if match is None:
        raise ProtocolError(_fault(head, REQUEST_LINE_PATTERN, "request line"))
    method, target, version, block = match.groups()
    headers, summary = _read_fields(block)
    if max_field_bytes is not None and len(block) > max_field_bytes:
        size = sum([len(name) + len(value) for name, value in headers])
        if size > max_field_bytes:
            raise ProtocolError(f"the head is larger than {max_field_bytes} bytes; send less", 431)
    check_host(summary.hosts, version)
    if not target.startswith(b"/"):
        absolute = ABSOLUTE_TARGET_PATTERN.fullmatch(target)
        if absolute is not None:
            target, headers = _to_origin_form(method, absolute, headers)
    if summary.is_chunked and summary.content_length is not None:
        # Conflicting framings allow request smuggling.
        raise ProtocolError("send either Content-Length or Transfer-Encoding, not both")
    length = CHUNKED if summary.is_chunked else int(summary.content_length or 0)
    stays_open = (
        version >= b"1.1"
        and b"close" not in summary.connection_tokens
        and not summary.proposes_upgrade
        and method != b"CONNECT"
    )
    expects_continue = summary.expects_continue and version >= b"1.1"
    return RequestHead(method, target, version, headers, length, stays_open, expects_continue)


def _to_origin_form(
    method: bytes, target: re.Match[bytes], headers: Headers
) -> tuple[bytes, Headers]:
    """Return the path and query of an absolute target, and the fields with its host.

    The host of the target applies whatever the Host field says (RFC 9112, section 3.2.2).
    """
    authority, path = target.groups()
    if path is None:
        path = b"*" if method == b"OPTIONS" else b"/"
    elif path.startswith(b"?"):
        path = b"/" + path
    others = [item for item in headers if item[0] != b"host"]
    return path, [(b"host", authority), *others]


def parse_response_head(head: bytes, method: str) -> ResponseHead:
    """Parse the complete head of a response to `method`; raise ProtocolError if malformed."""
    match = STATUS_PATTERN.fullmatch(head) or _match_unfolded(
        head, STATUS_LINE_PATTERN, STATUS_PATTERN
    )
    if match is None:
        raise ProtocolError(_fault(head, STATUS_LINE_PATTERN, "status line"))
    version, code, block = match.groups()
    status = int(code)
    headers, summary = _read_fields(block)
    if status < 100 or status == 101 or (method == "CONNECT" and 200 <= status < 300):
        raise ProtocolError(f"status {status} does not answer a {method} request")
    if status < 200 or status in STATUSES_WITHOUT_BODY or method == "HEAD":
        length = 0
    elif summary.is_chunked:
        length = CHUNKED
    else:
        length = UNTIL_CLOSE if summary.content_length is None else int(summary.content_length)
    stays_open = version >= b"1.1" and b"close" not in summary.connection_tokens
    return ResponseHead(status, headers, length, stays_open and length != UNTIL_CLOSE)


def is_final_status(status: int) -> bool:
    """Whether a number is the status of a final response."""
    return type(status) is int and 200 <= status <= 999


def check_trailers(block: bytes) -> None:
    """Raise ProtocolError if a complete trailer section is malformed."""
    if TRAILERS_PATTERN.fullmatch(block) is None:
        block = FOLD_PATTERN.sub(b" ", block)
        if TRAILERS_PATTERN.fullmatch(block) is None:
            raise ProtocolError("a trailer field is malformed")
    _read_fields(block)


def check_request(method: bytes, target: bytes, headers: Headers) -> bool:
    """Return whether the connection stays open after a request to be sent.

    Raises ProtocolError if the request is malformed or ambiguous.
    """
    if not TOKEN_PATTERN.fullmatch(method):
        raise ProtocolError(f"the method {method!r} is malformed; use a token")
    if not TARGET_PATTERN.fullmatch(target):
        raise ProtocolError(f"the target {target!r} is malformed; percent-encode it")
    hosts = 0
    lengths = set()
    connection_tokens: frozenset[bytes] = frozenset()
    for name, value in headers:
        if not TOKEN_PATTERN.fullmatch(name):
            raise ProtocolError(f"the field name {name!r} is malformed; use a token")
        if not VALUE_PATTERN.fullmatch(value) or value != value.strip(b" \t"):
            raise ProtocolError(f"the value of the field {name!r} is malformed")
        key = name.lower()
        hosts += key == b"host"
        if key == b"content-length":
            lengths.add(_content_length(value))
        elif key == b"transfer-encoding":
            raise ProtocolError("requests are sent with a known length; omit Transfer-Encoding")
        elif key == b"connection":
            connection_tokens |= _tokens(value)
    if len(lengths) > 1:
        raise ProtocolError("the Content-Length fields differ; pass only the body")
    check_host(hosts, b"1.1")
    return b"close" not in connection_tokens


def check_host(hosts: int, version: bytes) -> None:
    """Raise ProtocolError unless the number of Host fields suits the version."""
    if hosts == 1:
        return
    if hosts > 1:
        raise ProtocolError("the request has several Host fields; send one")
    if version == b"1.1":
        raise ProtocolError("the request has no Host field; send one")


def _match_unfolded(
    head: bytes, line_pattern: re.Pattern[bytes], pattern: re.Pattern[bytes]
) -> re.Match[bytes] | None:
    """Match a head after joining fields that continue on lines that start with a space."""
    line = line_pattern.match(head)
    if line is None or FOLD_PATTERN.search(head, line.end()) is None:
        return None
    return pattern.fullmatch(head[: line.end()] + FOLD_PATTERN.sub(b" ", head[line.end() :]))


def _fault(head: bytes, line_pattern: re.Pattern[bytes], line_name: str) -> str:
    if line_pattern.match(head) is None:
        return f"the {line_name} is malformed"
    return "a header field is malformed"


def _read_fields(block: bytes) -> tuple[Headers, FieldSummary]:
    """Split checked field lines, and summarise those that matter to the connection."""
    parts = [line.partition(b":") for line in block.split(b"\n")]
    parts.pop()
    if len(parts) > MAX_FIELDS:
        raise ProtocolError(f"a head has more than {MAX_FIELDS} fields; send fewer", 431)
    headers = [(name.lower(), value.strip()) for name, _, value in parts]
    value_by_name = dict(headers)
    if len(value_by_name) == len(headers) and _UNUSUAL_FIELDS.isdisjoint(value_by_name):
        length = value_by_name.get(b"content-length")
        if length is None:
            return headers, FieldSummary(hosts=b"host" in value_by_name)
        if length.isdigit() and len(length) <= MAX_LENGTH_DIGITS:
            return headers, FieldSummary(length, hosts=b"host" in value_by_name)
    return _read_unusual_fields(headers)


def _read_unusual_fields(fields: Headers) -> tuple[Headers, FieldSummary]:
    """Normalise and summarise fields of which some repeat or control the connection."""
    headers: Headers = []
    summary = FieldSummary()
    for name, value in fields:
        if name in _READER_BY_NAME:
            value = _READER_BY_NAME[name](summary, value)
            if summary.repeats_length:
                summary.repeats_length = False
                continue
        headers.append((name, value))
    return headers, summary


def _read_host(summary: FieldSummary, value: bytes) -> bytes:
    summary.hosts += 1
    return value


def _content_length(value: bytes) -> bytes:
    values = {part.strip() for part in value.split(b",")}
    if len(values) != 1:
        raise ProtocolError("the Content-Length fields differ; send one")
    digits = values.pop()
    if LENGTH_PATTERN.fullmatch(digits) is None:
        raise ProtocolError("the Content-Length is not a number; send the length in bytes")
    return digits


def _read_content_length(summary: FieldSummary, value: bytes) -> bytes:
    digits = _content_length(value)
    if summary.content_length is not None:
        if summary.content_length != digits:
            raise ProtocolError("the Content-Length fields differ; send one")
        summary.repeats_length = True
    summary.content_length = digits
    return digits


def _read_transfer_encoding(summary: FieldSummary, value: bytes) -> bytes:
    if summary.is_chunked:
        raise ProtocolError("the message has several Transfer-Encoding fields; send one", 501)
    # Empty list elements have no meaning.
    if _tokens(value) - {b""} != {b"chunked"} or value.lower().count(b"chunked") > 1:
        raise ProtocolError("the only supported Transfer-Encoding is chunked", 501)
    summary.is_chunked = True
    return b"chunked"


def _tokens(value: bytes) -> frozenset[bytes]:
    return frozenset(token.strip() for token in value.lower().split(b","))


def _read_connection(summary: FieldSummary, value: bytes) -> bytes:
    summary.connection_tokens |= _tokens(value)
    return value


def _read_expect(summary: FieldSummary, value: bytes) -> bytes:
    summary.expects_continue |= b"100-continue" in _tokens(value)
    return value


def _read_upgrade(summary: FieldSummary, value: bytes) -> bytes:
    summary.proposes_upgrade |= bool(_tokens(value) - {b""})
    return value


_READER_BY_NAME = {
    b"host": _read_host,
    b"content-length": _read_content_length,
    b"transfer-encoding": _read_transfer_encoding,
    b"connection": _read_connection,
    b"expect": _read_expect,
    b"upgrade": _read_upgrade,
}
_UNUSUAL_FIELDS = frozenset(_READER_BY_NAME) - {b"host", b"content-length"}
