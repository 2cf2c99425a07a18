"""Guards against handles that outlive their call and nested calls that gain rights or retries."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.call import MAX_DEPTH
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import CallHandles
from pollenglade_core.calls.call_handles import NestedCall
from pollenglade_core.calls.call_handles import nested
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.configuration.profile import RequestRule

MAX_TREE_CALLS = 400
ANY_RULE = RequestRule(extra_attempts=1_000)


def context(deadline: float = 10.0, allowance: int = 3, depth: int = 1) -> CallContext:
    """Return the context of a call of organisation `alder`."""
    importance = Importance.IMPORTANT
    retries = RetryAllowance(allowance)
    return CallContext("c", "alder", "p", "fees", importance, deadline, retries, 5, depth)


class CallHandlesTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.sampled_from("irt"), st.integers(0, 9)), max_size=60),
        st.integers(1, 8),
    )
    def test_only_running_calls_resolve(self, steps: list[tuple[str, int]], limit: int) -> None:
        """A handle valid after its call would let a target act for an organisation it left."""
        handles = CallHandles(random.Random(1), limit)
        now = 0.0
        issued: list[tuple[str, CallContext]] = []
        revoked: set[str] = set()
        for kind, value in steps:
            if kind == "i":
                issued.append((handles.issue(call := context(now + 1 + value)), call))
                self.assertIs(call, handles.resolve(issued[-1][0], now))
            elif kind == "r" and issued:
                revoked.add(handle := issued[value % len(issued)][0])
                handles.revoke(handle)
            else:
                now += value / 2
            self.assertLessEqual(len(handles), limit)
            for handle, call in issued:
                result = handles.resolve(handle, now)
                if isinstance(result, Refusal):
                    self.assertEqual(Reason.HANDLE_UNKNOWN, result.reason)
                else:
                    self.assertIs(call, result)
                    self.assertNotIn(handle, revoked)
                    self.assertLess(now, call.deadline)
        self.assertEqual(len(issued), len({handle for handle, _ in issued}))

    def test_eviction_takes_a_leaked_handle_first(self) -> None:
        """Eviction of a running call would refuse nested calls while leaked handles stay."""
        handles = CallHandles(random.Random(1), limit=2)
        running, leaked = handles.issue(context(50.0)), handles.issue(context(1.0))
        handles.issue(context(60.0))
        self.assertIsInstance(handles.resolve(running, 0.5), CallContext)
        self.assertIsInstance(handles.resolve(leaked, 0.5), Refusal)
        self.assertEqual(32, len(running))


class NestedTest(unittest.TestCase):
    @given(
        st.sampled_from(Importance),
        st.integers(1, 20_000),
        st.integers(0, 9),
        st.integers(0, 9),
        st.integers(1, MAX_DEPTH),
        st.floats(0, 12),
    )
    def test_rights_never_grow(
        self, importance: Importance, ms: int, extra: int, held: int, depth: int, now: float
    ) -> None:
        """Changed importance, a longer deadline or more retries would lift or shed a subtree."""
        parent = context(allowance=held, depth=depth)
        rule = RequestRule(importance=importance, extra_attempts=extra, deadline_ms=ms)
        call = nested(parent, "n", "portfolios", rule, now)
        if isinstance(call, Refusal):
            expected = Reason.TOO_DEEP if depth == MAX_DEPTH else Reason.DEADLINE
            self.assertEqual(expected, call.reason)
            self.assertEqual(held, parent.allowance.remaining)
            return
        child = call.context
        self.assertEqual(("alder", "p", 5), (child.organisation, child.profile, child.weight))
        self.assertEqual(parent.importance, child.importance)
        self.assertEqual(min(parent.deadline, now + ms / 1_000), child.deadline)
        self.assertEqual(depth + 1, child.depth)
        self.assertEqual(min(held, extra), child.allowance.remaining)
        self.assertEqual(held, child.allowance.remaining + parent.allowance.remaining)


class CallTree:
    """Runs one root call whose targets make nested calls, with faults drawn from a source."""

    def __init__(self, source: random.Random, fan_out: int, fail: float, lose: float) -> None:
        self.source = source
        self.fan_out = fan_out
        self.fail = fail
        self.lose = lose
        self.allowance = 0
        self.first_attempts = 0
        self.attempts = 0
        self.deepest = 0

    def run(self, allowance: int) -> None:
        """Run a root call with this allowance."""
        self.allowance = allowance
        self.call(context(allowance=allowance))

    def call(self, context: CallContext) -> bool:
        """Send a call and its retries from the entry node; return whether it succeeded."""
        self.first_attempts += 1
        while not self._attempt(context):
            if not context.allowance.take():
                return False
        return True

    def _attempt(self, context: CallContext) -> bool:
        """Run one attempt with a share lent to the serving node."""
        self.attempts += 1
        # Without this check, a fault in the accounting would make the walk endless.
        if self.attempts > self.first_attempts + self.allowance:
            raise AssertionError("more attempts than first attempts plus allowance")
        self.deepest = max(self.deepest, context.depth)
        lent = context.allowance.lend()
        at_target = CallContext(
            "c", "alder", "p", "fees", context.importance, 10.0, RetryAllowance(lent)
        )
        at_target.depth = context.depth
        finished = self._run_at_target(at_target) and self.source.random() >= self.fail
        if self.source.random() < self.lose:
            return False
        context.allowance.give_back(at_target.allowance.remaining, lent)
        return finished

    def _run_at_target(self, context: CallContext) -> bool:
        finished = True
        for left in range(self.fan_out, 0, -1):
            if self.first_attempts >= MAX_TREE_CALLS:
                break
            call = nested(context, "n", "fees", ANY_RULE, 0.0, self.source.randint(1, left))
            if not isinstance(call, NestedCall):
                break
            answered = self.call(call.context)
            finished = finished and answered
            if self.source.random() >= self.lose:
                call.give_back(context, call.context.allowance.remaining)
        return finished


class RetryBoundTest(unittest.TestCase):
    @given(
        st.integers(0, 2**32),
        st.integers(0, 40),
        st.integers(1, 4),
        st.floats(0, 1),
        st.floats(0, 1),
    )
    def test_attempts_stay_within_allowance(
        self, seed: int, allowance: int, fan_out: int, fail: float, lose: float
    ) -> None:
        """Retries at every hop would multiply with depth when responses fail or are lost."""
        tree = CallTree(random.Random(seed), fan_out, fail, lose)
        tree.run(allowance)
        self.assertLessEqual(tree.attempts, tree.first_attempts + allowance)

    @given(st.integers(0, 2**32), st.integers(0, 40), st.integers(1, 3))
    def test_worst_case_reaches_the_bound_exactly(
        self, seed: int, allowance: int, fan_out: int
    ) -> None:
        """Attempts lost or created in the accounting would move the worst case off the bound.

        Every attempt fails and no response is lost, so every retry is spent.
        """
        tree = CallTree(random.Random(seed), fan_out, fail=1.0, lose=0.0)
        tree.run(allowance)
        self.assertEqual(MAX_DEPTH, tree.deepest)
        self.assertEqual(tree.first_attempts + allowance, tree.attempts)
