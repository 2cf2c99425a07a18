"""Log lines as JSON on standard error; one line for each change of state."""

from __future__ import annotations

import logging
import sys
from typing import Protocol
from typing import TextIO
from typing import cast

import structlog


class LineWriter(Protocol):
    """Where log lines go."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Pass on what was written."""


def configure_logs(level: str, node: str, zone: str, output: LineWriter | None = None) -> None:
    """Set the lowest level, the fields that every line has, and where lines go.

    The default is standard error.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, output or sys.stderr)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node, zone=zone)
