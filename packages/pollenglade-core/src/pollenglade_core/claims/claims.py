"""State machine that runs a non-idempotent call at most once and reports its outcome correctly."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from ..calls.outcome import Outcome
from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .claim_messages import Answer
from .claim_messages import AnswerLost
from .claim_messages import ClaimAbsent
from .claim_messages import ClaimAction
from .claim_messages import ClaimEvent
from .claim_messages import ClaimExists
from .claim_messages import ClaimInserted
from .claim_messages import DeadlinePassed
from .claim_messages import InsertClaim
from .claim_messages import OutcomeUnknown
from .claim_messages import PlatformUnavailable
from .claim_messages import ReadClaim
from .claim_messages import RecordLost
from .claim_messages import RecordOutcome
from .claim_messages import RecordWritten
from .claim_messages import ReleaseClaim
from .claim_messages import RepeatArrived
from .claim_messages import SendOnce
from .claim_messages import TargetNotRun
from .claim_messages import TargetResponded
from .claim_row import ClaimRow
from .claim_row import InvalidRow
from .claim_row import RecordedResponse
from .claim_row import RowState

MIN_RETRY_AFTER_S = 0.5
"""Shortest time after which a caller is advised to repeat a refused call."""

MAX_CLAIM_WRITES = 3
"""Claim writes before the call is refused; each retry follows a lost or conflicting write."""

MAX_SETTLE_READS = 12
"""Reads after the reply to learn whether a lost write took effect.

With doubling delays they span about 4 minutes.
"""

FIRST_SETTLE_DELAY_S = 0.1
MAX_SETTLE_DELAY_S = 60.0


class ClaimState(Enum):
    """State of a claim machine."""

    CLAIMING = "claiming"
    READING = "reading"
    READY = "ready"
    SENT = "sent"
    SETTLING = "settling"
    CLOSED = "closed"


class ClaimMachine:
    """Decides for one request what to write, when to send the call and how to reply.

    The node performs one platform operation of a machine at a time and reports its result before it
    starts the next one. It discards the machine when `closed` is true.
    """

    def __init__(
        self, row: ClaimRow, call_id: str, deadline: float, random_source: RandomSource
    ) -> None:
        self.state = ClaimState.CLAIMING
        self.answer: Answer | None = None
        self._row = row
        self._call_id = call_id
        self._deadline = deadline
        self._random_source = random_source
        self._version = 0
        self._claim_writes = 0
        self._claim_may_exist = False
        self._settle_reads = 0
        self._final_row = replace(row, state=RowState.RELEASED)

    @property
    def closed(self) -> bool:
        """Whether the caller has its reply and the row needs no further operation."""
        return self.state is ClaimState.CLOSED

    def start(self, now: float) -> list[ClaimAction]:
        """Return the first actions: write the claim, or refuse the call after its deadline."""
        if now >= self._deadline:
            return self._refuse_without_claim(Reason.DEADLINE)
        return self._write_claim(expected_version=0)

    def permit_send(self, now: float) -> bool:
        """Return whether the first byte may be sent at `now`; true at most once.

        Call this immediately before the write to the connection. If the deadline has passed, for
        example in a pause after the claim, the node must deliver `DeadlinePassed`.
        """
        if self.state is not ClaimState.READY or now >= self._deadline:
            return False
        self.state = ClaimState.SENT
        return True

    def handle(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        """Handle an event and return the resulting actions; events of a past state are ignored."""
        if isinstance(event, RepeatArrived):
            return [self._answer_repeat(event)]
        match self.state:
            case ClaimState.CLAIMING | ClaimState.READING:
                return self._handle_before_claim(event, now)
            case ClaimState.READY | ClaimState.SENT:
                return self._handle_claimed(event)
            case ClaimState.SETTLING:
                return self._handle_settling(event)
            case ClaimState.CLOSED:
                return []

    def _handle_before_claim(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        match event:
            case ClaimInserted(version):
                return self._accept_claim(version, now)
            case ClaimExists():
                return self._handle_existing_row(event, now)
            case ClaimAbsent():
                return self._write_claim(expected_version=0)
            case AnswerLost() if self.state is ClaimState.CLAIMING:
                self._claim_may_exist = True
                self.state = ClaimState.READING
                return [ReadClaim(self._row.name)]
            case AnswerLost() | PlatformUnavailable():
                return self._refuse_without_claim(Reason.CLAIM_UNAVAILABLE)
            case DeadlinePassed():
                # The result of the pending operation is handled in the settling state.
                self.state = ClaimState.SETTLING
                return [self._refuse(Reason.DEADLINE, detail=_REQUEST_DID_NOT_RUN)]
        return []

    def _handle_existing_row(self, event: ClaimExists, now: float) -> list[ClaimAction]:
        row = event.row
        if isinstance(row, InvalidRow):
            return self._close(Reason.CLAIM_UNAVAILABLE, Outcome.UNKNOWN, row.detail)
        if row.attempt_id == self._row.attempt_id and row.state is RowState.CLAIMED:
            return self._accept_claim(event.version, now)
        if row.fingerprint != self._row.fingerprint:
            return self._close(Reason.IDEMPOTENCY_KEY_REUSED, detail=_KEY_REUSED)
        if row.state is RowState.RELEASED:
            return self._write_claim(event.version)
        if row.state is RowState.CLAIMED and event.owner_running:
            return self._close(Reason.IN_PROGRESS, Outcome.UNKNOWN, _STILL_RUNNING)
        if row.response is None:
            return self._close(Reason.LINK_FAILED, Outcome.UNKNOWN, _OUTCOME_UNKNOWN)
        self.state = ClaimState.CLOSED
        return [self._set_answer(_replay(row.response))]

    def _write_claim(self, expected_version: int) -> list[ClaimAction]:
        if self._claim_writes >= MAX_CLAIM_WRITES:
            return self._refuse_without_claim(Reason.CLAIM_UNAVAILABLE)
        self._claim_writes += 1
        self.state = ClaimState.CLAIMING
        # A repeated write has the same operation id, so that it takes effect at most once.
        operation_id = f"{self._row.attempt_id}/claim/{expected_version}"
        return [InsertClaim(self._row, operation_id, expected_version)]

    def _accept_claim(self, version: int, now: float) -> list[ClaimAction]:
        self._version = version
        self.state = ClaimState.READY
        if now >= self._deadline:
            return self._answer_and_record(RowState.RELEASED, self._refusal(Reason.DEADLINE))
        return [SendOnce(self._deadline)]

    def _handle_claimed(self, event: ClaimEvent) -> list[ClaimAction]:
        match event:
            case TargetResponded(response) if self.state is ClaimState.SENT:
                return self._answer_and_record(RowState.DONE, response)
            case TargetNotRun(refusal):
                refusal = replace(refusal, outcome=Outcome.NOT_RUN)
                return self._answer_and_record(RowState.RELEASED, refusal)
            case OutcomeUnknown(refusal):
                return self._answer_and_record(
                    RowState.UNKNOWN, replace(refusal, outcome=Outcome.UNKNOWN)
                )
            case DeadlinePassed() if self.state is ClaimState.READY:
                return self._answer_and_record(RowState.RELEASED, self._refusal(Reason.DEADLINE))
            case DeadlinePassed():
                refusal = self._refusal(Reason.TIMEOUT, Outcome.UNKNOWN)
                return self._answer_and_record(RowState.UNKNOWN, refusal)
        return []

    def _answer_and_record(
        self, state: RowState, result: RecordedResponse | Refusal
    ) -> list[ClaimAction]:
        response = result.for_row() if isinstance(result, RecordedResponse) else None
        self._final_row = replace(self._row, state=state, response=response)
        self.state = ClaimState.SETTLING
        return [self._set_answer(result), self._write_final_row()]

    def _write_final_row(self) -> ClaimAction:
        row = self._final_row
        operation_id = f"{row.attempt_id}/{row.state.value}/{self._version}"
        if row.state is RowState.RELEASED:
            return ReleaseClaim(row, operation_id, self._version)
        return RecordOutcome(row, operation_id, self._version)

    def _handle_settling(self, event: ClaimEvent) -> list[ClaimAction]:
        match event:
            case RecordWritten():
                self.state = ClaimState.CLOSED
            case ClaimInserted(version):
                self._version = version
                return [self._write_final_row()]
            case ClaimExists(row, version):
                return self._settle_from_row(row, version)
            case PlatformUnavailable() if self._version == 0 and not self._claim_may_exist:
                self.state = ClaimState.CLOSED
            case AnswerLost():
                self._claim_may_exist = True
                return self._read_later()
            case ClaimAbsent() | RecordLost() | PlatformUnavailable():
                return self._read_later()
        return []

    def _settle_from_row(self, row: ClaimRow | InvalidRow, version: int) -> list[ClaimAction]:
        is_same_attempt = isinstance(row, ClaimRow) and row.attempt_id == self._row.attempt_id
        if is_same_attempt and isinstance(row, ClaimRow) and row.state is RowState.CLAIMED:
            self._version = version
            return [self._write_final_row()]
        self.state = ClaimState.CLOSED
        return []

    def _read_later(self) -> list[ClaimAction]:
        if self._settle_reads >= MAX_SETTLE_READS:
            self.state = ClaimState.CLOSED
            return []
        delay_s = min(MAX_SETTLE_DELAY_S, FIRST_SETTLE_DELAY_S * 2**self._settle_reads)
        self._settle_reads += 1
        return [ReadClaim(self._row.name, jittered(delay_s, self._random_source))]

    def _refuse_without_claim(self, reason: Reason) -> list[ClaimAction]:
        answer = self._refuse(reason, detail=_REQUEST_DID_NOT_RUN)
        if not self._claim_may_exist:
            self.state = ClaimState.CLOSED
            return [answer]
        self.state = ClaimState.SETTLING
        return [answer, *self._read_later()]

    def _close(
        self, reason: Reason, outcome: Outcome = Outcome.NOT_RUN, detail: str = ""
    ) -> list[ClaimAction]:
        self.state = ClaimState.CLOSED
        return [self._refuse(reason, outcome, detail)]

    def _refuse(
        self, reason: Reason, outcome: Outcome = Outcome.NOT_RUN, detail: str = ""
    ) -> Answer:
        return self._set_answer(self._refusal(reason, outcome, detail))

    def _refusal(
        self, reason: Reason, outcome: Outcome = Outcome.NOT_RUN, detail: str = ""
    ) -> Refusal:
        may_repeat = reason is not Reason.IDEMPOTENCY_KEY_REUSED
        retry_after_s = jittered(MIN_RETRY_AFTER_S, self._random_source) if may_repeat else None
        return Refusal(reason, outcome, retry_after_s, detail)

    def _set_answer(self, result: RecordedResponse | Refusal) -> Answer:
        self.answer = Answer(self._call_id, result)
        return self.answer

    def _answer_repeat(self, event: RepeatArrived) -> Answer:
        if event.fingerprint != self._row.fingerprint:
            reused = self._refusal(Reason.IDEMPOTENCY_KEY_REUSED, detail=_KEY_REUSED)
            return Answer(event.call_id, reused)
        result = self.answer.result if self.answer else None
        if isinstance(result, RecordedResponse):
            return Answer(event.call_id, result)
        if isinstance(result, Refusal) and result.outcome is not Outcome.NOT_RUN:
            return Answer(event.call_id, result)
        running = self._refusal(Reason.IN_PROGRESS, Outcome.UNKNOWN, _STILL_RUNNING)
        return Answer(event.call_id, running)


_KEY_REUSED = "the idempotency key belongs to a call with another content; use a new key"
_STILL_RUNNING = "a call with this idempotency key is running; repeat it for its outcome"
_OUTCOME_UNKNOWN = (
    "the call with this idempotency key was sent or may have been; outcome not recorded"
)
_REQUEST_DID_NOT_RUN = (
    "this request did not run; an earlier one with the same idempotency key may have run"
)
_BODY_NOT_RECORDED = "the call ran; its response was too long to be recorded"


def _replay(response: RecordedResponse) -> RecordedResponse | Refusal:
    if response.body is None:
        return Refusal(Reason.TARGET_FAILED, Outcome.RAN, detail=_BODY_NOT_RECORDED)
    return response
