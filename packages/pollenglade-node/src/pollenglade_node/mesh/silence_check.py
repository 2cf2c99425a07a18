"""Runs a check while nothing is heard from an endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic


class SilenceCheck:
    """Calls `check` after each `interval_s` seconds without a response; `start`, then `close`."""

    def __init__(self, interval_s: float, check: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._check = check
        self._last_response_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start checking; does nothing if that has been started."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._interval_s, self._on_interval)

    def on_response(self, now: float) -> None:
        """Record that the endpoint has responded at `now`, in monotonic time."""
        self._last_response_at = now

    def _on_interval(self) -> None:
        self._timer = None
        self.start()
        if monotonic() - self._last_response_at >= self._interval_s:
            self._check()

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
