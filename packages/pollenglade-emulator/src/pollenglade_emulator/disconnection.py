"""Ways for a caller to disconnect before the response."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close send a reset."""


def close(connection: socket.socket) -> None:
    """Close the connection; the peer reads the end of the stream, and a write gets a reset."""
    connection.close()


def reset(connection: socket.socket) -> None:
    """Reset the connection, as a process that ends with unread data does."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def half_close(connection: socket.socket) -> None:
    """Close the sending side only and read nothing more."""
    connection.shutdown(socket.SHUT_WR)


Disconnect = Callable[[socket.socket], None]

DISCONNECT_BY_NAME: dict[str, Disconnect] = {
    "closed": close,
    "reset": reset,
    "half closed": half_close,
}
"""All ways to disconnect, by name."""
