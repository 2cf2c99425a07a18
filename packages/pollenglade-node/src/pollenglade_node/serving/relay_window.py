"""Flow control of a streamed body between a target and the entry node."""

from __future__ import annotations

from typing import Protocol

from pollenglade_net.link import WINDOW_BYTES


class PausableSource(Protocol):
    """The connection from which the body comes."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Continue reading."""


class RelayWindow:
    """Pauses the source while more than a window of bytes is on the way."""

    def __init__(self) -> None:
        self._unacknowledged = 0

    def sent(self, count: int, source: PausableSource | None) -> None:
        """Count bytes that go to the entry node."""
        self._unacknowledged += count
        if self._unacknowledged > WINDOW_BYTES and source is not None:
            source.pause()

    def credit(self, count: int, source: PausableSource | None) -> None:
        """Count bytes that the caller has taken."""
        self._unacknowledged -= count
        if self._unacknowledged <= WINDOW_BYTES and source is not None:
            source.resume()
