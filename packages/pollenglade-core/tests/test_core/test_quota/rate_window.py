"""Exact check of the rate bound over every window of a log."""

from __future__ import annotations

from collections.abc import Iterable
from fractions import Fraction


def excess(times: Iterable[float], rate_per_s: int, burst: int) -> Fraction:
    """Return by how much the worst window exceeds `burst + rate x length`; 0 if none does."""
    worst = Fraction(0)
    slack_before = Fraction(0)  # max over window starts i of rate x t_i - i
    for index, time in enumerate(sorted(times)):
        here = rate_per_s * Fraction(time) - index
        slack_before = here if index == 0 else max(slack_before, here)
        worst = max(worst, index + 1 - rate_per_s * Fraction(time) + slack_before - burst)
    return worst
