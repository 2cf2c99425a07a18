"""Bounds on retries: an allowance for each root call and a ratio for each organisation."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_RATIO = 0.1
"""Retries allowed for each call of an organisation, on average."""

RETRY_RESERVE = 10.0
"""Retries that an organisation may make before any ratio has built up."""


@dataclass(slots=True)
class RetryAllowance:
    """Whole extra attempts that remain for one call and the calls below it.

    Every extra attempt is debited before it is sent. A share lent downstream is debited as a whole
    and only its unspent part comes back, with the response. A lost response therefore counts as
    spent, and the sum over the call tree never exceeds the allowance of the root call.
    """

    remaining: int

    def take(self) -> bool:
        """Debit one extra attempt; return False where none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def lend(self, concurrent: int = 1) -> int:
        """Debit and return the share for one downstream call.

        With `concurrent` open calls the share is an equal part of what remains, rounded up.
        """
        share = -(-self.remaining // max(1, concurrent))
        self.remaining -= share
        return share

    def give_back(self, unspent: int, lent: int) -> None:
        """Credit the unspent part of a share; values outside [0, lent] are clamped."""
        self.remaining += min(max(unspent, 0), lent)


@dataclass(slots=True)
class RetryBudget:
    """Bound on retries as a ratio of the calls of one organisation at one node."""

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    balance: float = RETRY_RESERVE

    def on_call(self) -> None:
        """Credit the ratio for one first attempt."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def take(self) -> bool:
        """Debit one retry; return False where the budget is spent."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
