"""Keeps work running that has to go on after an unexpected exception, and logs the exception."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import structlog

RESTART_DELAY_S = 1.0
"""Time in seconds after an exception before a task is started again."""

log = structlog.get_logger()


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], delay_s: float = RESTART_DELAY_S
) -> None:
    """Run a task until it returns; start it again `delay_s` seconds after an exception."""
    while True:
        try:
            await work()
            return
        except Exception:
            log.exception("task_failed", task=name, restart_in_s=delay_s)
        await asyncio.sleep(delay_s)


def call_guarded(event: str, call: Callable[[], object], **fields: object) -> bool:
    """Make a call and return True; log an exception as `event` with the fields, and return False.

    For entries of other writers, one of which must not keep the rest from being read.
    """
    try:
        call()
    except Exception:
        log.exception(event, **fields)
        return False
    return True


def log_unhandled_exceptions(loop: asyncio.AbstractEventLoop) -> None:
    """Log what ends a callback or a task without being handled, as lines of the log."""
    loop.set_exception_handler(_log_unhandled_exception)


def _log_unhandled_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    source = context.get("task") or context.get("future") or context.get("handle")
    log.error(
        "unhandled_exception",
        message=context.get("message"),
        source=None if source is None else repr(source)[:200],
        exc_info=error if isinstance(error, BaseException) else None,
    )
