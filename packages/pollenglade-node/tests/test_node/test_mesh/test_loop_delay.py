"""Guards against a node that is late in everything and does not show it."""

from __future__ import annotations

import asyncio
import time
import unittest

from structlog.testing import capture_logs

from pollenglade_node.mesh.loop_delay import INTERVAL_S
from pollenglade_node.mesh.loop_delay import LOGGED_DELAY_S
from pollenglade_node.mesh.loop_delay import LoopDelay

BLOCKED_S = INTERVAL_S + LOGGED_DELAY_S + 0.1


class LoopDelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_loop_that_stands_still_is_not_shown(self) -> None:
        delay = LoopDelay()
        delay.start()
        self.addCleanup(delay.close)
        with capture_logs() as lines:
            time.sleep(BLOCKED_S)
            await asyncio.sleep(0.01)
        self.assertGreaterEqual(delay.longest_s, LOGGED_DELAY_S)
        self.assertIn("loop_delayed", [line["event"] for line in lines])
