"""Guards against handles that outlive their call, and nested calls with extra rights or retries."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.call import MAX_DEPTH
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import CallHandles
from pollenglade_core.calls.call_handles import NestedCall
from pollenglade_core.calls.call_handles import derive_nested_call
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
        """A handle that stays valid after its call would let a target act for that organisation.

        A step issues a handle (i), revokes one (r) or advances the time (t).
        """
        handles = CallHandles(random.Random(1), limit)
        now = 0.0
        issued: list[tuple[str, CallContext]] = []
        revoked: set[str] = set()
        for step, value in steps:
            if step == "i":
                issued.append((handles.issue(call := context(now + 1 + value)), call))
                self.assertIs(call, handles.resolve(issued[-1][0], now))
            elif step == "r" and issued:
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
        """Evicting the handle of a running call before a leaked one would refuse nested calls."""
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
        self,
        importance: Importance,
        rule_deadline_ms: int,
        rule_retries: int,
        parent_retries: int,
        depth: int,
        now: float,
    ) -> None:
        """A nested call must not exceed the deadline or the retries of its parent.

        A different importance would shed the nested calls before or after their parent.
        """
        parent = context(allowance=parent_retries, depth=depth)
        rule = RequestRule(
            importance=importance, extra_attempts=rule_retries, deadline_ms=rule_deadline_ms
        )
        call = derive_nested_call(parent, "n", "portfolios", rule, now)
        if isinstance(call, Refusal):
            expected = Reason.TOO_DEEP if depth == MAX_DEPTH else Reason.DEADLINE
            self.assertEqual(expected, call.reason)
            self.assertEqual(parent_retries, parent.allowance.remaining)
            return
        child = call.context
        self.assertEqual(("alder", "p", 5), (child.organisation, child.profile, child.weight))
        self.assertEqual(parent.importance, child.importance)
        self.assertEqual(min(parent.deadline, now + rule_deadline_ms / 1_000), child.deadline)
        self.assertEqual(depth + 1, child.depth)
        self.assertEqual(min(parent_retries, rule_retries), child.allowance.remaining)
        self.assertEqual(parent_retries, child.allowance.remaining + parent.allowance.remaining)


class CallTree:
    """Simulates a root call whose targets make nested calls that randomly fail or are lost."""

    def __init__(
        self, source: random.Random, fan_out: int, failure_rate: float, loss_rate: float
    ) -> None:
        self.source = source
        self.fan_out = fan_out
        self.failure_rate = failure_rate
        self.loss_rate = loss_rate
        self.allowance = 0
        self.first_attempts = 0
        self.attempts = 0
        self.max_depth = 0

    def run(self, allowance: int) -> None:
        """Run a root call with the given retry allowance."""
        self.allowance = allowance
        self.call(context(allowance=allowance))

    def call(self, context: CallContext) -> bool:
        """Send a call with retries, as an entry node does; return whether it succeeded."""
        self.first_attempts += 1
        while not self._attempt(context):
            if not context.allowance.try_debit():
                return False
        return True

    def _attempt(self, context: CallContext) -> bool:
        """Run one attempt that lends a share of the allowance to the serving node."""
        self.attempts += 1
        # An accounting error would otherwise make the recursion endless.
        if self.attempts > self.first_attempts + self.allowance:
            raise AssertionError("more attempts than first attempts plus retry allowance")
        self.max_depth = max(self.max_depth, context.depth)
        lent = context.allowance.lend()
        at_target = CallContext(
            "c", "alder", "p", "fees", context.importance, 10.0, RetryAllowance(lent)
        )
        at_target.depth = context.depth
        finished = self._run_at_target(at_target) and self.source.random() >= self.failure_rate
        if self.source.random() < self.loss_rate:
            return False
        context.allowance.return_unspent(at_target.allowance.remaining, lent)
        return finished

    def _run_at_target(self, context: CallContext) -> bool:
        finished = True
        for remaining_calls in range(self.fan_out, 0, -1):
            if self.first_attempts >= MAX_TREE_CALLS:
                break
            call = derive_nested_call(
                context, "n", "fees", ANY_RULE, 0.0, self.source.randint(1, remaining_calls)
            )
            if not isinstance(call, NestedCall):
                break
            succeeded = self.call(call.context)
            finished = finished and succeeded
            if self.source.random() >= self.loss_rate:
                call.return_unspent(context, call.context.allowance.remaining)
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
        self, seed: int, allowance: int, fan_out: int, failure_rate: float, loss_rate: float
    ) -> None:
        """Retries at every hop would multiply with depth if responses fail or are lost."""
        tree = CallTree(random.Random(seed), fan_out, failure_rate, loss_rate)
        tree.run(allowance)
        self.assertLessEqual(tree.attempts, tree.first_attempts + allowance)

    @given(st.integers(0, 2**32), st.integers(0, 40), st.integers(1, 3))
    def test_worst_case_reaches_the_bound_exactly(
        self, seed: int, allowance: int, fan_out: int
    ) -> None:
        """Attempts that the accounting loses or creates would change the worst case.

        Every attempt fails and no response is lost, so every retry is spent.
        """
        tree = CallTree(random.Random(seed), fan_out, failure_rate=1.0, loss_rate=0.0)
        tree.run(allowance)
        self.assertEqual(MAX_DEPTH, tree.max_depth)
        self.assertEqual(tree.first_attempts + allowance, tree.attempts)
