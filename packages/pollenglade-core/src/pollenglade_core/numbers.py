"""Checks of numbers that other processes have sent."""

from __future__ import annotations

from typing import TypeGuard

MAX_INTEGER = 2**63 - 1
"""Largest integer that every message and every row can carry."""

MAX_SECONDS = 1e9
"""Longest time in seconds that is taken for one."""


def is_in_range(value: object, low: float, high: float) -> TypeGuard[float]:
    """Whether a value is a number from `low` to `high`; neither a bool nor NaN is one."""
    return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high
