"""The `report burn` command: burn rates and alerts from call-count batches."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import asdict
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from pollenglade_core.calls.burn import DEFAULT_OBJECTIVE
from pollenglade_core.calls.burn import Burn
from pollenglade_core.calls.burn import BurnAlert
from pollenglade_core.calls.burn import BurnRates
from pollenglade_core.calls.call_counts import CountReader

from .burn_page import burn_page
from .burn_page import format_window
from .burn_sources import BatchSources
from .burn_sources import read_files
from .burn_sources import read_nodes
from .exit_codes import ExitCode
from .report import Report
from .report import format_table

app = typer.Typer(no_args_is_help=True, help="Report on call counts.")


class ReportFormat(StrEnum):
    """Output format of the report."""

    TABLE = "table"
    JSON = "json"
    HTML = "html"


@app.callback()
def group() -> None:
    """Keep `burn` a subcommand; Typer merges a single command into a group without callback."""


@app.command()
def burn(
    files: Annotated[
        list[Path] | None, typer.Argument(help="JSON files with call-count batches.")
    ] = None,
    node: Annotated[
        list[str] | None, typer.Option(help="Control address of a node, host:port.")
    ] = None,
    output: Annotated[ReportFormat, typer.Option(help="Output format.")] = ReportFormat.TABLE,
    objective: Annotated[
        float, typer.Option(min=0.5, max=0.99999, help="Fraction of calls that must be good.")
    ] = DEFAULT_OBJECTIVE,
    timeout: Annotated[
        float, typer.Option(min=0.05, help="Timeout of one request in seconds.")
    ] = 2.0,
) -> None:
    """Show the burn rates and alerts as of the end of the newest batch."""
    sources = BatchSources()
    read_files(files or [], sources)
    asyncio.run(read_nodes(node or [], sources, timeout))
    report, page = burn_report(sources, objective)
    if output is ReportFormat.HTML:
        typer.echo(page, nl=False)
    else:
        report.print(output.value)
    raise typer.Exit(report.exit_code)


def burn_report(sources: BatchSources, objective: float) -> tuple[Report, str]:
    """Return the report and the same report as an HTML page.

    Burn rates cover the windows that end with the newest batch. Missing batches and unreadable
    sources are listed, because burn rates that are computed without them can be too low.
    """
    rates, reader = BurnRates(objective), CountReader()
    report_time = max((batch.ended_at for batch in sources.batches), default=0.0)
    for batch in sources.batches:
        if reader.accept(batch):
            rates.add(batch.counts, batch.ended_at)
    burns, alerts = rates.burns(report_time), rates.alerts(report_time)
    missing = {
        f"{node}/{incarnation}": gaps for (node, incarnation), gaps in reader.missing().items()
    }
    notes = [f"{source}: {text}" for source, text in sources.problem_by_source.items()]
    notes += [
        f"{node}: batches {_join_sequences(gaps)} are missing" for node, gaps in missing.items()
    ]
    data = {
        "at": report_time,
        "burns": [asdict(item) for item in burns],
        "alerts": [asdict(item) for item in alerts],
        "missing_batches": missing,
        "problems": sources.problem_by_source,
    }
    exit_code = ExitCode.UNREADABLE if sources.problem_by_source else ExitCode.OK
    text = "\n".join([*notes, _burn_table(burns, alerts)])
    return Report(data, text, exit_code), burn_page(burns, alerts, notes)


def _join_sequences(gaps: Sequence[int]) -> str:
    return ", ".join(str(number) for number in gaps)


def _burn_table(burns: Sequence[Burn], alerts: Sequence[BurnAlert]) -> str:
    severities = {
        (alert.organisation, alert.service, burn.window_s): alert.severity.value
        for alert in reversed(alerts)
        for burn in (alert.short, alert.long)
    }
    rows = [
        (
            item.organisation,
            item.service,
            format_window(item.window_s),
            item.calls,
            item.bad,
            f"{item.rate:.2f}",
            severities.get((item.organisation, item.service, item.window_s), ""),
        )
        for item in burns
    ]
    return format_table(
        ("ORGANISATION", "SERVICE", "WINDOW", "CALLS", "BAD", "BURN", "ALERT"), rows
    )
