"""Tests that no window of time has more requests than a rate limit permits."""

from __future__ import annotations

import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.serving.request_rate import BURST_S
from pollenglade_core.serving.request_rate import RequestRate

GAPS_S = st.lists(st.sampled_from([0.0, 0.001, 0.02, 0.3, 5.0]), min_size=1, max_size=300)


class RequestRateTest(unittest.TestCase):
    """A token bucket whose limit changes."""

    @given(st.sampled_from([0.5, 1.7, 8.0, 36.0, 400.0]), GAPS_S)
    def test_a_window_has_more_requests_than_the_limit_permits(
        self, per_s: float, gaps_s: list[float]
    ) -> None:
        """Unused tokens of a quiet time must not be sent at once."""
        rate = RequestRate()
        rate.set_limit(per_s, 0.0)
        now, sent_at = 0.0, []
        for gap_s in gaps_s:
            now += gap_s
            while rate.can_send(now):
                rate.on_sent(now)
                sent_at.append(now)
        burst = max(1.0, per_s * BURST_S)
        for start in sent_at:
            in_window = sum(start <= at < start + 4.0 for at in sent_at)
            self.assertLessEqual(in_window, per_s * 4.0 + burst + 1e-6)

    def test_a_lower_limit_keeps_the_tokens_of_the_higher_one(self) -> None:
        rate = RequestRate()
        rate.set_limit(400.0, 0.0)
        self.assertTrue(rate.can_send(1.0))
        rate.set_limit(2.0, 1.0)
        rate.on_sent(1.0)
        self.assertFalse(rate.can_send(1.4))
        self.assertTrue(rate.can_send(1.6))

    def test_a_limit_of_zero_permits_a_request(self) -> None:
        rate = RequestRate()
        rate.set_limit(0.0, 0.0)
        self.assertFalse(rate.can_send(100.0))
        self.assertEqual(rate.wait_s(0, 100.0), inf)

    def test_without_a_limit_requests_wait(self) -> None:
        rate = RequestRate()
        rate.set_limit(1.0, 0.0)
        rate.set_limit(None, 0.1)
        self.assertTrue(rate.can_send(0.1))
        self.assertEqual(rate.wait_s(1000, 0.1), 0.0)

    def test_a_health_check_beyond_the_limit_does_not_delay_requests(self) -> None:
        """A health check is a request as well and takes its token also where none is left."""
        rate = RequestRate()
        rate.set_limit(1.0, 0.0)
        rate.on_sent(0.0)
        self.assertFalse(rate.can_send(1.9))
        self.assertTrue(rate.can_send(2.1))
