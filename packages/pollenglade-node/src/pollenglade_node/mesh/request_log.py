"""Log lines of requests and attempts.

Refused, failed, retried and late requests are logged up to a rate limit, the others as a sample.
"""

from __future__ import annotations

from collections import Counter
from time import monotonic
from typing import Protocol

import structlog

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route

from .mesh_metrics import LatencyHistogram
from .request_result import SERVED
from .request_result import RequestResult
from .stage import Stage

MAX_LINES_PER_REASON_PER_S = 5
"""Upper bound on log lines per reason and second; further ones are logged as one count."""

SERVED_SAMPLE_INTERVAL = 200
"""One of this many requests that were served in time at the first attempt is logged."""

log = structlog.get_logger()


class LoggedAttempt(Protocol):
    """Fields of an attempt at the local endpoint that are logged."""

    request_id: bytes
    context: CallContext

    @property
    def stage(self) -> Stage:
        """How far the attempt has progressed."""

    @property
    def age_s(self) -> float:
        """Time in seconds since the attempt arrived at this node."""


class LoggedCall(Protocol):
    """Fields of a request that are logged."""

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
        """Id of the parent request, or None."""

    @property
    def serving_node(self) -> str:
        """Node of the latest attempt; empty before the first."""


class RequestLog:
    """Logs requests and attempts, and counts responses by status and reason."""

    def __init__(self) -> None:
        self._second = 0
        self._lines_by_reason: Counter[str] = Counter()
        self._suppressed_by_reason: Counter[str] = Counter()
        self._served_count = 0
        self.answers: Counter[tuple[int, str]] = Counter()
        self.cancelled_by_stage: Counter[Stage] = Counter()
        self.latency = LatencyHistogram()

    def on_finished(self, call: LoggedCall, result: RequestResult) -> None:
        """Count a request that was routed, and log it if its result or the sample requires it."""
        self.answers[(result.status, result.reason)] += 1
        now = monotonic()
        late = now > call.objective_at
        self.latency.add(result.reason, now - call.started_at)
        reason = result.reason
        if reason == SERVED and call.attempts <= 1 and not late:
            self._served_count += 1
            if self._served_count % SERVED_SAMPLE_INTERVAL:
                return
        elif reason == SERVED:
            reason = "late" if late else "repeated"
        if not self._is_within_line_limit(reason, now):
            return
        log.info(
            "request",
            request=call.request_id,
            parent=call.parent_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation.name if call.organisation is not None else None,
            decision=reason,
            status=result.status,
            detail=result.detail or None,
            attempts=call.attempts,
            placements=call.placements,
            serving_node=call.serving_node,
            policy=call.policy_version,
            ms=round((now - call.started_at) * 1000, 1),
        )

    def on_attempt_failed(self, call: LoggedAttempt, refusal: Refusal, load: EndpointLoad) -> None:
        """Log an attempt at the local endpoint that ended without a response."""
        if not self._is_within_line_limit(f"attempt-{refusal.reason.value}", monotonic()):
            return
        log.info(
            "attempt",
            request=call.request_id.decode("latin-1"),
            service=call.context.service,
            decision=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail or None,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            rate_limit=load.rate_limit,
            left_ms=round(call.context.remaining_s(monotonic()) * 1000),
        )

    def on_attempt_cancelled(self, call: LoggedAttempt) -> None:
        """Count and log an attempt at this node that the entry node cancelled."""
        self.cancelled_by_stage[call.stage] += 1
        decision = f"attempt-{Reason.CANCELLED.value}"
        if not self._is_within_line_limit(decision, monotonic()):
            return
        log.info(
            "attempt",
            request=call.request_id.decode("latin-1"),
            service=call.context.service,
            decision=Reason.CANCELLED.value,
            stage=call.stage.value,
            ms=round(call.age_s * 1000, 1),
        )

    def on_refused_early(self, request_id: str, status: int, reason: str, policy: int) -> None:
        """Count and log a request that was refused before it had a route and an organisation."""
        self.answers[(status, reason)] += 1
        if self._is_within_line_limit(reason, monotonic()):
            log.info("request", request=request_id, decision=reason, status=status, policy=policy)

    def _is_within_line_limit(self, reason: str, now: float) -> bool:
        second = int(now)
        if second != self._second:
            self._second = second
            self._lines_by_reason.clear()
            if self._suppressed_by_reason:
                log.info("request_lines_left_out", by_reason=dict(self._suppressed_by_reason))
                self._suppressed_by_reason.clear()
        self._lines_by_reason[reason] += 1
        if self._lines_by_reason[reason] <= MAX_LINES_PER_REASON_PER_S:
            return True
        self._suppressed_by_reason[reason] += 1
        return False
