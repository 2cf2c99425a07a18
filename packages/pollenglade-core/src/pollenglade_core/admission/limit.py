"""Limits on the number of calls that one target runs at the same time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import sqrt
from statistics import median
from typing import Protocol

UNLIMITED = 1 << 31
"""Limit that no target reaches."""

MAX_LIMIT = 1_000
"""Largest limit that a measured limit grows to."""

MIN_LIMIT = 4
"""Smallest floor of a target with at least as many slots.

Below it one slow call would hold back all others. A target with fewer slots starts with its own
number; the calls above it would only wait inside the target, where they cannot be refused.
"""

FLOOR_RATIO = 0.2
"""Part of the starting value that always remains usable.

A dependency that slows down makes calls longer without a queue at this target. A lower limit does
not shorten them, it only lowers the throughput.
"""

WINDOW_S = 0.1
MAX_WINDOW_S = 0.5
WINDOW_SAMPLES = 20
"""A window closes after WINDOW_S with enough samples, or after MAX_WINDOW_S with any."""

MAX_SAMPLES = 256
"""Samples kept per window; bounds the cost of the median."""

TOLERANCE = 2.0
"""Ratio of measured latency to baseline up to which the limit does not fall.

It bounds the queue inside a target that is in full use. With 1.5 the limit falls at ordinary
variation of the latency, and organisations within their rate were refused beside a surging one.
"""

MIN_BASELINE_S = 1e-6
"""Resolution of the clock; a call can take no measurable time."""

MIN_GRADIENT = 0.5
"""Largest cut by one window."""

IN_USE_RATIO = 0.75
"""Part of the limit that must be in flight for the limit to grow."""

RECOVERY_GROWTH = 1.5
"""Factor per window up to the recovery target."""

RECOVERY_RATIO = 0.9
"""Recovery target in relation to the limit at which the latency rose.

Below 1, so that repeated falls without an outside cause settle at a limit that holds.
"""

BASELINE_FALL = 0.1
"""Weight of one window that is faster than the baseline; about 1 s to adopt it."""

BASELINE_RISE_S = 60.0
"""Time constant in seconds with which the baseline follows slower windows."""

FAILURE_RATIO = 0.1
FAILURE_GRADIENT = 0.9
"""Gradient of a window in which more than FAILURE_RATIO of the calls failed."""

PROBE_INTERVAL_S = 10.0
"""Seconds between cuts that measure the latency without a queue at the target."""

PROBE_INTERVAL_LATENCIES = 50
"""Least distance of probes in latencies; bounds the part of the time spent in probes to 4 %."""

PROBE_CUT = 0.25
"""Part of the limit that stays usable during a probe.

It has to be well below 1 / TOLERANCE. With a smaller cut the latency falls by no more than the
tolerance, so the measured baseline would still justify the limit from before the probe.
"""

PROBE_VARIATION = 1.15
"""Rise of the latency in a probe that is ordinary variation of the calls and no other baseline."""


class ConcurrencyLimit(Protocol):
    """Decides how many calls a target may run at the same time."""

    @property
    def limit(self) -> int:
        """Calls that may be in flight."""

    @property
    def is_probing(self) -> bool:
        """Whether the limit is lower than the target allows, for a measurement."""

    def on_start(self, now: float) -> None:
        """Note that a call was sent to the target."""

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Note that a call ended; `in_flight` counts it, `ok` is False for timeouts and sheds.

        Calls of the same `kind` are expected to take similar times.
        """


@dataclass(frozen=True, slots=True)
class FixedLimit:
    """The same limit at all times."""

    limit: int
    is_probing: bool = False

    def on_start(self, now: float) -> None:
        """Do nothing."""

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class NoLimit:
    """Admits every call; the reference in measurements."""

    limit: int = UNLIMITED
    is_probing: bool = False

    def on_start(self, now: float) -> None:
        """Do nothing."""

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Do nothing."""


class GradientLimit:
    """Follows the ratio of a slowly rising baseline to the measured median latency.

    Each kind of call has its own baseline. Shedding changes the mix of calls; with one baseline a
    larger part of slow kinds would look like a queue.

    `hint` is the number of slots that the target announces. It is only the starting value.
    """

    def __init__(self, hint: int, max_limit: int = MAX_LIMIT) -> None:
        self._max = max(1, max_limit)
        start = min(max(1, hint), self._max)
        self._floor = max(min(MIN_LIMIT, start), start * FLOOR_RATIO)
        self._value = float(start)
        self._limit = int(self._value)
        self._recovery_target = self._value
        self._falling = False
        self._baseline_by_kind: dict[int, float] = {}
        self._probe_settled: float | None = None
        self._next_probe: float | None = None
        self._opened: float | None = None
        self._samples_by_kind: dict[int, list[float]] = {}
        self._sample_count = 0
        self._failed = 0
        self._peak = 0

    @property
    def limit(self) -> int:
        """Calls that may be in flight."""
        return self._limit

    @property
    def is_probing(self) -> bool:
        """Whether the limit is lower than the target allows, for a measurement."""
        return self._probe_settled is not None

    def on_start(self, now: float) -> None:
        """Open the first window with the first call after an idle period."""
        if self._opened is None:
            self._opened = now

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Add a sample and adjust the limit where the window is complete."""
        if self._opened is None:
            self._opened = now
        self._peak = max(self._peak, in_flight)
        self._failed += not ok
        # A fast failure says nothing about the time that a completed call needs.
        usable = ok or latency_s > self._baseline_by_kind.get(kind, latency_s)
        if usable and self._sample_count < MAX_SAMPLES:
            self._samples_by_kind.setdefault(kind, []).append(latency_s)
            self._sample_count += 1
        elapsed = now - self._opened
        if elapsed >= WINDOW_S and self._is_complete(elapsed):
            self._close_window(now, elapsed)

    def _is_complete(self, elapsed: float) -> bool:
        wanted = min(WINDOW_SAMPLES, 2 * self._limit)
        return self._sample_count + self._failed >= wanted or elapsed >= MAX_WINDOW_S

    def _close_window(self, now: float, elapsed: float) -> None:
        medians = {kind: median(times) for kind, times in self._samples_by_kind.items()}
        failing = self._failed > FAILURE_RATIO * (self._sample_count + self._failed)
        in_use = self._peak >= IN_USE_RATIO * self._limit
        self._failed = 0
        self._peak = 0
        self._opened = now
        for kind, latency in medians.items():
            self._follow_baseline(kind, latency, elapsed)
        if self._probe_settled is None:
            self._adjust(self._gradient(medians, failing), in_use)
        self._step_probe(now, now - elapsed, medians, in_use)
        self._samples_by_kind.clear()
        self._sample_count = 0
        usable = self._value if self._probe_settled is None else self._value * PROBE_CUT
        self._limit = max(1, int(usable))

    def _follow_baseline(self, kind: int, latency: float, elapsed: float) -> None:
        baseline = self._baseline_by_kind.get(kind, latency)
        weight = BASELINE_FALL
        if latency > baseline:
            weight = min(1.0, elapsed / BASELINE_RISE_S)
        self._baseline_by_kind[kind] = baseline + weight * (latency - baseline)

    def _gradient(self, medians: Mapping[int, float], failing: bool) -> float:
        """Return the gradient by the mean rise of latency, weighted by the number of calls."""
        gradient = FAILURE_GRADIENT if failing else 1.0
        rise = 0.0
        for kind, latency in medians.items():
            baseline = max(self._baseline_by_kind[kind], MIN_BASELINE_S)
            rise += len(self._samples_by_kind[kind]) * latency / baseline
        if rise > 0.0:
            gradient = min(gradient, TOLERANCE * self._sample_count / rise)
        return max(MIN_GRADIENT, gradient)

    def _adjust(self, gradient: float, in_use: bool) -> None:
        if gradient < 1.0:
            if not self._falling:
                self._recovery_target = self._value * RECOVERY_RATIO
            self._falling = True
            reduced = self._value * gradient + sqrt(self._value) * (gradient > MIN_GRADIENT)
            self._value = min(self._value, max(self._floor, reduced))
            return
        self._falling = False
        if not in_use:
            return
        grown = self._value + sqrt(self._value)
        if self._value < self._recovery_target:
            grown = max(grown, min(self._recovery_target, self._value * RECOVERY_GROWTH))
        self._value = min(float(self._max), grown)

    def _step_probe(
        self, now: float, opened: float, medians: Mapping[int, float], in_use: bool
    ) -> None:
        """Start or end a probe.

        A baseline measured while calls queue inside the target makes that queue look normal. With
        fewer calls in flight the latency falls and the baseline follows; otherwise nothing changes.
        """
        if self._probe_settled is not None:
            # Calls from before the cut still show the queue that the probe removes.
            if opened < self._probe_settled:
                return
            self._probe_settled = None
            self._value = max(self._floor, self._value * self._baseline_fall(medians))
            for kind, latency in medians.items():
                self._baseline_by_kind[kind] = min(self._baseline_by_kind[kind], latency)
        elif self._next_probe is None:
            self._next_probe = now + PROBE_INTERVAL_S
        elif now >= self._next_probe and in_use and not self._falling and medians:
            latency = max(medians.values())
            self._probe_settled = now + 2 * latency
            self._next_probe = now + max(PROBE_INTERVAL_S, PROBE_INTERVAL_LATENCIES * latency)

    def _baseline_fall(self, medians: Mapping[int, float]) -> float:
        """Return by what factor a probe lowers the baseline of the kind that it changes least.

        Calls that queue inside the target raise the baseline, and the raised baseline allows a
        limit that a probe shows to be too high.
        """
        falls = [
            latency / max(self._baseline_by_kind[kind], MIN_BASELINE_S)
            for kind, latency in medians.items()
        ]
        return min(1.0, max(falls, default=1.0) * PROBE_VARIATION)
