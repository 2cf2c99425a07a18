"""Free loopback ports for processes that are about to start."""

from __future__ import annotations

import socket
from random import SystemRandom

LOOPBACK = "127.0.0.1"

FIRST_PORT = 20_000
LAST_PORT = 31_999
"""Range below the ephemeral ports of Linux, whose outgoing connections would take a port
between its choice and the start of the process."""

ATTEMPTS = 200


class PortPool:
    """Hands out loopback ports that nothing listens on, each at most once."""

    def __init__(self) -> None:
        self._source = SystemRandom()
        self._given: set[int] = set()

    def take(self) -> int:
        """Return a free port; raise RuntimeError where none is found."""
        for _ in range(ATTEMPTS):
            port = self._source.randrange(FIRST_PORT, LAST_PORT + 1)
            if port not in self._given and _is_free(port):
                self._given.add(port)
                return port
        raise RuntimeError(
            f"no free port between {FIRST_PORT} and {LAST_PORT}; stop other test runs first"
        )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
