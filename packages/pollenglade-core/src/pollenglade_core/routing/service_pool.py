"""Endpoints of one service as seen by one entry node: choice, spill-over and ejection."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
from math import inf
from statistics import median
from statistics import median_high

from ..randomness import RandomSource
from .endpoint import Endpoint
from .endpoint import Tracker

DEFAULT_LATENCY_S = 0.05
"""Median before the first sample."""

REFRESH_S = 1.0
"""Seconds between calculations of the median."""

SPILL_INTERVAL_S = 0.1
SPILL_RISE = 0.1
SPILL_FALL = 0.05
"""Steps per interval of the part of calls that leaves the zone.

Small steps keep the entry nodes of a zone from moving all their load to another zone at once.
"""

PRESSURE_RATIO = 0.1
"""Refused part of the calls in the own zone from which calls spill over."""

SCAN_SIZE = 8
"""Endpoints examined for one choice where there are many."""

SLOTS_FACTOR = 2
"""Announced slots count up to this multiple of the median, so that no claim draws load."""

EJECTION_FAILURES = 5
"""Consecutive failures that eject."""

EJECTION_LATENCY_FACTOR = 5.0
EJECTION_LATENCY_MIN_S = 0.25
EJECTION_SAMPLES = 10
"""Latency that ejects: a multiple of the median, a least distance to it, and least samples.

The least distance keeps distant zones, which are slower by the network only, in use.
"""

EJECTION_DIVISOR = 3
"""At most one in this many endpoints is ejected; a fault of the service itself looks the same."""


class ServicePool:
    """Trackers by node; `zone` is the zone of the entry node."""

    def __init__(self, zone: str) -> None:
        self.trackers_by_node: dict[str, Tracker] = {}
        self.spill = 0.0
        self._zone = zone
        self._local: list[Tracker] = []
        self._remote: list[Tracker] = []
        self._median_s = DEFAULT_LATENCY_S
        self._max_slots = 1
        self._serial = 0
        self._next_refresh = -inf
        self._spill_stepped_at = -inf
        self._sent = 0
        self._refused = 0

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the endpoints; known ones keep their measurements."""
        first = not self.trackers_by_node
        self.trackers_by_node = {
            endpoint.node: self._tracker(endpoint, -inf if first else now) for endpoint in endpoints
        }
        trackers = list(self.trackers_by_node.values())
        self._local = [tracker for tracker in trackers if tracker.endpoint.zone == self._zone]
        self._remote = [tracker for tracker in trackers if tracker.endpoint.zone != self._zone]
        if trackers:
            slots = median_high(tracker.endpoint.slots for tracker in trackers)
            self._max_slots = max(1, SLOTS_FACTOR * slots)
        self._return_above_bound(now)

    def choose(self, now: float, excluded: Container[str], source: RandomSource) -> Tracker | None:
        """Return the better of two random endpoints; None where none is usable."""
        self._step(now)
        spills = self.spill > 0.0 and source.random() < self.spill
        groups = (self._remote, self._local) if spills else (self._local, self._remote)
        for group in groups:
            usable = self._usable(group, now, excluded, source)
            if usable:
                return self._better_of_two(usable, now, source)
        return None

    def on_start(self, tracker: Tracker) -> None:
        """Count an attempt."""
        tracker.in_flight += 1
        if tracker.endpoint.zone == self._zone:
            self._sent += 1

    def on_finish(self, tracker: Tracker, now: float, latency_s: float, ok: bool) -> None:
        """End an attempt that was answered by the target or failed."""
        tracker.in_flight -= 1
        if ok:
            tracker.failures = 0
            tracker.add_latency(latency_s, now, self._median_s)
            return
        tracker.add_failure(latency_s, now, self._median_s)
        if tracker.failures >= EJECTION_FAILURES:
            self._eject(tracker, now)

    def on_refusal(self, tracker: Tracker, now: float, draining: bool) -> None:
        """End an attempt that did not run."""
        tracker.in_flight -= 1
        tracker.add_refusal(now, draining)
        if tracker.endpoint.zone == self._zone and not draining:
            self._refused += 1

    def on_cancel(self, tracker: Tracker) -> None:
        """End an attempt that was given up."""
        tracker.in_flight -= 1

    def ejected(self, now: float) -> list[Tracker]:
        """Return the endpoints that are ejected at the moment."""
        return [tracker for tracker in self.trackers_by_node.values() if tracker.is_ejected(now)]

    def _tracker(self, endpoint: Endpoint, ramp_from: float) -> Tracker:
        known = self.trackers_by_node.get(endpoint.node)
        if known is None or known.endpoint.address != endpoint.address:
            self._serial += 1
            return Tracker(endpoint, self._serial, ramp_from)
        was_ready = known.is_ready
        known.endpoint = endpoint
        if known.is_ready and not was_ready:
            known.ramp_from = max(known.ramp_from, ramp_from)
        return known

    def _usable(
        self,
        group: Sequence[Tracker],
        now: float,
        excluded: Container[str],
        source: RandomSource,
    ) -> list[Tracker]:
        if len(group) > SCAN_SIZE:
            drawn = self._usable(source.sample(group, SCAN_SIZE), now, excluded, source)
            if len(drawn) > 1:
                return drawn
        return [
            tracker
            for tracker in group
            if tracker.is_usable(now) and tracker.endpoint.node not in excluded
        ]

    def _better_of_two(self, usable: list[Tracker], now: float, source: RandomSource) -> Tracker:
        drawn = [
            tracker
            for tracker in usable
            if (ramp := tracker.ramp(now)) >= 1.0 or source.random() < ramp
        ]
        drawn = drawn or usable
        if len(drawn) == 1:
            return drawn[0]
        first = source.randrange(0, len(drawn))
        second = source.randrange(0, len(drawn) - 1)
        one, other = drawn[first], drawn[second + (second >= first)]
        one_score = one.score(now, self._median_s, self._max_slots)
        return one if one_score <= other.score(now, self._median_s, self._max_slots) else other

    def _step(self, now: float) -> None:
        """Adjust the spill-over, and from time to time the median and the ejections."""
        if now - self._spill_stepped_at < SPILL_INTERVAL_S:
            return
        if self._is_under_pressure(now):
            self.spill = min(1.0, self.spill + SPILL_RISE)
        elif self.spill:
            intervals = (now - self._spill_stepped_at) // SPILL_INTERVAL_S
            self.spill = max(0.0, self.spill - SPILL_FALL * intervals)
        self._spill_stepped_at = now
        self._sent = 0
        self._refused = 0
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_S
            self._refresh(now)

    def _is_under_pressure(self, now: float) -> bool:
        if self._refused and self._refused >= PRESSURE_RATIO * self._sent:
            return True
        usable = [tracker for tracker in self._local if tracker.is_usable(now)]
        slots = sum(min(tracker.endpoint.slots, self._max_slots) for tracker in usable)
        return bool(usable) and sum(tracker.in_flight for tracker in usable) >= slots

    def _refresh(self, now: float) -> None:
        measured = [
            tracker
            for tracker in self.trackers_by_node.values()
            if tracker.is_usable(now) and tracker.samples
        ]
        if not measured:
            return
        old_s = self._median_s
        self._median_s = median(tracker.latency_s(now, old_s) for tracker in measured)
        threshold_s = max(
            EJECTION_LATENCY_FACTOR * self._median_s, self._median_s + EJECTION_LATENCY_MIN_S
        )
        slow = [
            tracker
            for tracker in measured
            if tracker.samples >= EJECTION_SAMPLES
            and tracker.latency_s(now, self._median_s) > threshold_s
        ]
        for tracker in sorted(slow, key=lambda slow: -slow.latency_s(now, self._median_s)):
            self._eject(tracker, now)

    def _eject(self, tracker: Tracker, now: float) -> None:
        if not tracker.is_ejected(now) and len(self.ejected(now)) < self._ejection_bound():
            tracker.eject(now)

    def _ejection_bound(self) -> int:
        ready = sum(tracker.is_ready for tracker in self.trackers_by_node.values())
        return ready // EJECTION_DIVISOR

    def _return_above_bound(self, now: float) -> None:
        ejected = sorted(self.ejected(now), key=lambda tracker: tracker.ejected_until)
        for tracker in ejected[: max(0, len(ejected) - self._ejection_bound())]:
            tracker.return_early(now)
