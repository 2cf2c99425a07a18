"""Estimate of a low quantile of the service time of a target."""

from __future__ import annotations

QUANTILE = 0.2
"""A call is refused early only where even the fastest fifth of the calls would be too late.

A target mixes short and long calls; a higher quantile would refuse short calls wrongly.
"""

STEP = 0.05
"""Relative change by one sample."""

IDLE_HALF_LIFE_S = 1.0
"""Half-life of an estimate without samples.

If the estimate exceeds every deadline, no call runs and no sample arrives that could correct it.
"""


class ServiceTime:
    """Quantile estimate in constant time and space, by small relative steps."""

    def __init__(self) -> None:
        self._estimate = 0.0
        self._sampled_at = 0.0

    def add(self, now: float, latency_s: float, ok: bool) -> None:
        """Add the time of a completed call; a failed call counts only as a lower bound."""
        if not ok and latency_s <= self._estimate:
            return
        if self._estimate <= 0.0:
            self._estimate = latency_s
        elif latency_s > self._estimate:
            self._estimate = min(latency_s, self._estimate * (1.0 + STEP * QUANTILE))
        else:
            self._estimate = max(latency_s, self._estimate * (1.0 - STEP * (1.0 - QUANTILE)))
        self._sampled_at = now

    def expected_s(self, now: float) -> float:
        """Return the estimate in seconds; 0 before the first sample."""
        idle = now - self._sampled_at
        if idle <= IDLE_HALF_LIFE_S:
            return self._estimate
        return float(self._estimate * 0.5 ** (idle / IDLE_HALF_LIFE_S - 1.0))
