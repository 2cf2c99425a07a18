"""Free loopback ports for processes that are about to start."""

from __future__ import annotations

import socket
from random import SystemRandom

LOOPBACK = "127.0.0.1"

FIRST_PORT = 20_000
LAST_PORT = 31_999
"""Range below the ephemeral ports of Linux, whose outgoing connections would take a port
between its choice and the start of the process."""

BLOCK_SIZE = 100
"""Ports of one block; the first one is its guard."""


class PortPool:
    """Hands out loopback ports that nothing listens on, each at most once.

    A pool owns whole blocks of ports. It listens on the first port of each block, so that pools of
    test runs side by side never choose a port that another one has chosen but not yet opened.
    """

    def __init__(self) -> None:
        self._source = SystemRandom()
        self._guards: list[socket.socket] = []
        self._left: list[int] = []

    def take(self) -> int:
        """Return a free port; raise RuntimeError where none is found."""
        while True:
            if not self._left:
                self._left = self._own_block()
            port = self._left.pop()
            if _is_free(port):
                return port

    def _own_block(self) -> list[int]:
        blocks = list(range(FIRST_PORT, LAST_PORT + 1 - BLOCK_SIZE, BLOCK_SIZE))
        self._source.shuffle(blocks)
        for first in blocks:
            guard = socket.socket()
            try:
                guard.bind((LOOPBACK, first))
                guard.listen()
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            return list(range(first + 1, first + BLOCK_SIZE))
        raise RuntimeError(
            f"no free block of ports between {FIRST_PORT} and {LAST_PORT}; "
            "stop other test runs first"
        )

    def close(self) -> None:
        """Give the blocks back."""
        for guard in self._guards:
            guard.close()
        self._guards = []
        self._left = []


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
