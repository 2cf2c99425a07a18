"""Exact check of a rate and burst limit over all windows of a list of times."""

from __future__ import annotations

from collections.abc import Iterable
from fractions import Fraction


def excess(times: Iterable[float], rate_per_s: int, burst: int) -> Fraction:
    """Return the largest excess of a window over `burst + rate x length`; 0 if none exceeds it."""
    largest_excess = Fraction(0)
    largest_slack = Fraction(0)  # maximum of rate x t_i - i over the window starts i
    for index, time in enumerate(sorted(times)):
        slack = rate_per_s * Fraction(time) - index
        largest_slack = slack if index == 0 else max(largest_slack, slack)
        largest_excess = max(
            largest_excess, index + 1 - rate_per_s * Fraction(time) + largest_slack - burst
        )
    return largest_excess
