"""Exit codes of the command; docs/cli.md documents them for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes on which scripts can rely."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    # It is unknown whether a change took effect, because the response to it was lost.
    UNKNOWN = 5
    NOT_CONFIRMED = 6
    # A node or a zone of a profile lacks the published configuration, or no node is announced.
    NODES_DIFFER = 7
    NOT_PUBLISHED = 8
    # The configuration, a log file or a source of call counts cannot be read.
    UNREADABLE = 9
    NOT_LOGGED = 10
    # No log line of the request was found, but nodes report that they left out or dropped lines.
    LINES_LEFT_OUT = 11
