"""Tests of the requests that a stopping node accepts."""

from __future__ import annotations

import unittest

from pollenglade_core.admission.stop_window import RESPONSE_RESERVE_S
from pollenglade_core.admission.stop_window import StopWindow

WINDOW = StopWindow(refuses_from=2.0, ends_at=5.0)


class StopWindowTest(unittest.TestCase):
    """A process that refuses requests of clients from 2 s on and ends at 5 s."""

    def test_requests_of_clients_that_would_not_finish_are_accepted(self) -> None:
        self.assertTrue(WINDOW.accepts(1.9, None))
        self.assertTrue(WINDOW.accepts(1.9, 1.5))
        self.assertFalse(WINDOW.accepts(1.9, 1.6))
        self.assertFalse(WINDOW.accepts(2.0, 0.01))

    def test_late_nested_requests_that_may_not_finish_are_accepted(self) -> None:
        self.assertTrue(WINDOW.accepts_nested(1.9, None, deadline=9.0))
        self.assertTrue(WINDOW.accepts_nested(3.0, None, deadline=5.0))
        self.assertTrue(WINDOW.accepts_nested(3.0, 0.9, deadline=9.0))
        self.assertFalse(WINDOW.accepts_nested(3.0, 1.0, deadline=9.0))
        self.assertFalse(WINDOW.accepts_nested(3.0, None, deadline=5.1))

    def test_endpoints_get_more_time_than_the_process_has(self) -> None:
        self.assertEqual(WINDOW.endpoint_deadline(4.0), 4.0)
        self.assertEqual(WINDOW.endpoint_deadline(9.0), 5.0 - RESPONSE_RESERVE_S)
