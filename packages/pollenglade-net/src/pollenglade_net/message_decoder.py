"""Decoder of the messages of one link that holds memory only while a message is incomplete."""

from __future__ import annotations

import msgpack

from .link_message import INITIAL_BUFFER_BYTES
from .link_message import new_unpacker


class MessageDecoder:
    """Decodes a stream of messages.

    A msgpack decoder takes some 57 KB, which a node with hundreds of links cannot spare for each of
    them. Links whose data ends with a whole message share one decoder.
    """

    _shared: msgpack.Unpacker | None = None

    def __init__(self) -> None:
        self._unpacker: msgpack.Unpacker | None = None
        self.undecoded_bytes = 0
        """Size of the incomplete message."""
        self._decoded_until = 0

    def feed(self, data: bytes) -> list[object]:
        """Return the messages that are complete with the data.

        Raises ValueError, TypeError or msgpack.exceptions.UnpackException if the data is malformed
        or a message exceeds the size limits; the decoder must not be used after that.
        """
        unpacker, self._unpacker = self._unpacker, None
        if unpacker is None:
            unpacker, MessageDecoder._shared = MessageDecoder._shared or new_unpacker(), None
            self._decoded_until = unpacker.tell()
        unpacker.feed(data)
        messages: list[object] = []
        received_bytes = self.undecoded_bytes + len(data)
        self.undecoded_bytes = received_bytes
        for message in unpacker:
            messages.append(message)
            # Behind an incomplete message the position is that of its part.
            decoded_until = unpacker.tell()
            self.undecoded_bytes -= decoded_until - self._decoded_until
            self._decoded_until = decoded_until
        if self.undecoded_bytes:
            self._unpacker = unpacker
        elif received_bytes <= INITIAL_BUFFER_BYTES:
            # The buffer of a decoder that has read more may have grown, and it never shrinks.
            MessageDecoder._shared = unpacker
        return messages
