"""Tests what requests wait at loads up to 0.9 while load reports are old.

The bounds are the goals for placement: fraction of requests that wait and 99th percentile of the
wait in seconds.
"""

from __future__ import annotations

import unittest

from pollenglade_core.dispatch.report_interval import report_interval_s

from .placement_model import PlacementModel

DURATION_S = 12.0

CASES = (
    # nodes, endpoints, zones, load, largest fraction that waits, largest p99 of the wait
    (14, 5, 4, 0.54, 0.12, 0.07),
    (70, 34, 3, 0.58, 0.10, 0.07),
    (195, 97, 6, 0.25, 0.08, 0.06),
    (195, 97, 6, 0.5, 0.08, 0.06),
)


class PlacementTest(unittest.TestCase):
    def test_requests_wait_although_other_endpoints_have_free_slots(self) -> None:
        """Nodes with the same old reports flood the endpoint that was best in them."""
        for nodes, endpoints, zones, load, largest_fraction, largest_p99_s in CASES:
            with self.subTest(nodes=nodes, load=load):
                model = PlacementModel(nodes, endpoints, zones, load, report_interval_s(nodes))
                waits = model.run(DURATION_S)
                print(nodes, load, round(waits.fraction, 3), round(waits.percentile(99), 3))
                self.assertGreater(len(waits.seconds), 800)
                self.assertEqual(0, waits.unplaced)
                self.assertLessEqual(waits.fraction, largest_fraction)
                self.assertLessEqual(waits.percentile(99), largest_p99_s)
