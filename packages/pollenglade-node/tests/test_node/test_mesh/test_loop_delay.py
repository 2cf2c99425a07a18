"""Guards against a blocked event loop that shows in neither gauge nor log."""

from __future__ import annotations

import asyncio
import time
import unittest

from structlog.testing import capture_logs

from pollenglade_node.mesh.loop_delay import MEASURE_INTERVAL_S
from pollenglade_node.mesh.loop_delay import MIN_LOGGED_DELAY_S
from pollenglade_node.mesh.loop_delay import LoopDelay

BLOCKED_S = MEASURE_INTERVAL_S + MIN_LOGGED_DELAY_S + 0.1


class LoopDelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_blocked_loop_is_not_reported(self) -> None:
        delay = LoopDelay()
        delay.start()
        self.addCleanup(delay.close)
        with capture_logs() as lines:
            time.sleep(BLOCKED_S)
            await asyncio.sleep(0.01)
        self.assertGreaterEqual(delay.longest_s, MIN_LOGGED_DELAY_S)
        self.assertIn("loop_delayed", [line["event"] for line in lines])
