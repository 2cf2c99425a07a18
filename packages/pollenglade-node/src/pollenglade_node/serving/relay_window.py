"""Flow control of a body that is streamed from a target to the entry node."""

from __future__ import annotations

from typing import Protocol

from pollenglade_net.link import STREAM_WINDOW_BYTES


class PausableSource(Protocol):
    """The connection to the target, which delivers the body."""

    def pause(self) -> None:
        """Stop reading from the target."""

    def resume(self) -> None:
        """Continue to read from the target."""


class RelayWindow:
    """Pauses the source while more than `STREAM_WINDOW_BYTES` bytes await a credit."""

    def __init__(self) -> None:
        self._unacknowledged_bytes = 0

    def on_sent(self, byte_count: int, source: PausableSource | None) -> None:
        """Count bytes sent to the entry node; pause the source above the window."""
        self._unacknowledged_bytes += byte_count
        if self._unacknowledged_bytes > STREAM_WINDOW_BYTES and source is not None:
            source.pause()

    def credit(self, byte_count: int, source: PausableSource | None) -> None:
        """Count bytes that the caller has received; resume the source within the window."""
        self._unacknowledged_bytes -= byte_count
        if self._unacknowledged_bytes <= STREAM_WINDOW_BYTES and source is not None:
            source.resume()
