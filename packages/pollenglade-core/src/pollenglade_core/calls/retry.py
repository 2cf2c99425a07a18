"""Bounds on retries: an allowance for each call tree and a budget for each organisation."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_RATIO = 0.1
"""Average number of retries that an organisation may make for each of its calls."""

RETRY_RESERVE = 10.0
"""Initial and largest balance of a retry budget.

An organisation may make this many retries before its calls have earned any.
"""


@dataclass(slots=True)
class RetryAllowance:
    """Number of retries that remain for one call and its nested calls.

    Every retry is debited before it is sent. A share lent downstream is debited in full, and only
    its unspent part is returned with the response. If the response is lost, the whole share counts
    as spent, so the retries of a call tree never exceed the allowance of the root call.
    """

    remaining: int

    def try_debit(self) -> bool:
        """Debit one retry; return False if none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def lend(self, concurrent: int = 1) -> int:
        """Debit and return the share for one downstream call.

        The share is the remaining allowance divided by `concurrent` open calls, rounded up.
        """
        share = -(-self.remaining // max(1, concurrent))
        self.remaining -= share
        return share

    def return_unspent(self, unspent: int, lent: int) -> None:
        """Credit the unspent part of a share; values outside [0, lent] are clamped."""
        self.remaining += min(max(unspent, 0), lent)


@dataclass(slots=True)
class OrganisationRetryBudget:
    """Limits the retries of one organisation at one node to a ratio of its calls."""

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    balance: float = RETRY_RESERVE

    def on_call(self) -> None:
        """Credit the ratio for the first attempt of a call."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def try_debit(self) -> bool:
        """Debit one retry; return False if the budget is exhausted."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
