"""Estimate of a low quantile of the service time of a target."""

from __future__ import annotations

QUANTILE = 0.2
"""Quantile to estimate: a call is refused early only if even the fastest 20 % would be late.

A target serves short and long calls; a higher quantile would wrongly refuse the short ones.
"""

RELATIVE_STEP = 0.05
"""Scale of the relative change of the estimate by one sample."""

IDLE_HALF_LIFE_S = 1.0
"""Half-life in seconds of the estimate while no samples arrive.

If the estimate exceeds every deadline, no call runs and no sample arrives that could correct it.
"""


class ServiceTime:
    """Estimates a quantile in constant time and space by small relative steps."""

    def __init__(self) -> None:
        self._estimate = 0.0
        self._last_sample_at = 0.0

    def add(self, now: float, latency_s: float, ok: bool) -> None:
        """Add the service time of a call; that of a failed call (`ok` False) is a lower bound."""
        if not ok and latency_s <= self._estimate:
            return
        if self._estimate <= 0.0:
            self._estimate = latency_s
        elif latency_s > self._estimate:
            self._estimate = min(latency_s, self._estimate * (1.0 + RELATIVE_STEP * QUANTILE))
        else:
            self._estimate = max(
                latency_s, self._estimate * (1.0 - RELATIVE_STEP * (1.0 - QUANTILE))
            )
        self._last_sample_at = now

    def expected_s(self, now: float) -> float:
        """Return the estimated service time in seconds; 0 before the first sample."""
        idle_s = now - self._last_sample_at
        if idle_s <= IDLE_HALF_LIFE_S:
            return self._estimate
        return float(self._estimate * 0.5 ** (idle_s / IDLE_HALF_LIFE_S - 1.0))
