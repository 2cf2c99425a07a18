"""Exit codes of the command; docs/cli.md documents them for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes on which scripts can rely."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_CONFIRMED = 6
    NODES_DIFFER = 7
    NOT_PUBLISHED = 8
    UNREADABLE = 9
    NOT_LOGGED = 10
    LINES_LEFT_OUT = 11
