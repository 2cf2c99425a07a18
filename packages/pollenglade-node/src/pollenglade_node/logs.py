"""Structured logging: one JSON line per event, on standard error by default."""

from __future__ import annotations

import logging
import sys
from typing import Protocol
from typing import TextIO
from typing import cast

import structlog


class LineWriter(Protocol):
    """Destination of log lines."""

    def write(self, text: str, /) -> int:
        """Write text, which may be less than a line."""

    def flush(self) -> None:
        """Flush buffered text to the destination."""


def configure_logs(level: str, node: str, zone: str, output: LineWriter | None = None) -> None:
    """Configure the lowest level that is logged, the fields of every line and the destination.

    `output` defaults to standard error.
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
