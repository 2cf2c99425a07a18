"""Guards against second runs of non-idempotent calls and incorrect outcomes."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.claims.claim_messages import Answer
from pollenglade_core.claims.claim_messages import ClaimExists
from pollenglade_core.claims.claim_messages import DeadlinePassed
from pollenglade_core.claims.claim_messages import OutcomeUnknown
from pollenglade_core.claims.claim_messages import RepeatArrived
from pollenglade_core.claims.claim_messages import TargetNotRun
from pollenglade_core.claims.claim_messages import TargetResponded
from pollenglade_core.claims.claim_row import MAX_INLINE_BODY_BYTES
from pollenglade_core.claims.claim_row import ClaimRow
from pollenglade_core.claims.claim_row import RecordedResponse
from pollenglade_core.claims.claim_row import RowState

from .simulated_cluster import DEADLINE_S
from .simulated_cluster import Attempt
from .simulated_cluster import SimulatedCluster

KEYS = st.sampled_from(["k1", "k1", "k1", "k2"])
NODES = st.sampled_from(["n1", "n2"])
FINGERPRINTS = st.sampled_from(["f", "f", "f", "g"])
PICK = st.integers(0, 99)


class ClaimsUnderFaults(RuleBasedStateMachine):
    """Two entry nodes with callers that repeat, lost responses, pauses, outages and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = SimulatedCluster()
        self.response_by_key: dict[str, RecordedResponse] = {}

    def chosen_attempt(self, pick: int) -> Attempt:
        return self.cluster.attempts[pick % len(self.cluster.attempts)]

    def pending_attempts(self) -> list[Attempt]:
        return [attempt for attempt in self.cluster.attempts if attempt.operation]

    @initialize(released=st.booleans())
    def start(self, released: bool) -> None:
        """Half of the sessions start with a claim that an earlier call has released."""
        row = ClaimRow("alder", "k1", "a0", "f", "n0", RowState.RELEASED)
        if released:
            self.cluster.wire_by_name[row.name] = (2, row.to_wire())
        self.cluster.arrive("n1", "k1", "f")

    @rule(node=NODES, key=KEYS, fingerprint=FINGERPRINTS)
    def arrive(self, node: str, key: str, fingerprint: str) -> None:
        self.cluster.arrive(node, key, fingerprint)

    @precondition(lambda self: self.cluster.attempts)
    @rule(pick=PICK, fingerprint=FINGERPRINTS)
    def repeat_at_same_node(self, pick: int, fingerprint: str) -> None:
        self.cluster.deliver(self.chosen_attempt(pick), RepeatArrived("repeat", fingerprint))

    @precondition(lambda self: self.pending_attempts())
    @rule(pick=PICK)
    def perform(self, pick: int) -> None:
        attempt = self.pending_attempts()[pick % len(self.pending_attempts())]
        recorded_row = self.recorded_row(attempt.row)
        before = len(attempt.answers)
        self.cluster.perform(attempt)
        if recorded_row is None or len(attempt.answers) == before:
            return
        if attempt.row.fingerprint == recorded_row.fingerprint:
            assert (
                attempt.answers[-1].result == recorded_row.response
            ), "recorded outcome not returned"

    @rule()
    def advance(self) -> None:
        """Complete all pending operations; sessions without this step seldom reach a target."""
        for attempt in self.pending_attempts():
            self.cluster.perform(attempt)
        for attempt in self.cluster.attempts:
            if attempt.send_due:
                self.cluster.send(attempt)

    @precondition(lambda self: self.pending_attempts())
    @rule(pick=PICK)
    def perform_in_outage(self, pick: int) -> None:
        self.cluster.outage = True
        self.cluster.perform(self.pending_attempts()[pick % len(self.pending_attempts())])
        self.cluster.outage = False

    @precondition(lambda self: self.pending_attempts())
    @rule(pick=PICK, takes_effect=st.booleans())
    def lose(self, pick: int, takes_effect: bool) -> None:
        self.cluster.lose(
            self.pending_attempts()[pick % len(self.pending_attempts())],
            takes_effect=takes_effect,
        )

    @precondition(lambda self: self.cluster.delayed)
    @rule()
    def late_write_takes_effect(self) -> None:
        self.cluster.apply_delayed_write()

    @precondition(lambda self: any(a.send_due for a in self.cluster.attempts))
    @rule()
    def send(self) -> None:
        self.cluster.send(next(a for a in self.cluster.attempts if a.send_due))

    @precondition(lambda self: any(a.sent for a in self.cluster.attempts))
    @rule(fate=st.sampled_from(["ran", "ran", "lost", "lost before", "not run"]))
    def finish(self, fate: str) -> None:
        attempt = next(a for a in self.cluster.attempts if a.sent)
        attempt.sent = False
        if fate in ("ran", "lost"):
            self.cluster.run(attempt)
        if fate == "ran":
            response = RecordedResponse(201, (("etag", "x"),), attempt.row.attempt_id.encode())
            self.response_by_key[attempt.row.key_hash] = response
            self.cluster.deliver(attempt, TargetResponded(response))
        elif fate == "not run":
            self.cluster.deliver(attempt, TargetNotRun(Refusal(Reason.TARGET_SHED)))
        else:
            self.cluster.deliver(attempt, OutcomeUnknown(Refusal(Reason.TARGET_FAILED)))
        expected = {"ran": Outcome.RAN, "not run": Outcome.NOT_RUN}.get(fate, Outcome.UNKNOWN)
        answer = attempt.machine.answer
        assert answer and answer.outcome in (expected, Outcome.UNKNOWN), "reported outcome is wrong"

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, DEADLINE_S]))
    def pause(self, seconds: float) -> None:
        self.cluster.now += seconds

    @precondition(lambda self: any(a.deadline <= self.cluster.now for a in self.cluster.attempts))
    @rule()
    def deadline(self) -> None:
        for attempt in self.cluster.attempts:
            if attempt.deadline <= self.cluster.now:
                self.cluster.deliver(attempt, DeadlinePassed())

    @precondition(lambda self: self.cluster.attempts)
    @rule(node=NODES)
    def crash(self, node: str) -> None:
        """A node loses its machines; calls that it has sent still run."""
        for attempt in [a for a in self.cluster.attempts if a.row.entry_node == node]:
            if attempt.sent:
                self.cluster.run(attempt)
            self.cluster.attempts.remove(attempt)

    def recorded_row(self, row: ClaimRow) -> ClaimRow | None:
        _, wire = self.cluster.wire_by_name.get(row.name, (0, {}))
        current = ClaimRow.from_wire(wire)
        is_done = isinstance(current, ClaimRow) and current.state is RowState.DONE
        return current if is_done and isinstance(current, ClaimRow) else None

    @invariant()
    def runs_at_most_once(self) -> None:
        keys = [key for key, _ in self.cluster.runs]
        assert len(keys) == len(set(keys)), f"second run: {self.cluster.runs}"

    @invariant()
    def answers_are_true(self) -> None:
        for attempt in self.cluster.attempts:
            for answer in attempt.answers:
                self.check_answer(attempt, answer)

    def check_answer(self, attempt: Attempt, answer: Answer) -> None:
        key = attempt.row.key_hash
        if isinstance(answer.result, RecordedResponse):
            assert answer.result == self.response_by_key[key], "response of another call"
        elif answer.outcome is Outcome.NOT_RUN:
            is_first_answer = answer.call_id == attempt.row.attempt_id
            has_run = (key, attempt.row.attempt_id) in self.cluster.runs
            assert not (is_first_answer and has_run), "not-run reported for a request that ran"
            if not is_first_answer:
                assert answer.result.reason is Reason.IDEMPOTENCY_KEY_REUSED


ClaimsUnderFaults.TestCase.settings = settings(
    max_examples=max(400, (settings.default or settings()).max_examples), stateful_step_count=50
)
ClaimsUnderFaultsTest = ClaimsUnderFaults.TestCase


class ClaimAnswersTest(unittest.TestCase):
    def refusal_of(self, row: ClaimRow, *, owner_running: bool) -> Refusal:
        """Return the refusal of a repeated request that finds this row."""
        attempt = SimulatedCluster().arrive("n2", "k1", "f")
        actions = attempt.machine.handle(ClaimExists(row, 1, owner_running), 0.1)
        self.assertTrue(attempt.machine.closed)
        self.assertFalse(attempt.machine.permit_send(0.1))
        assert isinstance(actions[0], Answer) and isinstance(actions[0].result, Refusal)
        return actions[0].result

    def test_refusals_name_what_is_known(self) -> None:
        """A caller that gets not-run for a call that may have run would pay twice."""
        row = ClaimRow("alder", "k1", "other", "f", "n1")
        other = ClaimRow("alder", "k1", "other", "g", "n1")
        running = self.refusal_of(row, owner_running=True)
        self.assertEqual((Reason.IN_PROGRESS, Outcome.UNKNOWN), (running.reason, running.outcome))
        self.assertGreater(running.retry_after_s or 0.0, 0.0)
        self.assertEqual(Outcome.UNKNOWN, self.refusal_of(row, owner_running=False).outcome)
        reused = self.refusal_of(other, owner_running=False)
        self.assertEqual(Reason.IDEMPOTENCY_KEY_REUSED, reused.reason)

    @given(
        st.binary(max_size=300) | st.just(bytes(MAX_INLINE_BODY_BYTES + 1)),
        st.integers(100, 599),
        st.lists(st.tuples(st.text(max_size=9), st.text(max_size=9)), max_size=4),
        st.sampled_from(RowState),
    )
    def test_row_is_unchanged_by_a_wire_round_trip(
        self, body: bytes, status: int, headers: list[tuple[str, str]], state: RowState
    ) -> None:
        """A repeat must get the same body and headers as the first request."""
        response = RecordedResponse(status, tuple(headers), body).for_row()
        row_response = response if state is RowState.DONE else None
        row = ClaimRow("alder", "k1", "a1", "f", "n1", state, row_response)
        self.assertEqual(row, ClaimRow.from_wire(row.to_wire()))
        self.assertEqual(len(body) > MAX_INLINE_BODY_BYTES, response.body is None)
