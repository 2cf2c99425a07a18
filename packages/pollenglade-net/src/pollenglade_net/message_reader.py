"""Incremental readers of HTTP/1.1 messages that arrive in arbitrary pieces."""

from __future__ import annotations

import re
from enum import Enum
from typing import Generic
from typing import TypeVar

from .http_head import CHUNKED
from .http_head import ProtocolError
from .http_head import RequestHead
from .http_head import ResponseHead
from .http_head import check_trailers
from .http_head import parse_request_head
from .http_head import parse_response_head
from .http_message import MAX_HEAD_BYTES

HEAD_END_PATTERN = re.compile(rb"\n\r?\n")
CHUNK_SIZE_PATTERN = re.compile(rb"0*+([0-9A-Fa-f]{1,20})|0+")
EMPTY_LINES_PATTERN = re.compile(rb"(?:\r?\n)+")

HEAD_OVERHEAD_BYTES = 12 * 1024
"""Size of a request line and of what separates fields, beyond the names and values that the limit
on a head counts; RFC 9112 (section 3) recommends lines of at least 8,000 bytes."""

Head = TypeVar("Head", RequestHead, ResponseHead)


class _State(Enum):
    HEAD = "head"
    BODY = "body"
    CHUNK_HEAD = "chunk-head"
    CHUNK_DATA = "chunk-data"
    CHUNK_END = "chunk-end"
    TRAILERS = "trailers"
    UNTIL_CLOSE = "until-close"
    DONE = "done"


class MessageReader(Generic[Head]):
    """Reads one message after the other; stops after each until `start_next` is called.

    An incomplete head, chunk head or trailer section may have `max_incomplete_bytes`.
    """

    def __init__(self, max_incomplete_bytes: int = MAX_HEAD_BYTES) -> None:
        self._max_incomplete_bytes = max_incomplete_bytes
        self._buffer = b""
        self._position = 0
        self._searched = 0
        self._state = _State.HEAD
        self._remaining_bytes = 0
        self._received_eof = False
        self.head_bytes = 0
        """Size of the latest head."""

    @property
    def pending_bytes(self) -> int:
        """Number of received bytes that have not been read."""
        return len(self._buffer) - self._position

    @property
    def is_message_complete(self) -> bool:
        """Whether the message has been read to its end."""
        return self._state is _State.DONE

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        if self._position:
            self._buffer = self._buffer[self._position :]
            self._searched = max(0, self._searched - self._position)
            self._position = 0
        self._buffer = self._buffer + data if self._buffer else data

    def discard(self) -> None:
        """Drop all bytes that have not been read."""
        self._advance(len(self._buffer))

    def receive_eof(self) -> None:
        """Note that no further bytes will arrive."""
        self._received_eof = True

    def start_next(self) -> None:
        """Read the next message from the bytes that follow."""
        self._state = _State.HEAD

    def next_event(self) -> Head | bytes | None:
        """Return a head or a part of the body, or None if more bytes are needed.

        Each event may complete the message. The part that ends a body can be empty. Raises
        ProtocolError if the message is malformed.
        """
        if self._state is _State.HEAD:
            return self._read_head()
        if self._state is _State.BODY:
            return self._read_body()
        if self._state is _State.DONE:
            return None
        if self._state is _State.UNTIL_CLOSE:
            return self._read_until_close()
        return self._read_chunked()

    def _parse_head(self, head: bytes) -> Head:
        raise NotImplementedError

    def _end_of_fields(self) -> int:
        """Return the position after the blank line that ends fields, or -1."""
        buffer, position = self._buffer, self._position
        if buffer.startswith((b"\r\n", b"\n"), position):
            return buffer.index(b"\n", position) + 1
        match = HEAD_END_PATTERN.search(buffer, max(position, self._searched - 2))
        if match is not None:
            return match.end()
        self._searched = len(buffer)
        return -1

    def _starts_malformed(self) -> bool:
        """Whether the bytes of an incomplete head cannot begin a message."""
        return self.pending_bytes > 0 and self._buffer[self._position] < 0x21

    def _skip_empty_lines(self) -> None:
        """Advance to the first line of the next message, if empty lines may precede it."""

    def _read_head(self) -> Head | None:
        self._skip_empty_lines()
        end = self._end_of_fields()
        if end < 0:
            if self._starts_malformed():
                raise ProtocolError("the first line starts with a control character or a space")
            self._check_incomplete()
            return None
        buffer, position = self._buffer, self._position
        self.head_bytes = end - position
        head = self._parse_head(buffer[position:end])
        self._advance(end)
        self._begin_body(head)
        return head

    def _begin_body(self, head: Head) -> None:
        length = self._remaining_bytes = head.length
        if length > 0:
            self._state = _State.BODY
        elif length == 0:
            self._state = _State.DONE
        elif length == CHUNKED:
            self._state = _State.CHUNK_HEAD
        else:
            self._state = _State.UNTIL_CLOSE

    def _check_incomplete(self) -> None:
        """Raise ProtocolError if the bytes without an event are too many or the last ones."""
        if self.pending_bytes > self._max_incomplete_bytes:
            limit = self._max_incomplete_bytes
            raise ProtocolError(f"a head has more than {limit} bytes; send less", 431)
        if self._received_eof and self._state is not _State.HEAD:
            raise ProtocolError("the connection closed before the end of the body")

    def _take(self, size: int) -> bytes:
        start = self._position
        data = self._buffer[start : start + size]
        self._remaining_bytes -= len(data)
        self._advance(start + len(data))
        return data

    def _advance(self, position: int) -> None:
        """Continue at `position`; bytes that have been read do not stay in memory."""
        if position == len(self._buffer):
            self._buffer = b""
            position = 0
        self._position = self._searched = position

    def _read_body(self) -> bytes | None:
        data = self._take(self._remaining_bytes)
        if self._remaining_bytes == 0:
            self._state = _State.DONE
        if not data:
            self._check_incomplete()
            return None
        return data

    def _read_until_close(self) -> bytes | None:
        data = self._take(self.pending_bytes)
        if data:
            return data
        if not self._received_eof:
            return None
        self._state = _State.DONE
        return b""

    def _read_chunked(self) -> bytes | None:
        data = None
        if self._state is _State.CHUNK_END:
            self._read_chunk_end()
        if self._state is _State.CHUNK_HEAD:
            self._read_chunk_head()
        if self._state is _State.TRAILERS:
            data = self._read_trailers()
        elif self._state is _State.CHUNK_DATA:
            data = self._take(self._remaining_bytes) or None
            if self._remaining_bytes == 0:
                self._state = _State.CHUNK_END
        if data is None:
            self._check_incomplete()
        return data

    def _read_chunk_end(self) -> None:
        end = self._buffer[self._position : self._position + 2]
        if not b"\r\n".startswith(end):
            raise ProtocolError("a chunk is longer than its announced size")
        if len(end) == 2:
            self._advance(self._position + 2)
            self._state = _State.CHUNK_HEAD

    def _read_chunk_head(self) -> None:
        end = self._buffer.find(b"\r\n", self._position)
        if end < 0:
            return
        size, _, extension = self._buffer[self._position : end].partition(b";")
        size = size.rstrip(b" \t")
        if CHUNK_SIZE_PATTERN.fullmatch(size) is None or b"\n" in extension:
            raise ProtocolError("the size of a chunk is malformed")
        self._remaining_bytes = int(size, 16)
        self._state = _State.CHUNK_DATA if self._remaining_bytes else _State.TRAILERS
        self._advance(end + 2)

    def _read_trailers(self) -> bytes | None:
        end = self._end_of_fields()
        if end < 0:
            return None
        check_trailers(self._buffer[self._position : end])
        self._advance(end)
        self._state = _State.DONE
        return b""


class RequestReader(MessageReader[RequestHead]):
    """Reads requests whose names and values of fields have at most `max_field_bytes` in all."""

    def __init__(self, max_field_bytes: int = MAX_HEAD_BYTES) -> None:
        super().__init__()
        self.limit_fields(max_field_bytes)

    def limit_fields(self, max_field_bytes: int) -> None:
        """Set the limit on the names and values of the fields of one head."""
        self._max_field_bytes = max_field_bytes
        self._max_incomplete_bytes = max_field_bytes + HEAD_OVERHEAD_BYTES

    def _parse_head(self, head: bytes) -> RequestHead:
        return parse_request_head(head, self._max_field_bytes)

    def _starts_malformed(self) -> bool:
        is_line_end_begun = self._buffer[self._position :] == b"\r"
        return not is_line_end_begun and super()._starts_malformed()

    def _skip_empty_lines(self) -> None:
        if self.pending_bytes == 0 or self._buffer[self._position] > 0x0D:
            return
        # Some clients send a line end after a body (RFC 9112, section 2.2).
        match = EMPTY_LINES_PATTERN.match(self._buffer, self._position)
        if match is not None:
            self._advance(match.end())


class ResponseReader(MessageReader[ResponseHead]):
    """Reads the responses to requests whose method is `method`."""

    method = "GET"

    def _parse_head(self, head: bytes) -> ResponseHead:
        return parse_response_head(head, self.method)

    def _begin_body(self, head: ResponseHead) -> None:
        # An informational response has no body and precedes another head.
        if head.status >= 200:
            super()._begin_body(head)
