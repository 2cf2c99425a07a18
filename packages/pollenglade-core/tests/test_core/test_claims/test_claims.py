"""Guards against second runs of non-idempotent calls and against untruthful answers."""

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

from .claim_world import DEADLINE_S
from .claim_world import Attempt
from .claim_world import World

KEYS = st.sampled_from(["k1", "k1", "k1", "k2"])
NODES = st.sampled_from(["n1", "n2"])
FINGERPRINTS = st.sampled_from(["f", "f", "f", "g"])
PICK = st.integers(0, 99)


class ClaimsUnderFaults(RuleBasedStateMachine):
    """Two entry nodes, callers that resend, lost responses, pauses, outages and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.response_by_key: dict[str, RecordedResponse] = {}

    def chosen(self, pick: int) -> Attempt:
        return self.world.attempts[pick % len(self.world.attempts)]

    def waiting(self) -> list[Attempt]:
        return [attempt for attempt in self.world.attempts if attempt.operation]

    @initialize(released=st.booleans())
    def start(self, released: bool) -> None:
        """Half of the walks start with a claim that an earlier call has released."""
        row = ClaimRow("alder", "k1", "a0", "f", "n0", RowState.RELEASED)
        if released:
            self.world.wire_by_name[row.name] = (2, row.to_wire())
        self.world.arrive("n1", "k1", "f")

    @rule(node=NODES, key=KEYS, fingerprint=FINGERPRINTS)
    def arrive(self, node: str, key: str, fingerprint: str) -> None:
        self.world.arrive(node, key, fingerprint)

    @precondition(lambda self: self.world.attempts)
    @rule(pick=PICK, fingerprint=FINGERPRINTS)
    def repeat_at_same_node(self, pick: int, fingerprint: str) -> None:
        self.world.tell(self.chosen(pick), RepeatArrived("repeat", fingerprint))

    @precondition(lambda self: self.waiting())
    @rule(pick=PICK)
    def perform(self, pick: int) -> None:
        attempt = self.waiting()[pick % len(self.waiting())]
        recorded = self.recorded(attempt.row)
        before = len(attempt.answers)
        self.world.perform(attempt)
        if recorded is None or len(attempt.answers) == before:
            return
        if attempt.row.fingerprint == recorded.fingerprint:
            assert attempt.answers[-1].result == recorded.response, "recorded outcome withheld"

    @rule()
    def advance(self) -> None:
        """Everything that is under way succeeds; walks without it seldom reach a target."""
        for attempt in self.waiting():
            self.world.perform(attempt)
        for attempt in self.world.attempts:
            if attempt.send_due:
                self.world.send(attempt)

    @precondition(lambda self: self.waiting())
    @rule(pick=PICK)
    def perform_in_outage(self, pick: int) -> None:
        self.world.outage = True
        self.world.perform(self.waiting()[pick % len(self.waiting())])
        self.world.outage = False

    @precondition(lambda self: self.waiting())
    @rule(pick=PICK, takes_effect=st.booleans())
    def lose(self, pick: int, takes_effect: bool) -> None:
        self.world.lose(self.waiting()[pick % len(self.waiting())], takes_effect=takes_effect)

    @precondition(lambda self: self.world.delayed)
    @rule()
    def land(self) -> None:
        self.world.land()

    @precondition(lambda self: any(a.send_due for a in self.world.attempts))
    @rule()
    def send(self) -> None:
        self.world.send(next(a for a in self.world.attempts if a.send_due))

    @precondition(lambda self: any(a.sent for a in self.world.attempts))
    @rule(fate=st.sampled_from(["ran", "ran", "lost", "lost before", "not run"]))
    def finish(self, fate: str) -> None:
        attempt = next(a for a in self.world.attempts if a.sent)
        attempt.sent = False
        if fate in ("ran", "lost"):
            self.world.run(attempt)
        if fate == "ran":
            response = RecordedResponse(201, (("etag", "x"),), attempt.row.attempt_id.encode())
            self.response_by_key[attempt.row.key_hash] = response
            self.world.tell(attempt, TargetResponded(response))
        elif fate == "not run":
            self.world.tell(attempt, TargetNotRun(Refusal(Reason.TARGET_SHED)))
        else:
            self.world.tell(attempt, OutcomeUnknown(Refusal(Reason.TARGET_FAILED)))
        known = {"ran": Outcome.RAN, "not run": Outcome.NOT_RUN}.get(fate, Outcome.UNKNOWN)
        own = attempt.machine.answer
        assert own and own.outcome in (known, Outcome.UNKNOWN), "untrue outcome"

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, DEADLINE_S]))
    def pause(self, seconds: float) -> None:
        self.world.now += seconds

    @precondition(lambda self: any(a.deadline <= self.world.now for a in self.world.attempts))
    @rule()
    def deadline(self) -> None:
        for attempt in self.world.attempts:
            if attempt.deadline <= self.world.now:
                self.world.tell(attempt, DeadlinePassed())

    @precondition(lambda self: self.world.attempts)
    @rule(node=NODES)
    def crash(self, node: str) -> None:
        """The node forgets its machines; what it sent may still run."""
        for attempt in [a for a in self.world.attempts if a.row.entry_node == node]:
            if attempt.sent:
                self.world.run(attempt)
            self.world.attempts.remove(attempt)

    def recorded(self, row: ClaimRow) -> ClaimRow | None:
        _, wire = self.world.wire_by_name.get(row.name, (0, {}))
        current = ClaimRow.from_wire(wire)
        done = isinstance(current, ClaimRow) and current.state is RowState.DONE
        return current if done and isinstance(current, ClaimRow) else None

    @invariant()
    def runs_at_most_once(self) -> None:
        keys = [key for key, _ in self.world.runs]
        assert len(keys) == len(set(keys)), f"second run: {self.world.runs}"

    @invariant()
    def answers_are_true(self) -> None:
        for attempt in self.world.attempts:
            for answer in attempt.answers:
                self.check(attempt, answer)

    def check(self, attempt: Attempt, answer: Answer) -> None:
        key = attempt.row.key_hash
        if isinstance(answer.result, RecordedResponse):
            assert answer.result == self.response_by_key[key], "response of another call"
        elif answer.outcome is Outcome.NOT_RUN:
            own = answer.call_id == attempt.row.attempt_id
            run = (key, attempt.row.attempt_id) in self.world.runs
            assert not (own and run), "not-run told for a request that ran"
            if not own:
                assert answer.result.reason is Reason.IDEMPOTENCY_KEY_REUSED


ClaimsUnderFaults.TestCase.settings = settings(
    max_examples=max(400, (settings.default or settings()).max_examples), stateful_step_count=50
)
ClaimsUnderFaultsTest = ClaimsUnderFaults.TestCase


class ClaimAnswersTest(unittest.TestCase):
    def refusal_of(self, row: ClaimRow, *, owner_running: bool) -> Refusal:
        """Return how a resend is refused that finds this row."""
        attempt = World().arrive("n2", "k1", "f")
        actions = attempt.machine.handle(ClaimExists(row, 1, owner_running), 0.1)
        self.assertTrue(attempt.machine.closed)
        self.assertFalse(attempt.machine.permit_send(0.1))
        assert isinstance(actions[0], Answer) and isinstance(actions[0].result, Refusal)
        return actions[0].result

    def test_refusals_name_what_is_known(self) -> None:
        """A caller told not-run for a call that may have run would pay twice."""
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
    def test_row_survives_the_wire(
        self, body: bytes, status: int, headers: list[tuple[str, str]], state: RowState
    ) -> None:
        """A changed body or header would give a repeat another response than the first caller."""
        response = RecordedResponse(status, tuple(headers), body).for_row()
        kept = response if state is RowState.DONE else None
        row = ClaimRow("alder", "k1", "a1", "f", "n1", state, kept)
        self.assertEqual(row, ClaimRow.from_wire(row.to_wire()))
        self.assertEqual(len(body) > MAX_INLINE_BODY_BYTES, response.body is None)
