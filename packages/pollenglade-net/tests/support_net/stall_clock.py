"""Measurement of stalls of the event loop of a test, independently of the load of the machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from time import thread_time

CHECK_INTERVAL_S = 0.005

THREAD_STATISTICS = Path("/proc/thread-self/schedstat")


def processor_wait_s() -> float:
    """Time in seconds that this thread was ready to run but had no processor, since its start.

    The second figure of `/proc/<pid>/schedstat` of Linux, in nanoseconds; 0.0 where it is missing.
    """
    if not THREAD_STATISTICS.exists():
        return 0.0
    return int(THREAD_STATISTICS.read_text().split()[1]) / 1e9


class StallClock:
    """Measures how long callbacks hold the event loop, independently of the load of the machine.

    `longest_s` is the longest processor time of this thread between two checks. On the monotonic
    clock, a test failed with a stall of 0.761 s beside other load, although callbacks hold the loop
    for at most 0.01 s of processor time.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._waited_s = processor_wait_s()
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def lost_s(self) -> float:
        """Time in seconds for which this thread has waited for a processor."""
        return processor_wait_s() - self._waited_s

    async def _run(self) -> None:
        used_s = thread_time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            previous_used_s, used_s = used_s, thread_time()
            self.longest_s = max(self.longest_s, used_s - previous_used_s)

    def close(self) -> None:
        """Stop measuring."""
        self._task.cancel()


async def wait_until(
    condition: Callable[[], bool], limit_s: float, interval_s: float = 0.01
) -> None:
    """Wait until a condition, which is checked every `interval_s` seconds, is true.

    Raises:
        TimeoutError: The condition is still false after `limit_s` seconds, without the time for
            which this thread has waited for a processor.
    """
    started_at, waited_s = monotonic(), processor_wait_s()
    while not condition():
        if monotonic() - started_at - (processor_wait_s() - waited_s) >= limit_s:
            raise TimeoutError(f"The condition was still false after {limit_s} s")
        await asyncio.sleep(interval_s)
