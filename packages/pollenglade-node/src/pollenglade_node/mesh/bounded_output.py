"""Non-blocking log output with a bounded buffer; lines beyond the bound are dropped and counted."""

from __future__ import annotations

import asyncio
import os
from collections import deque

MAX_BUFFERED_BYTES = 256 * 1024
"""Upper bound on log lines buffered for a slow reader; new lines beyond it are dropped."""

FLUSH_INTERVAL_S = 0.1
"""Time in seconds between writes; lines of one interval share a system call."""

WRITE_BLOCK_BYTES = 64 * 1024
"""Lines are joined for one system call until they reach this size."""


class BoundedOutput:
    """File-like object for log lines that writes to a file descriptor without blocking.

    `dropped_line_count` counts the lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self._timer: asyncio.TimerHandle | None = None
        self._is_started = False
        self.dropped_line_count = 0

    def start(self) -> None:
        """Switch the descriptor to non-blocking mode and start writing in the background."""
        os.set_blocking(self._descriptor, False)
        self._is_started = True
        self._schedule_flush()

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full; return the number of characters."""
        line = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_line_count += 1
            return len(text)
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if self._is_started and self._timer is None:
            self._schedule_flush()
        return len(text)

    def flush(self) -> None:
        """Do nothing, because lines are written in the background."""

    def _schedule_flush(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        self.write_buffered()
        if self._unwritten or self._lines:
            self._schedule_flush()

    def write_buffered(self) -> None:
        """Write buffered lines until the descriptor would block or the buffer is empty."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed its end; the error cannot be logged either, so drop everything.
                self.dropped_line_count += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                self._unwritten = b""
                return
            self._buffered_bytes -= written
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BLOCK_BYTES:
            block.append(self._lines.popleft())
            size += len(block[-1])
        return b"".join(block)

    def close(self) -> None:
        """Stop the background writes after one last attempt to write the buffer."""
        self._is_started = False
        if self._timer is not None:
            self._timer.cancel()
        self.write_buffered()
