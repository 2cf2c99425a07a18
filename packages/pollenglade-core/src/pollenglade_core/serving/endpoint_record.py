"""State of a node's local endpoint according to the endpoint's reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .endpoint_statement import UNKNOWN_INCARNATION
from .endpoint_statement import Departure
from .endpoint_statement import EndpointIdentity
from .endpoint_statement import EndpointStatement
from .endpoint_statement import RateLimitStatement
from .warm_up import WarmUp
from .warm_up import lower_limit

MAX_SLOTS = 100_000
"""Most slots that an endpoint can have."""

REPORT_VALIDITY_S = 5.0
"""Time in seconds after the latest heartbeat of an endpoint from which on heartbeats that seem
older may show that it was none of the endpoint; several are missing then."""

TAKEOVER_REPORTS = 3
"""Heartbeats in the right order that show this; fewer may have been delayed on their way."""


class LocalEndpointState(StrEnum):
    """State of an endpoint; only a ready one gets new requests."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"


class ReportResult(StrEnum):
    """Result of a report: APPLIED, STARTED or the reason why it was ignored.

    STARTED means that it was applied as the first report of a new endpoint or incarnation.
    """

    APPLIED = "applied"
    STARTED = "started"
    OTHER_SERVICE = "other-service"
    OLD_INCARNATION = "old-incarnation"
    OLD_SEQUENCE = "old-sequence"
    ALREADY_LEFT = "already-left"


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """A heartbeat of an endpoint.

    `incarnation` increases with each start of an endpoint on the host, `sequence` with each
    heartbeat of one incarnation. The endpoint stays cold for another `warmup_left_s` seconds.
    """

    endpoint_id: str
    service: str
    address: str
    slots: int
    draining: bool
    incarnation: int
    sequence: int
    warmup_left_s: float = 0.0


class _IgnoredReports:
    """Counts the heartbeats in a row of one endpoint that were ignored as old."""

    def __init__(self) -> None:
        self._identity = EndpointIdentity()
        self._sequence = -1
        self._count = 0

    def count(self, identity: EndpointIdentity, sequence: int) -> int:
        """Add a heartbeat; return how many of this endpoint came in the order of their numbers."""
        if identity != self._identity:
            self._identity, self._sequence, self._count = identity, -1, 0
        if sequence > self._sequence:
            self._sequence = sequence
            self._count += 1
        return self._count


class EndpointRecord:
    """State of the local endpoint; an incarnation that has left is never ready again.

    A heartbeat that seems older than the latest one is ignored. If that one is not followed by any,
    and several that seem older arrive in order, it was not sent by the endpoint, and they count.

    What an endpoint states in its responses belongs to its `identity`, and is discarded when
    another endpoint or incarnation starts. That it leaves may be known from a heartbeat, from its
    deregistration or from a response; all three have the same effect.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._departure: Departure | None = None
        self._sequence = -1
        self._applied_at = 0.0
        self._ignored = _IgnoredReports()
        self._rate_limit = RateLimitStatement()
        self.warm_up = WarmUp()
        self.identity = EndpointIdentity()
        self.state = LocalEndpointState.ABSENT
        self.address = ""
        self.slots = 0

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint; empty if none is known."""
        return self.identity.endpoint_id

    @property
    def rate_limit(self) -> float | None:
        """Requests per second that the endpoint takes, None if it names no limit."""
        return self._rate_limit.per_s

    def effective_rate_limit(self, now: float) -> float | None:
        """Return the lower of the limit that the endpoint names and that of a cold endpoint."""
        return lower_limit(self.rate_limit, self.warm_up.rate_limit(now))

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return self.state is LocalEndpointState.READY

    def apply(self, report: EndpointReport, now: float) -> ReportResult:
        """Apply a heartbeat unless a newer heartbeat or a newer incarnation is known."""
        if report.service != self._service:
            return ReportResult.OTHER_SERVICE
        identity = EndpointIdentity(report.endpoint_id, report.incarnation)
        is_covered = self._departure is not None and self._departure.covers(identity, now)
        started = identity != self.identity
        is_draining = self.state is LocalEndpointState.DRAINING
        reason: ReportResult | None = None
        if report.incarnation < self.identity.incarnation:
            reason = ReportResult.OLD_INCARNATION
        elif (
            not started
            and report.sequence <= self._sequence
            and (is_draining or not report.draining)
        ):
            # A drain that arrives late is not ignored, because it still holds.
            reason = ReportResult.OLD_SEQUENCE
        if is_covered and reason is not ReportResult.OLD_INCARNATION:
            return ReportResult.ALREADY_LEFT
        if reason is not None:
            takes_over = self._ignored.count(identity, report.sequence) >= TAKEOVER_REPORTS
            is_current = is_draining or now < self._applied_at + REPORT_VALIDITY_S
            if is_covered or is_current or not takes_over:
                return reason
        if not started and is_draining:
            # A drain is final: it was acknowledged, and heartbeats that say otherwise may be late.
            self._sequence = report.sequence
            return ReportResult.APPLIED
        if started and not self._is_first_report_of(identity):
            self._rate_limit = RateLimitStatement()
        self.warm_up.on_report(report.warmup_left_s, now)
        self.identity = identity
        self._applied_at = now
        self._ignored = _IgnoredReports()
        self._sequence = report.sequence
        self.address = report.address
        self.slots = report.slots
        self.state = LocalEndpointState.DRAINING if report.draining else LocalEndpointState.READY
        return ReportResult.STARTED if started else ReportResult.APPLIED

    def _is_first_report_of(self, identity: EndpointIdentity) -> bool:
        """Whether a report adds only the incarnation of an endpoint found by a health check."""
        return self.identity == EndpointIdentity(identity.endpoint_id)

    def apply_health_check(self, endpoint_id: str, address: str, slots: int, now: float) -> bool:
        """Mark the endpoint ready after a health check, if no heartbeat has been received yet.

        Returns whether the result was applied.
        """
        identity = EndpointIdentity(endpoint_id)
        if self.state is not LocalEndpointState.ABSENT:
            return False
        if self._departure is not None and self._departure.covers(identity, now):
            return False
        self.identity = identity
        self.address = address
        self.slots = slots
        self.state = LocalEndpointState.READY
        return True

    def apply_statement(
        self,
        statement: EndpointStatement,
        endpoint: EndpointIdentity,
        sent_at: float,
        now: float,
        health_check: bool = False,
    ) -> None:
        """Apply what a response states about the endpoint.

        `endpoint` is the identity of the endpoint when the request was sent, at `sent_at` in
        seconds. A response of an endpoint that has been replaced since is ignored.
        """
        if not self._is_current(endpoint):
            return
        if health_check:
            self._rate_limit.apply_health_check(statement, sent_at, now)
            if statement.warm_up_left_s is not None:
                self.warm_up.on_report(statement.warm_up_left_s, now)
        else:
            self._rate_limit.apply(statement, sent_at, now)
        if statement.leaving:
            self.mark_leaving(endpoint.endpoint_id, now)

    def _is_current(self, endpoint: EndpointIdentity) -> bool:
        incarnation_matches = endpoint.incarnation in (
            self.identity.incarnation,
            UNKNOWN_INCARNATION,
        )
        return endpoint.endpoint_id == self.endpoint_id and incarnation_matches

    def mark_leaving(self, endpoint_id: str, now: float) -> bool:
        """Record that an endpoint is leaving; return False if another endpoint has replaced it."""
        if not self.endpoint_id:
            # This node was restarted and has had no report of the endpoint since.
            self.identity = EndpointIdentity(endpoint_id)
        if endpoint_id != self.endpoint_id:
            return False
        self._departure = Departure(self.identity, now)
        self.state = LocalEndpointState.DRAINING
        return True

    def restore_departure(self, endpoint: EndpointIdentity, at: float, now: float) -> bool:
        """Record a departure that became known at `at`, in seconds, to the node's former process.

        Returns False and does nothing if a later departure or another endpoint is known.
        """
        known = self._departure
        departure = Departure(endpoint, at)
        if known is not None and (
            self.state is not LocalEndpointState.ABSENT
            or endpoint.incarnation <= known.endpoint.incarnation
        ):
            return False
        if self.state is not LocalEndpointState.ABSENT:
            if not departure.covers(self.identity, now):
                return False
            self.state = LocalEndpointState.DRAINING
        self._departure = departure
        return True

    def mark_down(self) -> None:
        """Record that the endpoint refuses connections; the next heartbeat makes it ready again."""
        if self.state is LocalEndpointState.READY:
            self.state = LocalEndpointState.DOWN
