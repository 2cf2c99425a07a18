"""Outcomes of calls, and refusals with their reasons and HTTP statuses."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a call was run, as far as the node knows."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a call was refused or failed."""

    BAD_REQUEST = "bad-request"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_WITHDRAWN = "key-withdrawn"
    # A part of the request that the target would receive contains the secret of a key.
    KEY_EXPOSED = "key-exposed"
    HANDLE_UNKNOWN = "handle-unknown"
    SERVICE_UNKNOWN = "service-unknown"
    # The profile of the service has no contract for the organisation.
    NO_CONTRACT = "no-contract"
    OVER_RATE = "over-rate"
    # Refused for load at the entry node, by a full queue, or because the expected wait is too long.
    OVERLOADED = "overloaded"
    # The call waited in the queue of the target for the longest permitted time.
    QUEUE_DELAY = "queue-delay"
    # The call must not wait, and no slot of the target was free.
    NO_FREE_SLOT = "no-free-slot"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    DRAINING = "draining"
    TOO_DEEP = "too-deep"
    NOT_CONFIGURED = "not-configured"
    QUARANTINED = "quarantined"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "in-progress"
    RETRIES_EXHAUSTED = "retries-exhausted"
    TARGET_FAILED = "target-failed"
    # The target received the call and responded that it did not run it.
    TARGET_SHED = "target-shed"
    LINK_FAILED = "link-failed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.KEY_EXPOSED: 400,
    Reason.HANDLE_UNKNOWN: 401,
    Reason.SERVICE_UNKNOWN: 404,
    Reason.NO_CONTRACT: 403,
    Reason.OVER_RATE: 429,
    Reason.OVERLOADED: 503,
    Reason.QUEUE_DELAY: 503,
    Reason.NO_FREE_SLOT: 503,
    Reason.DEADLINE: 504,
    Reason.NO_TARGET: 503,
    Reason.DRAINING: 503,
    Reason.TOO_DEEP: 508,
    Reason.NOT_CONFIGURED: 503,
    Reason.QUARANTINED: 503,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.RETRIES_EXHAUSTED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_SHED: 503,
    Reason.LINK_FAILED: 502,
    Reason.TIMEOUT: 504,
    Reason.CANCELLED: 499,
}
"""HTTP status of the response by reason."""

CAPACITY_REASONS = frozenset({Reason.OVERLOADED, Reason.QUEUE_DELAY, Reason.TARGET_SHED})
"""Reasons that indicate a lack of capacity at the target or in its queue."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The result of a call whose caller does not get the response of a target.

    `retry_after_s` is the delay in seconds after which a retry may succeed; None if a retry cannot
    succeed. `detail` is sent to the caller.
    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""
        return STATUS_BY_REASON[self.reason]
