"""Guards against concurrent test runs that allocate the same port."""

from __future__ import annotations

import unittest

from pollenglade_emulator.ports import BLOCK_SIZE
from pollenglade_emulator.ports import PortPool


class PortPoolTest(unittest.TestCase):
    def test_concurrent_pools_share_no_port(self) -> None:
        """A port that is allocated but not yet open looks free to another run."""
        pools = [PortPool() for _ in range(3)]
        try:
            taken = [pool.take() for pool in pools for _ in range(BLOCK_SIZE + 10)]
        finally:
            for pool in pools:
                pool.close()
        self.assertEqual(len(taken), len(set(taken)))
