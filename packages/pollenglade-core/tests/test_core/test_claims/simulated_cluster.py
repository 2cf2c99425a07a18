"""In-memory simulation of the platform table, targets and entry nodes for claim tests."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field

from pollenglade_core.claims.claim_messages import Answer
from pollenglade_core.claims.claim_messages import AnswerLost
from pollenglade_core.claims.claim_messages import ClaimAbsent
from pollenglade_core.claims.claim_messages import ClaimAction
from pollenglade_core.claims.claim_messages import ClaimEvent
from pollenglade_core.claims.claim_messages import ClaimExists
from pollenglade_core.claims.claim_messages import ClaimInserted
from pollenglade_core.claims.claim_messages import InsertClaim
from pollenglade_core.claims.claim_messages import PlatformUnavailable
from pollenglade_core.claims.claim_messages import ReadClaim
from pollenglade_core.claims.claim_messages import RecordLost
from pollenglade_core.claims.claim_messages import RecordOutcome
from pollenglade_core.claims.claim_messages import RecordWritten
from pollenglade_core.claims.claim_messages import ReleaseClaim
from pollenglade_core.claims.claim_messages import SendOnce
from pollenglade_core.claims.claim_row import ClaimRow
from pollenglade_core.claims.claims import ClaimMachine

Operation = InsertClaim | ReadClaim | RecordOutcome | ReleaseClaim
Write = InsertClaim | RecordOutcome | ReleaseClaim
DEADLINE_S = 2.0


@dataclass
class Attempt:
    """One request at an entry node with its claim machine."""

    machine: ClaimMachine
    row: ClaimRow
    deadline: float
    operation: Operation | None = None
    send_due: bool = False
    sent: bool = False
    answers: list[Answer] = field(default_factory=list)


@dataclass
class SimulatedCluster:
    """Table with compare-and-set, delayed writes, and a list of runs at targets."""

    now: float = 0.0
    outage: bool = False
    wire_by_name: dict[str, tuple[int, dict[str, object]]] = field(default_factory=dict)
    delayed: list[Write] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    started: int = 0

    def arrive(self, node: str, key: str, fingerprint: str) -> Attempt:
        """Start an attempt for a request that reaches an entry node."""
        self.started += 1
        row = ClaimRow("alder", key, f"a{self.started}", fingerprint, node)
        deadline = self.now + DEADLINE_S
        machine = ClaimMachine(row, row.attempt_id, deadline, random.Random(self.started))
        attempt = Attempt(machine, row, deadline)
        self.attempts.append(attempt)
        self._carry_out(attempt, machine.start(self.now))
        return attempt

    def deliver(self, attempt: Attempt, event: ClaimEvent) -> None:
        """Deliver an event to the machine and carry out its actions."""
        self._carry_out(attempt, attempt.machine.handle(event, self.now))

    def perform(self, attempt: Attempt) -> None:
        """Perform the pending platform operation of an attempt and deliver the response."""
        operation, attempt.operation = attempt.operation, None
        if operation is None:
            return
        if self.outage:
            self.deliver(attempt, PlatformUnavailable())
        else:
            self.deliver(attempt, self._apply(operation))

    def lose(self, attempt: Attempt, *, takes_effect: bool) -> None:
        """Lose the response; the write takes effect now or in `apply_delayed_write`."""
        operation, attempt.operation = attempt.operation, None
        if operation is None:
            return
        if takes_effect and not self.outage:
            self._apply(operation)
        elif not isinstance(operation, ReadClaim):
            self.delayed.append(operation)
        is_outcome_write = isinstance(operation, RecordOutcome | ReleaseClaim)
        self.deliver(attempt, RecordLost() if is_outcome_write else AnswerLost())

    def apply_delayed_write(self) -> None:
        """Apply the oldest delayed write at the platform."""
        self._apply(self.delayed.pop(0))

    def send(self, attempt: Attempt) -> None:
        """Send the call to the target if the machine permits it."""
        attempt.send_due = False
        if attempt.machine.permit_send(self.now):
            assert self.now < attempt.deadline, "sent after the deadline"
            attempt.sent = True

    def run(self, attempt: Attempt) -> None:
        """Record a run of the call at a target."""
        self.runs.append((attempt.row.key_hash, attempt.row.attempt_id))

    def _apply(self, operation: Operation) -> ClaimEvent:
        name = operation.name if isinstance(operation, ReadClaim) else operation.row.name
        version, wire = self.wire_by_name.get(name, (0, {}))
        if isinstance(operation, ReadClaim) or operation.expected_version != version:
            return self._current_row_event(version, wire)
        self.wire_by_name[name] = (version + 1, operation.row.to_wire())
        return ClaimInserted(version + 1) if isinstance(operation, InsertClaim) else RecordWritten()

    def _current_row_event(self, version: int, wire: dict[str, object]) -> ClaimEvent:
        if version == 0:
            return ClaimAbsent()
        row = ClaimRow.from_wire(wire)
        owners = [a for a in self.attempts if a.row.attempt_id == wire["attempt_id"]]
        return ClaimExists(row, version, any(not owner.machine.closed for owner in owners))

    def _carry_out(self, attempt: Attempt, actions: list[ClaimAction]) -> None:
        for action in actions:
            match action:
                case Answer():
                    attempt.answers.append(action)
                case SendOnce():
                    attempt.send_due = True
                case _:
                    assert attempt.operation is None, "two platform operations at a time"
                    attempt.operation = action
