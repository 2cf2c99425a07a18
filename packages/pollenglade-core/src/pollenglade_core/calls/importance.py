"""Importance of a request; the least important requests are shed first."""

from __future__ import annotations

from enum import IntEnum


class Importance(IntEnum):
    """Importance level; requests with a higher value are shed later."""

    SHEDDABLE = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3

    @classmethod
    def parse(cls, name: str) -> Importance:
        """Return the level with the given lower-case name; raise KeyError if there is none."""
        return cls[name.upper()]
