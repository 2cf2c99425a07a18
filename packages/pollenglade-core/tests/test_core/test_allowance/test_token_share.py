"""Guards against an organisation exceeding its limit over the sum of nodes that lend and restart,
and against refusals of a demand well within the limit."""

from __future__ import annotations

import random
import unittest
from collections import deque

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pollenglade_core.allowance.holders import limit_holders
from pollenglade_core.allowance.loan_request import LoanRequest
from pollenglade_core.allowance.loan_request import missing_tokens
from pollenglade_core.allowance.token_share import AllowanceBounds
from pollenglade_core.allowance.token_share import TokenShare

BOUNDS = AllowanceBounds()
TICK_S = 1 / 64


class FleetMachine(RuleBasedStateMachine):
    """Nodes that spend all their tokens, lend, lose messages and restart together."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rate, self.burst = 20.0, 20.0
        self.shares: dict[str, TokenShare] = {}
        self.spent_at: deque[float] = deque()
        self.all_restarted_at = -1e9

    @initialize(nodes=st.integers(1, 6), rate=st.sampled_from([5.0, 40.0, 165.0]))
    def begin(self, nodes: int, rate: float) -> None:
        self.rate = self.burst = rate
        names = [f"n{number}" for number in range(nodes)]
        holder_nodes = limit_holders("acme", self.burst, names)
        for name in names:
            share = 1.0 / len(holder_nodes) if name in holder_nodes else 0.0
            self.shares[name] = TokenShare(self.rate, self.burst, share, self.now, BOUNDS)
            self.shares[name].fill()

    @rule(ticks=st.integers(1, 400))
    def wait(self, ticks: int) -> None:
        self.now += ticks * TICK_S

    @rule(index=st.integers(0, 5), max_tokens=st.integers(1, 400))
    def spend(self, index: int, max_tokens: int) -> None:
        share = self.shares[sorted(self.shares)[index % len(self.shares)]]
        for _ in range(max_tokens):
            if not share.try_spend(self.now):
                break
            self.spent_at.append(self.now)

    @rule(lender=st.integers(0, 5), borrower=st.integers(0, 5), lost=st.booleans())
    def lend(self, lender: int, borrower: int, lost: bool) -> None:
        names = sorted(self.shares)
        amount = self.shares[names[lender % len(names)]].lend(10.0, self.now)
        if not lost:
            self.shares[names[borrower % len(names)]].borrow(amount)

    @rule()
    def restart_all(self) -> None:
        """Restart all nodes at the same time, at most once per window."""
        if self.now - self.all_restarted_at < BOUNDS.window_s:
            return
        self.all_restarted_at = self.now
        for name, share in list(self.shares.items()):
            fresh = TokenShare(self.rate, self.burst, share.share, self.now, BOUNDS)
            fresh.fill_after_restart()
            self.shares[name] = fresh

    @invariant()
    def sum_keeps_the_bound(self) -> None:
        while self.spent_at and self.spent_at[0] <= self.now - BOUNDS.window_s:
            self.spent_at.popleft()
        limit = (self.rate * BOUNDS.window_s + self.burst) * (1 + BOUNDS.overage) + BOUNDS.slack
        assert len(self.spent_at) <= limit, (len(self.spent_at), limit)


FleetTest = FleetMachine.TestCase


class CalmTest(unittest.TestCase):
    """Demand below the limit, unevenly distributed over nodes that lend tokens."""

    def test_refusals_within_the_limit_are_rare(self) -> None:
        for rate in (32.0, 165.0):
            refused, offered = self._simulate(16, rate, 1 / 1.6, random.Random(3))
            self.assertLess(refused / offered, 0.001, rate)

    def test_tokens_stay_unused_at_many_nodes_while_requests_are_refused(self) -> None:
        """Each of 195 nodes kept what it had borrowed beyond its need."""
        for rate in (2.0, 4.0, 10.0, 30.0):
            with self.subTest(rate=rate):
                refused, offered = self._simulate(195, rate, 1 / 1.6, random.Random(3))
                self.assertLess(refused / offered, 0.005)

    def _simulate(
        self, node_count: int, rate: float, load: float, random_source: random.Random
    ) -> tuple[int, int]:
        names = [f"n{number}" for number in range(node_count)]
        holder_nodes = limit_holders("acme", rate, names)
        shares = [
            TokenShare(
                rate, rate, 1.0 / len(holder_nodes) if name in holder_nodes else 0.0, 0.0, BOUNDS
            )
            for name in names
        ]
        for share in shares:
            share.fill()
        share_by_node = dict(zip(names, shares, strict=True))
        weights = [1.0 + (number % 4) * 0.3 for number in range(node_count)]
        now, refused, offered = 0.0, 0, 0
        while now < 60.0:
            now += random_source.expovariate(rate * load)
            offered += 1
            node = random_source.choices(names, weights)[0]
            share = share_by_node[node]
            request = LoanRequest([item for item in holder_nodes if item != node], random_source)
            while not (granted := share.try_spend(now)):
                lenders = request.next_lenders()
                wanted = missing_tokens(1, share.tokens(now))
                for lender in lenders:
                    share.borrow(share_by_node[lender].lend(wanted, now))
                if not lenders:
                    break
            refused += not granted
        return refused, offered


class PriorityTest(unittest.TestCase):
    """An organisation that sends four times its limit, half of it important."""

    def test_the_least_important_requests_are_refused_first(self) -> None:
        share = TokenShare(50.0, 50.0, 1.0, 0.0, BOUNDS)
        share.fill()
        served = [0, 0, 0]
        for step in range(4000):
            priority = (0, 2, 1, 2)[step % 4]
            served[priority] += share.try_spend(step / 200, priority)
        self.assertEqual(served[0], 1000)
        self.assertLess(served[2], 400)


class HoldersTest(unittest.TestCase):
    """Selection of the nodes that hold a limit."""

    def test_small_limits_are_held_by_few_nodes(self) -> None:
        names = [f"n{number}" for number in range(70)]
        self.assertEqual(len(limit_holders("acme", 8.0, names)), 3)
        self.assertEqual(len(limit_holders("acme", 400.0, names)), 70)

    def test_holders_do_not_depend_on_the_order_of_nodes(self) -> None:
        names = [f"n{number}" for number in range(20)]
        self.assertEqual(
            limit_holders("acme", 20.0, names), limit_holders("acme", 20.0, reversed(names))
        )

    def test_an_added_node_replaces_at_most_one_holder(self) -> None:
        names = [f"n{number}" for number in range(20)]
        before, after = set(limit_holders("acme", 20.0, names)), set(
            limit_holders("acme", 20.0, [*names, "x"])
        )
        self.assertLessEqual(len(before - after), 1)
