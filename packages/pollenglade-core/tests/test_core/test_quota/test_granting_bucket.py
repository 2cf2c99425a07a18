"""Guards against spending of granted tokens above rate and burst."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pollenglade_core.quota.granting_bucket import GrantingBucket
from pollenglade_core.quota.quota_messages import GRANT_LIFETIME_S

from .rate_window import excess

TICK_S = 1 / 64  # exact in binary, so that the check has no rounding errors


@dataclass
class BorrowedGrant:
    """A grant as its borrower sees it."""

    tokens: int
    expires_at: float
    spent: int = 0
    returned: int = 0


class BucketMachine(RuleBasedStateMachine):
    """Borrowers that spend at any time before expiry and send reports repeatedly and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rate, self.burst = 7, 5
        self.bucket = GrantingBucket(self.rate, self.burst, self.now)
        self.grants: dict[str, BorrowedGrant] = {}
        self.reports: list[tuple[str, int, int]] = []
        self.spent_at: list[float] = []

    @initialize(burst=st.sampled_from([5, 20]))
    def begin(self, burst: int) -> None:
        """Start with a burst below or above the minimum for prefetch."""
        self.burst = burst
        self.bucket = GrantingBucket(self.rate, burst, self.now)

    @rule(ticks=st.one_of(st.integers(1, 16), st.integers(1, 200)))
    def wait(self, ticks: int) -> None:
        self.now += ticks * TICK_S

    @rule(needed=st.integers(0, 6), extra=st.integers(0, 6), late=st.integers(0, 64))
    def ask(self, needed: int, extra: int, late: int) -> None:
        request_id = str(len(self.grants))
        tokens = self.bucket.grant(request_id, needed, needed + extra, self.now)
        assert tokens <= needed or self.bucket.level * 2 >= self.bucket.burst
        expires_at = self.now - late * TICK_S + GRANT_LIFETIME_S
        self.grants[request_id] = BorrowedGrant(tokens, expires_at)
        assert self.bucket.grant(request_id, needed, needed + extra, self.now) == 0 or tokens == 0

    @rule(count=st.integers(1, 20))
    def spend(self, count: int) -> None:
        for grant in self.grants.values():
            if self.now < grant.expires_at:
                amount = min(count, grant.tokens - grant.spent - grant.returned)
                grant.spent += amount
                count -= amount
                self.spent_at += [self.now] * amount

    @rule(data=st.data())
    def report(self, data: st.DataObject) -> None:
        for request_id, grant in self.grants.items():
            if data.draw(st.booleans()):
                grant.returned = grant.tokens - grant.spent
            self.reports.append((request_id, grant.spent, grant.returned))

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        if self.reports:
            request_id, spent, returned = data.draw(st.sampled_from(self.reports))
            self.bucket.settle(request_id, spent, returned, self.now)

    @rule(rate=st.integers(0, 7), burst=st.integers(0, 20))
    def change(self, rate: int, burst: int) -> None:
        self.bucket.change(rate, min(burst, self.burst), self.now)

    @invariant()
    def no_window_exceeds_the_largest_contract(self) -> None:
        assert excess(self.spent_at, self.rate, self.burst) == 0

    @invariant()
    def level_and_outstanding_fit_the_burst(self) -> None:
        assert self.bucket.level == 0 or (
            self.bucket.level + self.bucket.outstanding <= self.bucket.burst
        )
        assert self.bucket.outstanding >= 0


GrantingBucketTest = BucketMachine.TestCase
GrantingBucketTest.settings = settings(max_examples=200, stateful_step_count=40)


class BucketRefillTest(unittest.TestCase):
    def test_idle_bucket_refills_after_grants_expire(self) -> None:
        """If expired grants still limited accrual, calls within the rate would be refused."""
        bucket = GrantingBucket(10, 10, 0.0)
        self.assertEqual(10, bucket.grant("a", 10, 10, 5.0))
        self.assertEqual(10, bucket.grant("b", 10, 10, 60.0))

    def test_invalid_settlements_add_no_tokens(self) -> None:
        """Counts that are negative or exceed the grant would add tokens to the bucket."""
        bucket = GrantingBucket(0, 10, 0.0)
        bucket.change(10, 10, 0.0)
        bucket.grant("a", 4, 4, 1.0)
        level = bucket.level
        bucket.settle("a", 0, 9, 1.0)
        bucket.settle("a", 3, 3, 1.0)
        bucket.settle("a", -4, 4, 1.0)
        self.assertEqual(level, bucket.level)
