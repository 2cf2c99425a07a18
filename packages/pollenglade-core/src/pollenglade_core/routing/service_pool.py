"""Endpoints of one service at one entry node: choice, spill-over to other zones and ejection.

The node's own interface uses this module; the mesh node chooses endpoints by `dispatch.peer_view`.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
from math import inf
from statistics import median
from statistics import median_high

from ..randomness import RandomSource
from .endpoint import Endpoint
from .endpoint import EndpointTracker

DEFAULT_LATENCY_S = 0.05
"""Median latency of a service in seconds before the first sample."""

MEDIAN_REFRESH_S = 1.0
"""Interval in seconds between calculations of the median latency."""

SPILL_INTERVAL_S = 0.1
"""Interval in seconds between changes of the fraction of calls sent to other zones."""

SPILL_RISE_STEP = 0.1
"""Rise of the fraction of calls sent to other zones per interval.

Small steps prevent the entry nodes of a zone from moving all their load to another zone at once.
"""

SPILL_FALL_STEP = 0.05
"""Fall of the fraction of calls sent to other zones per interval; small for the same reason."""

SPILL_REFUSED_FRACTION = 0.1
"""Refused fraction of the calls in the local zone at which calls spill over to other zones."""

MAX_CANDIDATES = 8
"""Number of endpoints sampled for one choice if there are more."""

MAX_SLOTS_FACTOR = 2
"""Multiple of the median up to which announced slots count.

An endpoint that announces too many slots must not attract load.
"""

EJECTION_FAILURES = 5
"""Number of consecutive failures at which an endpoint is ejected."""

EJECTION_LATENCY_FACTOR = 5.0
"""Multiple of the median latency above which an endpoint is ejected."""

EJECTION_LATENCY_EXCESS_S = 0.25
"""Minimum difference in seconds to the median latency at which an endpoint is ejected.

It keeps endpoints in distant zones, which are slower only because of the network, in use.
"""

EJECTION_MIN_SAMPLES = 10
"""Minimum number of samples before an endpoint is ejected because of its latency."""

EJECTION_DIVISOR = 3
"""Divisor of the number of ready endpoints: at most one third of them is ejected at a time.

A fault of the service itself looks like a fault of all its endpoints, and must not eject them all.
"""


class ServicePool:
    """The endpoints of a service by node; `zone` is the zone of the entry node."""

    def __init__(self, zone: str) -> None:
        self.trackers_by_node: dict[str, EndpointTracker] = {}
        self.spill_fraction = 0.0
        self._zone = zone
        self._local: list[EndpointTracker] = []
        self._remote: list[EndpointTracker] = []
        self._median_s = DEFAULT_LATENCY_S
        self._max_counted_slots = 1
        self._serial = 0
        self._next_refresh_at = -inf
        self._spill_updated_at = -inf
        self._sent_locally = 0
        self._refused_locally = 0

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the endpoints; endpoints that stay keep their measurements."""
        is_first_update = not self.trackers_by_node
        self.trackers_by_node = {
            endpoint.node: self._updated_tracker(endpoint, -inf if is_first_update else now)
            for endpoint in endpoints
        }
        trackers = list(self.trackers_by_node.values())
        self._local = [tracker for tracker in trackers if tracker.endpoint.zone == self._zone]
        self._remote = [tracker for tracker in trackers if tracker.endpoint.zone != self._zone]
        if trackers:
            slots = median_high(tracker.endpoint.slots for tracker in trackers)
            self._max_counted_slots = max(1, MAX_SLOTS_FACTOR * slots)
        self._end_excess_ejections(now)

    def choose(
        self, now: float, excluded: Container[str], random_source: RandomSource
    ) -> EndpointTracker | None:
        """Return the better of two random usable endpoints, or None if there is none.

        Endpoints in other zones are used for spill-over and if none in the local zone is usable.
        """
        self._refresh(now)
        spills_over = self.spill_fraction > 0.0 and random_source.random() < self.spill_fraction
        tracker_groups = (self._remote, self._local) if spills_over else (self._local, self._remote)
        for trackers in tracker_groups:
            usable = self._usable(trackers, now, excluded, random_source)
            if usable:
                return self._better_of_two(usable, now, random_source)
        return None

    def on_start(self, tracker: EndpointTracker) -> None:
        """Record the start of an attempt."""
        tracker.in_flight += 1
        if tracker.endpoint.zone == self._zone:
            self._sent_locally += 1

    def on_finish(self, tracker: EndpointTracker, now: float, latency_s: float, ok: bool) -> None:
        """Record the end of an attempt that the target answered or that failed."""
        tracker.in_flight -= 1
        if ok:
            tracker.failures = 0
            tracker.add_latency(latency_s, now, self._median_s)
            return
        tracker.add_failure(latency_s, now, self._median_s)
        if tracker.failures >= EJECTION_FAILURES:
            self._eject(tracker, now)

    def on_refusal(self, tracker: EndpointTracker, now: float, draining: bool) -> None:
        """Record the end of an attempt that was refused without running."""
        tracker.in_flight -= 1
        tracker.add_refusal(now, draining)
        if tracker.endpoint.zone == self._zone and not draining:
            self._refused_locally += 1

    def on_cancel(self, tracker: EndpointTracker) -> None:
        """Record the end of an attempt that was cancelled."""
        tracker.in_flight -= 1

    def ejected(self, now: float) -> list[EndpointTracker]:
        """Return the endpoints that are ejected at the moment."""
        return [tracker for tracker in self.trackers_by_node.values() if tracker.is_ejected(now)]

    def _updated_tracker(self, endpoint: Endpoint, ramp_started_at: float) -> EndpointTracker:
        tracker = self.trackers_by_node.get(endpoint.node)
        if tracker is None or tracker.endpoint.address != endpoint.address:
            self._serial += 1
            return EndpointTracker(endpoint, self._serial, ramp_started_at)
        was_ready = tracker.is_ready
        tracker.endpoint = endpoint
        if tracker.is_ready and not was_ready:
            tracker.ramp_started_at = max(tracker.ramp_started_at, ramp_started_at)
        return tracker

    def _usable(
        self,
        trackers: Sequence[EndpointTracker],
        now: float,
        excluded: Container[str],
        random_source: RandomSource,
    ) -> list[EndpointTracker]:
        if len(trackers) > MAX_CANDIDATES:
            candidates = self._usable(
                random_source.sample(trackers, MAX_CANDIDATES), now, excluded, random_source
            )
            if len(candidates) > 1:
                return candidates
        return [
            tracker
            for tracker in trackers
            if tracker.is_usable(now) and tracker.endpoint.node not in excluded
        ]

    def _better_of_two(
        self, usable: list[EndpointTracker], now: float, random_source: RandomSource
    ) -> EndpointTracker:
        candidates = [
            tracker
            for tracker in usable
            if (ramp_fraction := tracker.ramp_fraction(now)) >= 1.0
            or random_source.random() < ramp_fraction
        ]
        candidates = candidates or usable
        if len(candidates) == 1:
            return candidates[0]
        first_index = random_source.randrange(0, len(candidates))
        second_index = random_source.randrange(0, len(candidates) - 1)
        first, second = (
            candidates[first_index],
            candidates[second_index + (second_index >= first_index)],
        )
        first_score = first.score(now, self._median_s, self._max_counted_slots)
        return (
            first
            if first_score <= second.score(now, self._median_s, self._max_counted_slots)
            else second
        )

    def _refresh(self, now: float) -> None:
        """Update the spill-over fraction and, less often, the median latency and the ejections."""
        if now - self._spill_updated_at < SPILL_INTERVAL_S:
            return
        if self._is_overloaded(now):
            self.spill_fraction = min(1.0, self.spill_fraction + SPILL_RISE_STEP)
        elif self.spill_fraction:
            intervals = (now - self._spill_updated_at) // SPILL_INTERVAL_S
            self.spill_fraction = max(0.0, self.spill_fraction - SPILL_FALL_STEP * intervals)
        self._spill_updated_at = now
        self._sent_locally = 0
        self._refused_locally = 0
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + MEDIAN_REFRESH_S
            self._refresh_median(now)

    def _is_overloaded(self, now: float) -> bool:
        if (
            self._refused_locally
            and self._refused_locally >= SPILL_REFUSED_FRACTION * self._sent_locally
        ):
            return True
        usable = [tracker for tracker in self._local if tracker.is_usable(now)]
        slots = sum(min(tracker.endpoint.slots, self._max_counted_slots) for tracker in usable)
        return bool(usable) and sum(tracker.in_flight for tracker in usable) >= slots

    def _refresh_median(self, now: float) -> None:
        measured = [
            tracker
            for tracker in self.trackers_by_node.values()
            if tracker.is_usable(now) and tracker.samples
        ]
        if not measured:
            return
        previous_median_s = self._median_s
        self._median_s = median(tracker.latency_s(now, previous_median_s) for tracker in measured)
        threshold_s = max(
            EJECTION_LATENCY_FACTOR * self._median_s, self._median_s + EJECTION_LATENCY_EXCESS_S
        )
        slow_trackers = [
            tracker
            for tracker in measured
            if tracker.samples >= EJECTION_MIN_SAMPLES
            and tracker.latency_s(now, self._median_s) > threshold_s
        ]
        for tracker in sorted(
            slow_trackers, key=lambda tracker: -tracker.latency_s(now, self._median_s)
        ):
            self._eject(tracker, now)

    def _eject(self, tracker: EndpointTracker, now: float) -> None:
        if not tracker.is_ejected(now) and len(self.ejected(now)) < self._max_ejected():
            tracker.eject(now)

    def _max_ejected(self) -> int:
        ready = sum(tracker.is_ready for tracker in self.trackers_by_node.values())
        return ready // EJECTION_DIVISOR

    def _end_excess_ejections(self, now: float) -> None:
        ejected = sorted(self.ejected(now), key=lambda tracker: tracker.ejected_until)
        for tracker in ejected[: max(0, len(ejected) - self._max_ejected())]:
            tracker.end_ejection(now)
