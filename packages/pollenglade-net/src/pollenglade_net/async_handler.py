"""Adapter that lets coroutine functions handle HTTP requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from .exchange import Exchange
from .http_message import HttpRequest
from .http_message import HttpResponse
from .server_connection import Handler

AsyncHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def async_handler(handle: AsyncHandler) -> Handler:
    """Return a server handler that runs a coroutine function in one task per request.

    The task is cancelled when the caller disconnects. An exception is passed to the exception
    handler of the event loop and aborts the connection.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def run(exchange: Exchange) -> None:
        response = await handle(exchange.request)
        exchange.respond(response.status, response.headers, response.body)

    def handler(exchange: Exchange) -> None:
        task = asyncio.get_running_loop().create_task(run(exchange))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda done: _abort_on_error(done, exchange))
        exchange.on_cancel = lambda: _cancel(task)

    return handler


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _abort_on_error(task: asyncio.Task[None], exchange: Exchange) -> None:
    if not task.cancelled() and task.exception() is not None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "request handler failed", "exception": task.exception()}
        )
        exchange.abort()
