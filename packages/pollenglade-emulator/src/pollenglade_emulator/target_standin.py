"""Subcommand `target`: runs one target until SIGTERM or SIGINT, then drains it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_server import HttpServer

from .announcer import Announcer
from .announcer import TargetState
from .deployments import ALL_DEPLOYMENTS_BY_NAME
from .run_log import RunLog
from .target import Target
from .target import TargetSettings
from .workload import Latency

DRAIN_LIMIT_S = 30.0
DRAIN_QUIET_S = 0.5
"""Time without calls after which a draining target ends.

Calls that the node sent before it processed the announcement arrive within this time.
"""

DRAIN_POLL_S = 0.02

app = typer.Typer()


class TargetServer:
    """One target with its HTTP server and its announcements."""

    def __init__(
        self, target: Target, settings: TargetSettings, control: Address | None, log: RunLog
    ) -> None:
        self._target = target
        self._settings = settings
        self._control = control
        self._log = log
        self._server = HttpServer(async_handler(target.handle))
        self._announcer: Announcer | None = None
        self._stop = asyncio.Event()

    def stop(self) -> None:
        """Start to drain."""
        self._stop.set()

    async def run(self, host: str, port: int) -> None:
        """Serve until `stop` is called, then wait for running calls up to `DRAIN_LIMIT_S`."""
        bound_port = await self._server.start(host, port)
        if self._control is not None:
            settings = self._settings
            self._announcer = Announcer(
                self._control, settings.service, Address(host, bound_port), settings.slots
            )
            self._announcer.state = self._target.state
            self._announcer.start()
        sys.stderr.write(f"target {self._settings.service} is listening on {host}:{bound_port}\n")
        await self._start_up()
        await self._stop.wait()
        await self._drain()

    async def _start_up(self) -> None:
        if self._settings.start_s > 0:
            try:
                await asyncio.wait_for(self._stop.wait(), self._settings.start_s)
                return
            except TimeoutError:
                pass
        await self._set_state(TargetState.READY)

    async def _set_state(self, state: TargetState) -> None:
        self._target.state = state
        if self._announcer is not None:
            self._announcer.state = state
            await self._announcer.announce()

    async def _drain(self) -> None:
        await self._set_state(TargetState.DRAINING)
        self._server.drain()
        deadline_s = time.monotonic() + DRAIN_LIMIT_S
        quiet_since_s = time.monotonic()
        while time.monotonic() < min(deadline_s, quiet_since_s + DRAIN_QUIET_S):
            if self._target.running or self._target.waiting:
                quiet_since_s = time.monotonic()
            await asyncio.sleep(DRAIN_POLL_S)
        if self._announcer is not None:
            await self._announcer.close()
        await self._server.close()
        await self._target.close()
        self._log.close()


async def serve(
    settings: TargetSettings,
    workload: str,
    listen: Address,
    control: Address | None,
    log_file: Path | None,
    seed: int,
) -> None:
    """Run one target until SIGTERM or SIGINT."""
    log = RunLog(settings.service, log_file)
    routes = ALL_DEPLOYMENTS_BY_NAME[workload].routes_by_name
    target = Target(settings, routes, log, Random(seed))
    server = TargetServer(target, settings, control, log)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.stop)
    await server.run(listen.host, listen.port)


@app.command()
def target(
    service: Annotated[str, typer.Option(help="Name of the service.")],
    listen: Annotated[str, typer.Option(help="Address as host:port.")] = "127.0.0.1:0",
    control: Annotated[str, typer.Option(help="Control address of the node.")] = "",
    node: Annotated[str, typer.Option(help="Caller address of the node.")] = "",
    workload: Annotated[str, typer.Option(help="Deployment with the routes.")] = "residencies",
    slots: Annotated[int, typer.Option(min=1, help="Maximum number of concurrent calls.")] = 10,
    median_ms: Annotated[
        float, typer.Option(help="Median service time of paths without a route.")
    ] = 10.0,
    sigma: Annotated[
        float, typer.Option(help="Standard deviation of the log of service times.")
    ] = 0.4,
    start_s: Annotated[float, typer.Option(help="Time in the state `starting`.")] = 0.0,
    warm_s: Annotated[float, typer.Option(help="Time until service times are normal.")] = 0.0,
    log_file: Annotated[Path | None, typer.Option(help="File of the run log.")] = None,
    seed: Annotated[int, typer.Option(help="Seed of the service times.")] = 1,
) -> None:
    """Run a target stand-in."""
    settings = TargetSettings(
        service=service,
        slots=slots,
        latency=Latency(median_ms / 1_000, sigma),
        start_s=start_s,
        warm_s=warm_s,
        node=Address.parse(node) if node else None,
    )
    control_address = Address.parse(control) if control else None
    asyncio.run(serve(settings, workload, Address.parse(listen), control_address, log_file, seed))
