"""Guards against stops that interrupt calls, complete too early or never complete."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.drain import DRAIN_LIMIT_S
from pollenglade_core.drain import MIN_LINGER_S
from pollenglade_core.drain import AnnounceLeaving
from pollenglade_core.drain import Drain
from pollenglade_core.drain import DrainEvent
from pollenglade_core.drain import DrainState
from pollenglade_core.drain import Exit
from pollenglade_core.drain import RefuseNew
from pollenglade_core.drain import RunningCalls
from pollenglade_core.drain import SendDrainOnLinks
from pollenglade_core.drain import StopRequested
from pollenglade_core.drain import TargetDrain
from pollenglade_core.drain import TargetLost
from pollenglade_core.drain import TargetStarted
from pollenglade_core.drain import TargetState
from pollenglade_core.drain import Tick

EVENTS = st.one_of(st.just(StopRequested()), st.just(Tick()), st.integers(0, 3).map(RunningCalls))
STEPS = st.lists(st.tuples(EVENTS, st.floats(0, 5)), max_size=40)


class DrainTest(unittest.TestCase):
    @given(STEPS)
    def test_exit_waits_for_calls_and_linger(self, steps: list[tuple[DrainEvent, float]]) -> None:
        """An early exit interrupts calls; a missing exit blocks a restart forever."""
        drain, now, running, stop_requested_at, idle_at = Drain(), 0.0, 0, None, float("inf")
        for event, delay in [*steps, (StopRequested(), 0.0), (Tick(), DRAIN_LIMIT_S)]:
            now += delay
            if isinstance(event, RunningCalls):
                running = event.count
            previous_state = drain.state
            actions = drain.handle(event, now)
            if stop_requested_at is None and isinstance(event, StopRequested):
                stop_requested_at = now
                self.assertEqual([RefuseNew(), AnnounceLeaving(), SendDrainOnLinks()], actions[:3])
            else:
                self.assertNotIn(RefuseNew(), actions)
            if Exit() in actions:
                assert stop_requested_at is not None
                self.assertEqual(DrainState.LINGERING, previous_state)
                earliest = min(idle_at, stop_requested_at + DRAIN_LIMIT_S) + MIN_LINGER_S
                self.assertGreaterEqual(now, earliest)
                self.assertTrue(running == 0 or now >= stop_requested_at + DRAIN_LIMIT_S)
                self.assertTrue(running == 0 or now >= drain.ends_at)
            if stop_requested_at is not None and running == 0:
                idle_at = min(idle_at, now)
        while drain.wake_at is not None:
            now = max(now, drain.wake_at)
            drain.handle(Tick(), now)
        assert stop_requested_at is not None
        self.assertEqual(DrainState.CLOSED, drain.state)

    def test_running_call_delays_lingering(self) -> None:
        """A node that starts to linger while calls run would exit before they finish."""
        drain = Drain()
        drain.handle(RunningCalls(1), 0.0)
        drain.handle(StopRequested(), 0.0)
        drain.handle(Tick(), DRAIN_LIMIT_S - 0.1)
        self.assertEqual(DrainState.LEAVING, drain.state)
        drain.handle(RunningCalls(0), DRAIN_LIMIT_S - 0.1)
        self.assertEqual([], drain.handle(Tick(), DRAIN_LIMIT_S + 2.8))
        self.assertIn(Exit(), drain.handle(Tick(), DRAIN_LIMIT_S + 2.9))

    def test_call_that_arrives_while_lingering_is_finished(self) -> None:
        """A call from a caller that has not learned of the stop must not be interrupted."""
        drain = Drain()
        drain.handle(StopRequested(), 0.0)
        drain.handle(RunningCalls(1), MIN_LINGER_S - 0.1)
        self.assertEqual([], drain.handle(Tick(), MIN_LINGER_S + 5.0))
        self.assertIn(Exit(), drain.handle(RunningCalls(0), MIN_LINGER_S + 6.0))


class TargetDrainTest(unittest.TestCase):
    @given(st.integers(0, 3), st.booleans())
    def test_only_a_new_incarnation_is_ready_again(self, incarnation: int, lost: bool) -> None:
        """A late ready announcement must not direct calls to a draining target."""
        target = TargetDrain(incarnation=1)
        target.handle(RunningCalls(1), 0.0)
        actions = target.handle(TargetLost() if lost else StopRequested(), 0.0)
        self.assertIn(RefuseNew(), actions)
        self.assertEqual(TargetState.GONE if lost else TargetState.DRAINING, target.state)
        target.handle(TargetStarted(incarnation), 0.1)
        self.assertEqual(incarnation > 1, target.state is TargetState.READY)
        target.handle(RunningCalls(0), 0.2)
        self.assertEqual(incarnation > 1, target.state is not TargetState.GONE)
