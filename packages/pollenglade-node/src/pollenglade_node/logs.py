"""Log lines as JSON on standard error; one line for each change of state."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logs(level: str, node: str, zone: str) -> None:
    """Set the lowest level and the fields that every line has."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node, zone=zone)
