"""Delay of the event loop's timers; all work of the node is delayed by the same time."""

from __future__ import annotations

import asyncio

import structlog

MEASURE_INTERVAL_S = 0.25
"""Time in seconds between measurements."""

MIN_LOGGED_DELAY_S = 0.25
"""Delay in seconds from which a measurement is logged; half of the 0.5 s within which work for a
disconnected caller should end."""

MAX_RECENT_DELAYS = 20
"""Number of measurements over which the longest delay is reported; they cover five seconds."""

log = structlog.get_logger()


class LoopDelay:
    """Measures how late a periodic timer runs, between `start` and `close`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._recent_delays_s: list[float] = []
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def longest_s(self) -> float:
        """Longest recent delay in seconds."""
        return max(self._recent_delays_s, default=0.0)

    def start(self) -> None:
        """Schedule the next measurement."""
        self._due_at = self._loop.time() + MEASURE_INTERVAL_S
        self._timer = self._loop.call_at(self._due_at, self._measure)

    def _measure(self) -> None:
        delay_s = max(0.0, self._loop.time() - self._due_at)
        self._recent_delays_s = [*self._recent_delays_s[1 - MAX_RECENT_DELAYS :], delay_s]
        if delay_s >= MIN_LOGGED_DELAY_S:
            log.warning("loop_delayed", seconds=round(delay_s, 3))
        self.start()

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
