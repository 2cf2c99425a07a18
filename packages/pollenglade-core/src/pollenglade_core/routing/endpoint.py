"""Endpoints of a service and what one entry node has measured about each."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from math import exp2
from math import inf

RAMP_S = 10.0
"""Time over which a new endpoint gets its full part of the calls."""

MIN_RAMP = 0.05
"""Part of the calls that a new endpoint gets at once."""

LATENCY_WEIGHT = 0.2
"""Weight of one sample in the latency estimate."""

LATENCY_HALF_LIFE_S = 5.0
"""Half-life of the distance to the median while an endpoint is idle, so that it is tried again."""

MAX_LATENCY_S = 30.0
"""Largest estimate; no deadline is longer."""

FAILURE_FACTOR = 2.0
"""A failure counts as this multiple of the estimate.

Fast failures would otherwise look like low latency and draw calls.
"""

REFUSAL_S = 0.25
REFUSAL_FACTOR = 4.0
"""Factor on the score of an endpoint that refused a call within REFUSAL_S."""

DRAIN_HOLD_S = 3.0
"""Time without calls after a refusal for draining; by then the announcement has arrived."""

EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
"""An ejection lasts EJECTION_S, doubled with each further one, up to MAX_EJECTION_S."""

EJECTION_FORGET_S = 60.0
"""Time since the end of an ejection after which the next one starts at EJECTION_S again."""


class EndpointState(StrEnum):
    """State in the announcement of an endpoint."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One target of a service, reached through the node on its host.

    `slots` is announced by the target and only a hint.
    """

    node: str
    service: str
    zone: str
    address: str
    slots: int
    state: EndpointState = EndpointState.READY


@dataclass(frozen=True, slots=True)
class Route:
    """The endpoint chosen for one attempt; `serial` tells a returned endpoint from a former one."""

    node: str
    service: str
    zone: str
    address: str
    serial: int = 0


@dataclass(slots=True)
class Tracker:
    """Own measurements of one endpoint; `ramp_from` is when its ramp-up began."""

    endpoint: Endpoint
    serial: int
    ramp_from: float
    in_flight: int = 0
    failures: int = 0
    samples: int = 0
    ejected_until: float = -inf
    route: Route = field(init=False)
    _ejections: int = 0
    _latency_s: float = 0.0
    _sampled_at: float = 0.0
    _refused_until: float = -inf
    _held_until: float = -inf

    def __post_init__(self) -> None:
        at = self.endpoint
        self.route = Route(at.node, at.service, at.zone, at.address, self.serial)

    @property
    def is_ready(self) -> bool:
        """Return whether the endpoint announces that it takes calls."""
        return self.endpoint.state is EndpointState.READY

    def is_ejected(self, now: float) -> bool:
        """Return whether an ejection is running."""
        return now < self.ejected_until

    def is_usable(self, now: float) -> bool:
        """Return whether a new call may be sent."""
        return self.is_ready and now >= self.ejected_until and now >= self._held_until

    def ramp(self, now: float) -> float:
        """Return the part of its calls that the endpoint gets, up to 1."""
        return min(1.0, max(MIN_RAMP, (now - self.ramp_from) / RAMP_S))

    def latency_s(self, now: float, median_s: float) -> float:
        """Return the latency estimate; `median_s` is that of the service."""
        if not self.samples:
            return median_s
        idle = max(0.0, now - self._sampled_at)
        return median_s + (self._latency_s - median_s) * exp2(-idle / LATENCY_HALF_LIFE_S)

    def score(self, now: float, median_s: float, max_slots: int) -> float:
        """Return the expected cost of one more call; lower is better."""
        slots = max(1, min(self.endpoint.slots, max_slots))
        score = (self.in_flight + 1) * self.latency_s(now, median_s) / slots
        return score * REFUSAL_FACTOR if now < self._refused_until else score

    def add_latency(self, latency_s: float, now: float, median_s: float) -> None:
        """Add one sample to the estimate."""
        estimate = self.latency_s(now, median_s) if self.samples else latency_s
        estimate += LATENCY_WEIGHT * (latency_s - estimate)
        self._latency_s = min(MAX_LATENCY_S, estimate)
        self._sampled_at = now
        self.samples += 1

    def add_failure(self, latency_s: float, now: float, median_s: float) -> None:
        """Count a failed call."""
        self.failures += 1
        estimate = self.latency_s(now, median_s)
        self.add_latency(max(latency_s, FAILURE_FACTOR * estimate), now, median_s)

    def add_refusal(self, now: float, draining: bool) -> None:
        """Prefer other endpoints for a short time, and use none that drains."""
        self._refused_until = now + REFUSAL_S
        if draining:
            self._held_until = now + DRAIN_HOLD_S

    def eject(self, now: float) -> None:
        """Stop sending calls, longer with each ejection; afterwards the ramp-up starts again."""
        if now - self.ejected_until > EJECTION_FORGET_S:
            self._ejections = 0
        duration = min(MAX_EJECTION_S, EJECTION_S * 2.0 ** min(self._ejections, 10))
        self._ejections += 1
        self.ejected_until = now + duration
        self.ramp_from = self.ejected_until
        self.failures = 0
        self.samples = 0

    def return_early(self, now: float) -> None:
        """End an ejection; the ramp-up starts now."""
        self.ejected_until = now
        self.ramp_from = now
