"""Endpoints of a service and the measurements of one entry node for each of them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from math import exp2
from math import inf

RAMP_UP_S = 10.0
"""Time in seconds within which a new endpoint ramps up to its full share of the calls."""

MIN_RAMP_FRACTION = 0.05
"""Fraction of its share of the calls that a new endpoint gets at once."""

LATENCY_WEIGHT = 0.2
"""Weight of one sample in the latency estimate."""

LATENCY_HALF_LIFE_S = 5.0
"""Half-life in seconds of the difference between estimate and median while an endpoint is idle.

The estimate approaches the median, so that a slow endpoint is tried again.
"""

MAX_LATENCY_S = 30.0
"""Upper bound on the latency estimate in seconds; a profile permits deadlines of up to 25 s."""

FAILURE_FACTOR = 2.0
"""Minimum latency that a failure counts as, in multiples of the estimate.

Fast failures would otherwise look like low latency and attract calls.
"""

REFUSAL_PENALTY_S = 0.25
"""Time in seconds after a refusal for which REFUSAL_PENALTY_FACTOR applies."""

REFUSAL_PENALTY_FACTOR = 4.0
"""Factor on the score of an endpoint that recently refused a call."""

DRAIN_AVOIDANCE_S = 3.0
"""Time in seconds for which an endpoint gets no calls after it refused one because of draining.

By then the announcement that it is draining has arrived.
"""

MIN_EJECTION_S = 5.0
"""Duration of the first ejection in seconds; it doubles with each further ejection."""

MAX_EJECTION_S = 300.0
"""Upper bound on the duration of an ejection in seconds."""

EJECTION_RESET_S = 60.0
"""Time in seconds after an ejection until the next one lasts only MIN_EJECTION_S again."""


class AnnouncedState(StrEnum):
    """State that an endpoint announces."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One target of a service, reached through the node on its host.

    `slots` is announced by the target and not reliable.
    """

    node: str
    service: str
    zone: str
    address: str
    slots: int
    state: AnnouncedState = AnnouncedState.READY


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """The endpoint chosen for one attempt.

    `serial` distinguishes an endpoint that has returned from the former one at the same node.
    """

    node: str
    service: str
    zone: str
    address: str
    serial: int = 0


@dataclass(slots=True)
class EndpointTracker:
    """This node's measurements of one endpoint.

    `failures` counts consecutive failures, `samples` the latency samples since the last ejection.
    """

    endpoint: Endpoint
    serial: int
    ramp_started_at: float
    in_flight: int = 0
    failures: int = 0
    samples: int = 0
    ejected_until: float = -inf
    route: ChosenEndpoint = field(init=False)
    _ejection_count: int = 0
    _latency_s: float = 0.0
    _last_sample_at: float = 0.0
    _penalised_until: float = -inf
    _avoided_until: float = -inf

    def __post_init__(self) -> None:
        endpoint = self.endpoint
        self.route = ChosenEndpoint(
            endpoint.node, endpoint.service, endpoint.zone, endpoint.address, self.serial
        )

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint announces that it accepts calls."""
        return self.endpoint.state is AnnouncedState.READY

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected at the moment."""
        return now < self.ejected_until

    def is_usable(self, now: float) -> bool:
        """Return whether new calls may be sent to the endpoint."""
        return self.is_ready and now >= self.ejected_until and now >= self._avoided_until

    def ramp_fraction(self, now: float) -> float:
        """Return the fraction of its share of calls that the endpoint gets; 1 after the ramp-up."""
        return min(1.0, max(MIN_RAMP_FRACTION, (now - self.ramp_started_at) / RAMP_UP_S))

    def latency_s(self, now: float, median_s: float) -> float:
        """Return the latency estimate in seconds; `median_s` is the median of the service."""
        if not self.samples:
            return median_s
        idle_s = max(0.0, now - self._last_sample_at)
        return median_s + (self._latency_s - median_s) * exp2(-idle_s / LATENCY_HALF_LIFE_S)

    def score(self, now: float, median_s: float, max_slots: int) -> float:
        """Return the expected cost of one more call; lower is better."""
        slots = max(1, min(self.endpoint.slots, max_slots))
        score = (self.in_flight + 1) * self.latency_s(now, median_s) / slots
        return score * REFUSAL_PENALTY_FACTOR if now < self._penalised_until else score

    def add_latency(self, latency_s: float, now: float, median_s: float) -> None:
        """Add one sample to the estimate."""
        estimate = self.latency_s(now, median_s) if self.samples else latency_s
        estimate += LATENCY_WEIGHT * (latency_s - estimate)
        self._latency_s = min(MAX_LATENCY_S, estimate)
        self._last_sample_at = now
        self.samples += 1

    def add_failure(self, latency_s: float, now: float, median_s: float) -> None:
        """Count a failed call."""
        self.failures += 1
        estimate = self.latency_s(now, median_s)
        self.add_latency(max(latency_s, FAILURE_FACTOR * estimate), now, median_s)

    def add_refusal(self, now: float, draining: bool) -> None:
        """Record a refused call; avoid the endpoint for some time, entirely if it is draining."""
        self._penalised_until = now + REFUSAL_PENALTY_S
        if draining:
            self._avoided_until = now + DRAIN_AVOIDANCE_S

    def eject(self, now: float) -> None:
        """Stop sending calls for a time that grows with each ejection, then ramp up again."""
        if now - self.ejected_until > EJECTION_RESET_S:
            self._ejection_count = 0
        duration_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2.0 ** min(self._ejection_count, 10))
        self._ejection_count += 1
        self.ejected_until = now + duration_s
        self.ramp_started_at = self.ejected_until
        self.failures = 0
        self.samples = 0

    def end_ejection(self, now: float) -> None:
        """End an ejection early; the ramp-up starts at `now`."""
        self.ejected_until = now
        self.ramp_started_at = now
