"""State of a node's local endpoint according to the endpoint's reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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
    heartbeat of one incarnation. The endpoint is still slow for another `warmup_left_s` seconds.
    """

    endpoint_id: str
    service: str
    address: str
    slots: int
    draining: bool
    incarnation: int
    sequence: int
    warmup_left_s: float = 0.0


class EndpointRecord:
    """State of the local endpoint; an incarnation that has left is never ready again."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._last_left: tuple[str, int] | None = None
        self._incarnation = -1
        self._sequence = -1
        self.state = LocalEndpointState.ABSENT
        self.endpoint_id = ""
        self.address = ""
        self.slots = 0
        self.warm_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to the endpoint."""
        return self.state is LocalEndpointState.READY

    def apply(self, report: EndpointReport, now: float) -> ReportResult:
        """Apply a heartbeat unless a newer heartbeat or a newer incarnation is known."""
        if report.service != self._service:
            return ReportResult.OTHER_SERVICE
        if report.incarnation < self._incarnation:
            return ReportResult.OLD_INCARNATION
        if (report.endpoint_id, report.incarnation) == self._last_left:
            return ReportResult.ALREADY_LEFT
        started = report.incarnation > self._incarnation or report.endpoint_id != self.endpoint_id
        if not started and report.sequence <= self._sequence:
            return ReportResult.OLD_SEQUENCE
        if not started and self.state is LocalEndpointState.DRAINING:
            # A drain is final: it was acknowledged, and heartbeats that say otherwise may be late.
            self._sequence = report.sequence
            return ReportResult.APPLIED
        self._incarnation = report.incarnation
        self._sequence = report.sequence
        self.endpoint_id = report.endpoint_id
        self.address = report.address
        self.slots = report.slots
        self.warm_at = now + report.warmup_left_s
        self.state = LocalEndpointState.DRAINING if report.draining else LocalEndpointState.READY
        return ReportResult.STARTED if started else ReportResult.APPLIED

    def apply_health_check(self, endpoint_id: str, address: str, slots: int) -> bool:
        """Mark the endpoint ready after a health check, if no heartbeat has been received yet.

        Returns whether the result was applied.
        """
        if self.state is not LocalEndpointState.ABSENT or self._last_left is not None:
            return False
        self.endpoint_id = endpoint_id
        self.address = address
        self.slots = slots
        self.state = LocalEndpointState.READY
        return True

    def mark_leaving(self, endpoint_id: str) -> bool:
        """Record that an endpoint is leaving; return False if another endpoint has replaced it."""
        if endpoint_id != self.endpoint_id:
            return False
        self._last_left = (endpoint_id, self._incarnation)
        self.state = LocalEndpointState.DRAINING
        return True

    def mark_down(self) -> None:
        """Record that the endpoint refuses connections; the next heartbeat makes it ready again."""
        if self.state is LocalEndpointState.READY:
            self.state = LocalEndpointState.DOWN
