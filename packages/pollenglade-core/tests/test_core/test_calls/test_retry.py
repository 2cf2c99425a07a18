"""Guards against retries that exceed the allowance of a call or the budget of an organisation."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.retry import OrganisationRetryBudget
from pollenglade_core.calls.retry import RetryAllowance


class RetryAllowanceTest(unittest.TestCase):
    @given(st.integers(0, 50), st.lists(st.tuples(st.integers(1, 5), st.integers(-3, 60))))
    def test_shares_never_create_attempts(
        self, start: int, exchanges: list[tuple[int, int]]
    ) -> None:
        """A share returned with a wrong count must not increase the allowance."""
        allowance = RetryAllowance(start)
        for concurrent, unspent in exchanges:
            before = allowance.remaining
            lent = allowance.lend(concurrent)
            allowance.return_unspent(unspent, lent)
            self.assertLessEqual(allowance.remaining, before)
            self.assertGreaterEqual(allowance.remaining, 0)

    def test_take_stops_at_zero(self) -> None:
        """An exhausted allowance must not permit another retry."""
        allowance = RetryAllowance(1)
        self.assertTrue(allowance.try_debit())
        self.assertFalse(allowance.try_debit())


class RetryBudgetTest(unittest.TestCase):
    def test_ratio_bounds_retries(self) -> None:
        """Without the ratio, the retries for a failing service would double its load."""
        budget = OrganisationRetryBudget()
        retries = 0
        for _ in range(1_000):
            budget.on_call()
            retries += budget.try_debit()
        self.assertLessEqual(retries, 1_000 * budget.ratio + budget.reserve)
