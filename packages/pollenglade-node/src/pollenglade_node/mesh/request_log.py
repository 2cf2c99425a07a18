"""One line for each request that was refused, failed, repeated or late; a sample of the others."""

from __future__ import annotations

from collections import Counter
from time import monotonic
from typing import Protocol

import structlog

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route

from .final_answer import SERVED
from .final_answer import FinalAnswer
from .mesh_metrics import LatencyHistogram
from .stage import Stage

LINES_PER_REASON_AND_S = 5
"""Request lines of one reason and second; further ones are counted and reported together."""

SERVED_SAMPLE = 200
"""Every so many served requests have a line."""

log = structlog.get_logger()


class LoggedAttempt(Protocol):
    """What the log tells of an attempt at the endpoint."""

    request_id: bytes
    context: CallContext

    @property
    def stage(self) -> Stage:
        """What holds the work of the attempt."""

    @property
    def age_s(self) -> float:
        """Time in seconds since the attempt came to this node."""


class LoggedCall(Protocol):
    """What the log tells of a request."""

    request_id: str
    route: Route
    service: str
    organisation: Organisation | None
    objective_at: float
    started_at: float
    attempts: int
    placements: int
    policy_version: int

    @property
    def parent_id(self) -> str | None:
        """Id of the request whose run made this one."""

    @property
    def endpoint_node(self) -> str:
        """Node of the latest attempt."""


class RequestLog:
    """Writes request lines and counts answers by reason."""

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_reason: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._served = 0
        self.answers: Counter[tuple[int, str]] = Counter()
        self.cancelled_by_stage: Counter[Stage] = Counter()
        self.latency = LatencyHistogram()

    def on_final(self, call: LoggedCall, final: FinalAnswer) -> None:
        """Take the end of a request that had a route."""
        self.answers[(final.status, final.reason)] += 1
        now = monotonic()
        late = now > call.objective_at
        self.latency.add(final.reason, now - call.started_at)
        reason = final.reason
        if reason == SERVED and call.attempts <= 1 and not late:
            self._served += 1
            if self._served % SERVED_SAMPLE:
                return
        elif reason == SERVED:
            reason = "late" if late else "repeated"
        if not self._may_write(reason, now):
            return
        log.info(
            "request",
            request=call.request_id,
            parent=call.parent_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation.name if call.organisation is not None else None,
            decision=reason,
            status=final.status,
            detail=final.detail or None,
            attempts=call.attempts,
            placements=call.placements,
            serving_node=call.endpoint_node,
            policy=call.policy_version,
            ms=round((now - call.started_at) * 1000, 1),
        )

    def on_attempt(self, call: LoggedAttempt, refusal: Refusal, load: tuple[float, ...]) -> None:
        """Take an attempt at the endpoint of this node that has no response."""
        if not self._may_write(f"attempt-{refusal.reason.value}", monotonic()):
            return
        running, waiting, limit = load[:3]
        log.info(
            "attempt",
            request=call.request_id.decode("latin-1"),
            service=call.context.service,
            decision=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail or None,
            running=running,
            waiting=waiting,
            limit=limit,
            left_ms=round(call.context.remaining_s(monotonic()) * 1000),
        )

    def on_attempt_cancelled(self, call: LoggedAttempt) -> None:
        """Take an attempt at this node that the entry node gives up."""
        self.cancelled_by_stage[call.stage] += 1
        decision = f"attempt-{Reason.CANCELLED.value}"
        if not self._may_write(decision, monotonic()):
            return
        log.info(
            "attempt",
            request=call.request_id.decode("latin-1"),
            service=call.context.service,
            decision=Reason.CANCELLED.value,
            stage=call.stage.value,
            ms=round(call.age_s * 1000, 1),
        )

    def on_rejected(self, request_id: str, status: int, reason: str, policy: int) -> None:
        """Take a request that had no route or no organisation."""
        self.answers[(status, reason)] += 1
        if self._may_write(reason, monotonic()):
            log.info("request", request=request_id, decision=reason, status=status, policy=policy)

    def _may_write(self, reason: str, now: float) -> bool:
        second = int(now)
        if second != self._second:
            self._second = second
            self._lines_by_reason.clear()
            if self._left_out:
                log.info("request_lines_left_out", by_reason=dict(self._left_out))
                self._left_out.clear()
        self._lines_by_reason[reason] += 1
        if self._lines_by_reason[reason] <= LINES_PER_REASON_AND_S:
            return True
        self._left_out[reason] += 1
        return False
