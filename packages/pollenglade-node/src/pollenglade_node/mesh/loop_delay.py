"""How late the event loop runs its timers, which delays everything that the node does."""

from __future__ import annotations

import asyncio

import structlog

INTERVAL_S = 0.25
"""Time in seconds between measurements."""

LOGGED_DELAY_S = 0.25
"""Delay in seconds from which a measurement has a log line; half of the time in which work for a
caller that has left should end."""

RECENT = 20
"""Measurements of which the longest delay is shown; five seconds of them."""

log = structlog.get_logger()


class LoopDelay:
    """Measures the delay of a timer; `start`, then `close`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._recent_s: list[float] = []
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def longest_s(self) -> float:
        """Longest recent delay in seconds."""
        return max(self._recent_s, default=0.0)

    def start(self) -> None:
        """Measure from now on."""
        self._due_at = self._loop.time() + INTERVAL_S
        self._timer = self._loop.call_at(self._due_at, self._measure)

    def _measure(self) -> None:
        delay_s = max(0.0, self._loop.time() - self._due_at)
        self._recent_s = [*self._recent_s[1 - RECENT :], delay_s]
        if delay_s >= LOGGED_DELAY_S:
            log.warning("loop_delayed", seconds=round(delay_s, 3))
        self.start()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
