"""Records of root requests and of their executions at targets."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

REQUEST_HEADER = b"emulator-request"
"""Header with the id of the root request; targets copy it to nested calls and echo it."""

ORGANISATION_HEADER = b"emulator-organisation"
"""Header with the organisation of the caller, to be compared with that of the key."""

WORK_HEADER = b"emulator-work-ms"
"""Header with a fixed service time in ms; such a call makes no nested calls."""


@dataclass(frozen=True)
class RequestRecord:
    """Result of one root request; times in seconds since the start of the load.

    `status` is 0 if no complete response arrived. `wrong` means that the body belonged to another
    request or that the response contradicted itself.
    """

    request_id: str
    organisation: str
    route: str
    scheduled_s: float
    finished_s: float
    status: int
    outcome: str = ""
    reason: str = ""
    wrong: bool = False
    attempts: int = 1
    deadline_s: float = 2.0

    @property
    def latency_s(self) -> float:
        """Latency from the scheduled time, so that late sending does not hide a delay."""
        return self.finished_s - self.scheduled_s

    @property
    def good(self) -> bool:
        """Whether the response was complete, correct and within the deadline."""
        return 200 <= self.status < 300 and not self.wrong and self.latency_s <= self.deadline_s

    @property
    def refused(self) -> bool:
        """Whether the response says that the request did not run."""
        return self.outcome == "not-run"


@dataclass(frozen=True)
class Execution:
    """One entry of the run log of a target; times in seconds on its monotonic clock.

    `call_id` is the call handle from the header `pollenglade-call`. `end_s` is None while the call
    runs and if the target process ended before it; for a `silent` call it is the time at which the
    target stopped working on the call, which stays open. `result` is `done`, `failed` (a nested
    call failed), `silent` or `cancelled`.
    """

    request_id: str
    service: str
    call_id: str
    idempotency_key: str
    organisation: str
    method: str
    path: str
    start_s: float
    end_s: float | None = None
    result: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
