"""Subcommand `platform`: runs the platform stand-in."""

from __future__ import annotations

import asyncio
import signal
from typing import Annotated

import typer

from .platform_standin import PlatformStandIn


def platform(
    port: Annotated[int, typer.Option(help="Port; 0 selects a free port.")] = 0,
    host: Annotated[str, typer.Option(help="Address to listen on.")] = "127.0.0.1",
) -> None:
    """Run the platform stand-in until SIGINT or SIGTERM; print its address."""
    asyncio.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    stand_in = PlatformStandIn()
    print(await stand_in.start(host, port), flush=True)
    await stop.wait()
    await stand_in.close()
