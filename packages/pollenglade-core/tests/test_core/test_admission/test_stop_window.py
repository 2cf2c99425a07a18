"""Tests of the requests that a stopping node accepts."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from pollenglade_core.admission.stop_window import StopWindow

WINDOW = StopWindow(refuses_from=2.0, late_from=2.5, ends_at=5.0)
TIMES = strategies.floats(0.0, 10.0)


class StopWindowTest(unittest.TestCase):
    """A process that refuses requests of clients from 2 s on and ends at 5 s."""

    def test_requests_of_clients_that_would_not_finish_are_accepted(self) -> None:
        self.assertTrue(WINDOW.accepts(1.9, None))
        self.assertTrue(WINDOW.accepts(1.9, 1.5))
        self.assertFalse(WINDOW.accepts(1.9, 1.6))
        self.assertFalse(WINDOW.accepts(2.0, 0.01))

    @given(now=TIMES, deadline=TIMES)
    def test_late_nested_requests_that_may_be_open_at_the_end_are_accepted(
        self, now: float, deadline: float
    ) -> None:
        may_be_open_at_end = deadline > WINDOW.ends_at
        is_accepted = WINDOW.accepts_nested(now, deadline)
        self.assertEqual(is_accepted, now < WINDOW.late_from or not may_be_open_at_end)
