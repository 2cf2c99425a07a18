"""Encoding of responses whose body is sent in parts."""

from __future__ import annotations

from .http_head import STATUSES_WITHOUT_BODY
from .http_head import ProtocolError
from .http_message import Headers
from .http_message import encode_message_head
from .http_message import status_line

FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


class StreamedResponse:
    """One response; its framing follows from the request, the status and the header fields.

    A body with a Content-Length is sent as it is, any other in chunks, or, to a caller of
    HTTP/1.0, until the connection closes.
    """

    def __init__(self, method: str, version: bytes, stays_open: bool) -> None:
        self._method = method
        self._accepts_chunks = version >= b"1.1"
        self._is_chunked = False
        self._missing_bytes: int | None = None
        self.stays_open = stays_open

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head; `headers` must be valid and have names in lower case."""
        fields = list(headers)
        if status not in STATUSES_WITHOUT_BODY:
            fields = self._frame(fields)
        if self._method == "HEAD" or status in STATUSES_WITHOUT_BODY:
            self._is_chunked, self._missing_bytes = False, 0
        closes = any(name == b"connection" and b"close" in value.lower() for name, value in fields)
        if closes:
            self.stays_open = False
        elif not self.stays_open:
            fields = [field for field in fields if field[0] != b"connection"]
            fields.append((b"connection", b"close"))
        return encode_message_head(status_line(status), fields)

    def _frame(self, fields: Headers) -> Headers:
        lengths = {value for name, value in fields if name == b"content-length"}
        is_chunked = any(name == b"transfer-encoding" for name, _ in fields)
        if lengths and not is_chunked:
            if len(lengths) > 1:
                raise ProtocolError("the Content-Length fields of the response differ")
            self._missing_bytes = int(lengths.pop())
            return fields
        fields = [field for field in fields if field[0] not in FRAMING_FIELDS]
        if self._accepts_chunks:
            self._is_chunked = True
            fields.append((b"transfer-encoding", b"chunked"))
        elif self._method != "HEAD":
            self.stays_open = False
        return fields

    def encode_data(self, data: bytes) -> bytes:
        """Encode a part of the body; raise ProtocolError if it exceeds the announced length."""
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        if self._missing_bytes is None:
            return data
        if len(data) > self._missing_bytes:
            raise ProtocolError("the body is longer than the Content-Length of the response")
        self._missing_bytes -= len(data)
        return data

    def encode_end(self) -> bytes:
        """Encode the end of the body; raise ProtocolError if a part of it is missing."""
        if self._is_chunked:
            return b"0\r\n\r\n"
        if self._missing_bytes:
            raise ProtocolError("the body is shorter than the Content-Length of the response")
        return b""
