"""Command line of the daemon `pollenglade-node`."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import Annotated

import typer
import uvloop

from pollenglade_core.finding import Findings

from .logs import configure_logs
from .node import Node
from .settings import NodeSettings
from .settings import load_settings
from .supervision import log_unhandled_exceptions

EXIT_SETTINGS = 2
"""Exit code for invalid settings."""

GC_THRESHOLD = 50_000
"""Allocations between garbage collections.

The default of 700 causes many collections per second under load.
"""


def _option_help(name: str) -> str:
    field = NodeSettings.model_fields[name]
    # An optional setting has the default None; its description or another setting gives the
    # effective value.
    default = "" if field.is_required() or field.default is None else f" Default: {field.default}."
    return f"{field.description}{default} Environment: POLLENGLADE_{name.upper()}."


def run(
    node: Annotated[str | None, typer.Option(help=_option_help("node"))] = None,
    zone: Annotated[str | None, typer.Option(help=_option_help("zone"))] = None,
    region: Annotated[str | None, typer.Option(help=_option_help("region"))] = None,
    caller_address: Annotated[str | None, typer.Option(help=_option_help("caller_address"))] = None,
    link_address: Annotated[str | None, typer.Option(help=_option_help("link_address"))] = None,
    control_address: Annotated[
        str | None, typer.Option(help=_option_help("control_address"))
    ] = None,
    advertised_link_address: Annotated[
        str | None, typer.Option(help=_option_help("advertised_link_address"))
    ] = None,
    advertised_control_address: Annotated[
        str | None, typer.Option(help=_option_help("advertised_control_address"))
    ] = None,
    source_host: Annotated[str | None, typer.Option(help=_option_help("source_host"))] = None,
    platform_url: Annotated[str | None, typer.Option(help=_option_help("platform_url"))] = None,
    concurrency_limit: Annotated[
        str | None, typer.Option(help=_option_help("concurrency_limit"))
    ] = None,
    drain_limit_s: Annotated[float | None, typer.Option(help=_option_help("drain_limit_s"))] = None,
    log_totals_s: Annotated[float | None, typer.Option(help=_option_help("log_totals_s"))] = None,
    log_level: Annotated[str | None, typer.Option(help=_option_help("log_level"))] = None,
) -> None:
    """Run the overload control daemon of one target host until SIGTERM or SIGINT.

    Flags take precedence over environment variables.
    """
    settings = load_settings(dict(locals()))
    if isinstance(settings, Findings):
        typer.echo("Invalid settings:", err=True)
        for finding in settings.items:
            typer.echo(f"  {finding}", err=True)
        raise typer.Exit(EXIT_SETTINGS)
    configure_logs(settings.log_level, settings.node, settings.zone)
    uvloop.run(serve(settings))


async def serve(settings: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, then drain and close it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_unhandled_exceptions(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    node = Node(settings)
    await node.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    await stop.wait()
    await node.stop_gracefully()
    await node.close()


def main() -> None:
    """Entry point of the `pollenglade-node` command."""
    typer.run(run)


if __name__ == "__main__":
    main()
