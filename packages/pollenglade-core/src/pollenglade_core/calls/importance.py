"""Importance of a request; the least important requests are shed first."""

from __future__ import annotations

from enum import IntEnum


class Importance(IntEnum):
    """A larger value is shed later."""

    SHEDDABLE = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3

    @classmethod
    def parse(cls, name: str) -> Importance:
        """Return the member for a lower-case name; raise KeyError for any other text."""
        return cls[name.upper()]
