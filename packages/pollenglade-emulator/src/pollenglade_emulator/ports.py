"""Allocation of loopback ports to processes that are about to start."""

from __future__ import annotations

import socket
from random import SystemRandom

LOOPBACK = "127.0.0.1"

# The range is below the ephemeral ports of Linux: an outgoing connection could take an ephemeral
# port between its allocation and the start of the process.
FIRST_PORT = 20_000
LAST_PORT = 31_999

BLOCK_SIZE = 100
"""Ports in a block; the first one is the guard that reserves the block."""


class PortPool:
    """Allocates unused loopback ports, each at most once.

    A pool reserves whole blocks of ports by listening on the first port of each, so that concurrent
    test runs never allocate a port that another run has allocated but not yet opened.
    """

    def __init__(self) -> None:
        self._random = SystemRandom()
        self._guards: list[socket.socket] = []
        self._unused: list[int] = []

    def take(self) -> int:
        """Return a free port; raise RuntimeError if all blocks are reserved."""
        while True:
            if not self._unused:
                self._unused = self._reserve_block()
            port = self._unused.pop()
            if _is_free(port):
                return port

    def _reserve_block(self) -> list[int]:
        blocks = list(range(FIRST_PORT, LAST_PORT + 1 - BLOCK_SIZE, BLOCK_SIZE))
        self._random.shuffle(blocks)
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
        """Release all blocks."""
        for guard in self._guards:
            guard.close()
        self._guards = []
        self._unused = []


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
