"""Events that a claim machine handles and actions that it returns to its node."""

from __future__ import annotations

from dataclasses import dataclass

from ..calls.outcome import Outcome
from ..calls.outcome import Refusal
from .claim_row import ClaimRow
from .claim_row import InvalidRow
from .claim_row import RecordedResponse


@dataclass(frozen=True, slots=True)
class ClaimInserted:
    """The platform has written the claim; `version` is the new version of the row."""

    version: int


@dataclass(frozen=True, slots=True)
class ClaimExists:
    """A read or a conflicting write has returned the current row.

    `owner_running` is False only if the entry node in the row is known to be dead, or is this node
    and is not running the attempt in the row.
    """

    row: ClaimRow | InvalidRow
    version: int
    owner_running: bool = True


@dataclass(frozen=True, slots=True)
class ClaimAbsent:
    """A read has found no row."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """A read or the write of a claim got no response; the write may take effect at any time."""


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The operation did not reach the platform and will not take effect."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the call has passed."""


@dataclass(frozen=True, slots=True)
class TargetResponded:
    """The complete response of the target has arrived."""

    response: RecordedResponse


@dataclass(frozen=True, slots=True)
class TargetNotRun:
    """The call has certainly not run and will not be sent again."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The call was sent at least in part, and no complete response will arrive."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The platform has written the outcome or the release."""


@dataclass(frozen=True, slots=True)
class RecordLost:
    """The write of the outcome or the release got no response."""


@dataclass(frozen=True, slots=True)
class RepeatArrived:
    """The caller has repeated the call at the node that is still running it."""

    call_id: str
    fingerprint: str


ClaimEvent = (
    ClaimInserted
    | ClaimExists
    | ClaimAbsent
    | AnswerLost
    | PlatformUnavailable
    | DeadlinePassed
    | TargetResponded
    | TargetNotRun
    | OutcomeUnknown
    | RecordWritten
    | RecordLost
    | RepeatArrived
)


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Write the row if it has `expected_version`; 0 means that the row must not exist."""

    row: ClaimRow
    operation_id: str
    expected_version: int = 0


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the row `name` after a delay of `after_s` seconds."""

    name: str
    after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SendOnce:
    """Send the call if `ClaimMachine.permit_send` allows it immediately before the first byte."""

    not_after: float


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Write the outcome (`done` or `unknown`) if the row still has `expected_version`."""

    row: ClaimRow
    operation_id: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Mark the claim as released if the row still has `expected_version`."""

    row: ClaimRow
    operation_id: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer one request with the response of the target or with a refusal."""

    call_id: str
    result: RecordedResponse | Refusal

    @property
    def outcome(self) -> Outcome:
        """Outcome of the call that is reported to the caller."""
        return self.result.outcome if isinstance(self.result, Refusal) else Outcome.RAN


ClaimAction = InsertClaim | ReadClaim | SendOnce | RecordOutcome | ReleaseClaim | Answer
