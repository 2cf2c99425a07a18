"""Concurrency limits: how many calls one target runs at the same time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import sqrt
from statistics import median
from typing import Protocol

UNLIMITED = 1 << 31
"""A limit that no target reaches."""

MAX_LIMIT = 1_000
"""Default upper bound on a measured limit."""

MIN_LIMIT = 4
"""Lower bound on the limit of a target with at least this many slots.

With a lower limit one slow call would delay all others. The limit of a target with fewer slots
starts at their number; further calls would only wait inside the target, where they cannot be
refused.
"""

FLOOR_RATIO = 0.2
"""Lower bound on the limit relative to its starting value.

A slow dependency lengthens calls without a queue at this target. Lowering the limit then does not
shorten the calls but only reduces the throughput.
"""

WINDOW_S = 0.1
"""Minimum length of a measurement window in seconds."""

MAX_WINDOW_S = 0.5
"""Length in seconds after which a window closes however few samples it has."""

WINDOW_SAMPLES = 20
"""Number of samples with which a window closes after WINDOW_S; fewer suffice for a low limit."""

MAX_WINDOW_SAMPLES = 256
"""Maximum number of samples kept per window; bounds the cost of the median."""

LATENCY_TOLERANCE = 2.0
"""Ratio of measured latency to baseline up to which the limit is not lowered.

It bounds the queue inside a fully used target. With 1.5 the limit falls on normal latency
variation, and organisations within their rate were refused during the surge of another one.
"""

MIN_BASELINE_S = 1e-6
"""Lower bound on a baseline: the clock resolution, because a call can take no measurable time."""

MIN_GRADIENT = 0.5
"""Smallest factor by which one window lowers the limit."""

MIN_IN_USE_RATIO = 0.75
"""Fraction of the limit that must have been in flight for the limit to grow."""

RECOVERY_GROWTH = 1.5
"""Growth factor of the limit per window up to the recovery target."""

RECOVERY_RATIO = 0.9
"""Recovery target relative to the limit at which the latency rose.

It is below 1 so that the limit settles at a sustainable value if it falls repeatedly without an
external cause.
"""

BASELINE_FALL_WEIGHT = 0.1
"""Weight of a window that is faster than the baseline, which follows it within about 1 s."""

BASELINE_RISE_S = 60.0
"""Time constant in seconds with which the baseline follows slower windows."""

MAX_FAILURE_RATIO = 0.1
"""Fraction of failed calls in a window above which FAILURE_GRADIENT applies."""

FAILURE_GRADIENT = 0.9
"""Upper bound on the gradient of a window with more failures than MAX_FAILURE_RATIO."""

PROBE_INTERVAL_S = 10.0
"""Minimum interval in seconds between baseline probes.

A baseline probe lowers the limit for a short time to measure the latency without a queue at the
target.
"""

PROBE_INTERVAL_LATENCIES = 50
"""Minimum interval between baseline probes in multiples of the latency.

It bounds the fraction of time spent in probes to 4 %.
"""

PROBE_LIMIT_FRACTION = 0.25
"""Fraction of the limit that stays in force during a baseline probe.

It must be well below 1 / LATENCY_TOLERANCE. With a larger fraction the latency falls by no more
than the tolerance, so the measured baseline would still justify the limit from before the probe.
"""

PROBE_LATENCY_TOLERANCE = 1.15
"""Ratio by which the latency may vary in a probe without being evidence of another baseline."""


class ConcurrencyLimit(Protocol):
    """Decides how many calls a target may run at the same time."""

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight."""

    @property
    def is_probing(self) -> bool:
        """Whether the limit is temporarily lowered to measure the latency without a queue."""

    def on_start(self, now: float) -> None:
        """Record that a call was sent to the target."""

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Record that a call ended after `latency_s`.

        `in_flight` includes the call that ended. `ok` is False if it timed out or was shed. Calls
        of the same `kind` are expected to take similar times.
        """


@dataclass(frozen=True, slots=True)
class FixedLimit:
    """A constant limit."""

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
    """Admits every call; serves as the baseline in benchmarks."""

    limit: int = UNLIMITED
    is_probing: bool = False

    def on_start(self, now: float) -> None:
        """Do nothing."""

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Do nothing."""


class GradientLimit:
    """Adjusts the limit by the ratio of a slowly rising baseline latency to the median latency.

    Each kind of call has its own baseline, because shedding changes the mix of calls: with a single
    baseline a larger fraction of slow calls would look like a queue.

    `announced_slots` is the number of slots that the target announces. It is only the starting
    value of the limit.
    """

    def __init__(self, announced_slots: int, max_limit: int = MAX_LIMIT) -> None:
        self._max_limit = max(1, max_limit)
        start = min(max(1, announced_slots), self._max_limit)
        self._min_limit = max(min(MIN_LIMIT, start), start * FLOOR_RATIO)
        self._exact_limit = float(start)
        self._limit = int(self._exact_limit)
        self._recovery_target = self._exact_limit
        self._is_falling = False
        self._baseline_by_kind: dict[int, float] = {}
        self._probe_settled_at: float | None = None
        self._next_probe_at: float | None = None
        self._window_started_at: float | None = None
        self._samples_by_kind: dict[int, list[float]] = {}
        self._sample_count = 0
        self._failed_count = 0
        self._peak_in_flight = 0

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight."""
        return self._limit

    @property
    def is_probing(self) -> bool:
        """Whether the limit is temporarily lowered to measure the latency without a queue."""
        return self._probe_settled_at is not None

    def on_start(self, now: float) -> None:
        """Open the first window when the first call starts."""
        if self._window_started_at is None:
            self._window_started_at = now

    def on_finish(
        self, now: float, latency_s: float, in_flight: int, ok: bool, kind: int = 0
    ) -> None:
        """Add a sample and adjust the limit if the window is complete."""
        if self._window_started_at is None:
            self._window_started_at = now
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        self._failed_count += not ok
        # A fast failure is no evidence of how long a completed call takes.
        is_valid = ok or latency_s > self._baseline_by_kind.get(kind, latency_s)
        if is_valid and self._sample_count < MAX_WINDOW_SAMPLES:
            self._samples_by_kind.setdefault(kind, []).append(latency_s)
            self._sample_count += 1
        elapsed_s = now - self._window_started_at
        if elapsed_s >= WINDOW_S and self._is_complete(elapsed_s):
            self._close_window(now, elapsed_s)

    def _is_complete(self, elapsed_s: float) -> bool:
        required = min(WINDOW_SAMPLES, 2 * self._limit)
        return self._sample_count + self._failed_count >= required or elapsed_s >= MAX_WINDOW_S

    def _close_window(self, now: float, elapsed_s: float) -> None:
        median_by_kind = {kind: median(times) for kind, times in self._samples_by_kind.items()}
        failing = self._failed_count > MAX_FAILURE_RATIO * (self._sample_count + self._failed_count)
        in_use = self._peak_in_flight >= MIN_IN_USE_RATIO * self._limit
        self._failed_count = 0
        self._peak_in_flight = 0
        self._window_started_at = now
        for kind, latency_s in median_by_kind.items():
            self._follow_baseline(kind, latency_s, elapsed_s)
        if self._probe_settled_at is None:
            self._adjust(self._gradient(median_by_kind, failing), in_use)
        self._step_probe(now, now - elapsed_s, median_by_kind, in_use)
        self._samples_by_kind.clear()
        self._sample_count = 0
        usable_limit = (
            self._exact_limit
            if self._probe_settled_at is None
            else self._exact_limit * PROBE_LIMIT_FRACTION
        )
        self._limit = max(1, int(usable_limit))

    def _follow_baseline(self, kind: int, latency_s: float, elapsed_s: float) -> None:
        baseline = self._baseline_by_kind.get(kind, latency_s)
        weight = BASELINE_FALL_WEIGHT
        if latency_s > baseline:
            weight = min(1.0, elapsed_s / BASELINE_RISE_S)
        self._baseline_by_kind[kind] = baseline + weight * (latency_s - baseline)

    def _gradient(self, median_by_kind: Mapping[int, float], failing: bool) -> float:
        """Return the factor for the limit from the mean latency rise over all samples."""
        gradient = FAILURE_GRADIENT if failing else 1.0
        rise = 0.0
        for kind, latency_s in median_by_kind.items():
            baseline = max(self._baseline_by_kind[kind], MIN_BASELINE_S)
            rise += len(self._samples_by_kind[kind]) * latency_s / baseline
        if rise > 0.0:
            gradient = min(gradient, LATENCY_TOLERANCE * self._sample_count / rise)
        return max(MIN_GRADIENT, gradient)

    def _adjust(self, gradient: float, in_use: bool) -> None:
        if gradient < 1.0:
            if not self._is_falling:
                self._recovery_target = self._exact_limit * RECOVERY_RATIO
            self._is_falling = True
            reduced = self._exact_limit * gradient + sqrt(self._exact_limit) * (
                gradient > MIN_GRADIENT
            )
            self._exact_limit = min(self._exact_limit, max(self._min_limit, reduced))
            return
        self._is_falling = False
        if not in_use:
            return
        grown = self._exact_limit + sqrt(self._exact_limit)
        if self._exact_limit < self._recovery_target:
            grown = max(grown, min(self._recovery_target, self._exact_limit * RECOVERY_GROWTH))
        self._exact_limit = min(float(self._max_limit), grown)

    def _step_probe(
        self,
        now: float,
        window_started_at: float,
        median_by_kind: Mapping[int, float],
        in_use: bool,
    ) -> None:
        """Start or end a baseline probe.

        A baseline measured while calls queue inside the target makes that queue look normal. During
        a probe fewer calls are in flight. If the latency falls, there was such a queue, and the
        baseline and the limit are lowered; otherwise they stay.
        """
        if self._probe_settled_at is not None:
            # Calls sent before the limit was lowered still include the queueing time.
            if window_started_at < self._probe_settled_at:
                return
            self._probe_settled_at = None
            self._exact_limit = max(
                self._min_limit, self._exact_limit * self._baseline_correction(median_by_kind)
            )
            for kind, latency_s in median_by_kind.items():
                self._baseline_by_kind[kind] = min(self._baseline_by_kind[kind], latency_s)
        elif self._next_probe_at is None:
            self._next_probe_at = now + PROBE_INTERVAL_S
        elif now >= self._next_probe_at and in_use and not self._is_falling and median_by_kind:
            latency_s = max(median_by_kind.values())
            self._probe_settled_at = now + 2 * latency_s
            self._next_probe_at = now + max(PROBE_INTERVAL_S, PROBE_INTERVAL_LATENCIES * latency_s)

    def _baseline_correction(self, median_by_kind: Mapping[int, float]) -> float:
        """Return the factor by which a probe lowers the limit, at most 1.

        It is the ratio of probed latency to baseline of the kind of call that changes least. Calls
        that queue inside the target raise the baseline, and with it the limit becomes too high.
        """
        ratios = [
            latency_s / max(self._baseline_by_kind[kind], MIN_BASELINE_S)
            for kind, latency_s in median_by_kind.items()
        ]
        return min(1.0, max(ratios, default=1.0) * PROBE_LATENCY_TOLERANCE)
