"""Standard output that never blocks the loop: what it cannot take is dropped and counted."""

from __future__ import annotations

import asyncio
import os
from collections import deque

MAX_HELD_BYTES = 256 * 1024
"""Log lines that wait for a slow reader; beyond it new lines are dropped."""

FLUSH_INTERVAL_S = 0.1
"""Time in seconds between writes, so that lines share a system call."""

WRITE_BYTES = 64 * 1024


class BoundedOutput:
    """File-like target of log lines."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._held_bytes = 0
        self._rest = b""
        self._timer: asyncio.TimerHandle | None = None
        self._is_started = False
        self.dropped = 0

    def start(self) -> None:
        """Write in the background from now on; the reader cannot delay the loop any more."""
        os.set_blocking(self._descriptor, False)
        self._is_started = True
        self._flush_later()

    def write(self, text: str) -> int:
        """Hold a line, or drop it where too much waits."""
        line = text.encode("utf-8", "replace")
        if self._held_bytes + len(line) > MAX_HELD_BYTES:
            self.dropped += 1
            return len(text)
        self._lines.append(line)
        self._held_bytes += len(line)
        if self._is_started and self._timer is None:
            self._flush_later()
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written in the background."""

    def _flush_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        self.write_out()
        if self._rest or self._lines:
            self._flush_later()

    def write_out(self) -> None:
        """Write as much as the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone for good; there is nobody to tell.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._held_bytes = 0
                self._rest = b""
                return
            self._held_bytes -= written
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            block.append(self._lines.popleft())
            size += len(block[-1])
        return b"".join(block)

    def close(self) -> None:
        """Write the last lines and stop."""
        self._is_started = False
        if self._timer is not None:
            self._timer.cancel()
        self.write_out()
