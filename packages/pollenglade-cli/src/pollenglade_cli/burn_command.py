"""The command that reports burn rates from call-count batches."""

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
from .burn_page import window_name
from .burn_sources import Sources
from .burn_sources import read_files
from .burn_sources import read_nodes
from .exit_codes import ExitCode
from .report import Report
from .report import aligned

app = typer.Typer(no_args_is_help=True, help="Report what call counts show.")


class Form(StrEnum):
    """How the report is printed."""

    TABLE = "table"
    JSON = "json"
    HTML = "html"


@app.callback()
def group() -> None:
    """Keep `burn` a named command; typer would merge a single command into its group."""


@app.command()
def burn(
    files: Annotated[list[Path] | None, typer.Argument(help="JSON files with batches.")] = None,
    node: Annotated[list[str] | None, typer.Option(help="Control port, host:port.")] = None,
    output: Annotated[Form, typer.Option(help="Form of the report.")] = Form.TABLE,
    objective: Annotated[
        float, typer.Option(min=0.5, max=0.99999, help="Part of the calls that has to be good.")
    ] = DEFAULT_OBJECTIVE,
    timeout: Annotated[float, typer.Option(min=0.05, help="Seconds for one request.")] = 2.0,
) -> None:
    """Show burn rates and alerts at the end of the newest batch."""
    sources = Sources()
    read_files(files or [], sources)
    asyncio.run(read_nodes(node or [], sources, timeout))
    report, page = burn_report(sources, objective)
    if output is Form.HTML:
        typer.echo(page, nl=False)
    else:
        report.print(output.value)
    raise typer.Exit(report.exit_code)


def burn_report(sources: Sources, objective: float) -> tuple[Report, str]:
    """Return the report and its HTML page.

    Missing batches and unreadable sources are part of the report, because burn rates that leave
    them out can be too low.
    """
    rates, reader = BurnRates(objective), CountReader()
    now = max((batch.ended_at for batch in sources.batches), default=0.0)
    for batch in sources.batches:
        if reader.accept(batch):
            rates.add(batch.counts, batch.ended_at)
    burns, alerts = rates.burns(now), rates.alerts(now)
    missing = {f"{name}/{number}": gaps for (name, number), gaps in reader.missing().items()}
    notes = [f"{source}: {text}" for source, text in sources.problem_by_source.items()]
    notes += [f"{node}: batches {_numbers(gaps)} are missing" for node, gaps in missing.items()]
    data = {
        "at": now,
        "burns": [asdict(item) for item in burns],
        "alerts": [asdict(item) for item in alerts],
        "missing_batches": missing,
        "problems": sources.problem_by_source,
    }
    code = ExitCode.UNREADABLE if sources.problem_by_source else ExitCode.OK
    text = "\n".join([*notes, _table(burns, alerts)])
    return Report(data, text, code), burn_page(burns, alerts, notes)


def _numbers(gaps: Sequence[int]) -> str:
    return ", ".join(str(number) for number in gaps)


def _table(burns: Sequence[Burn], alerts: Sequence[BurnAlert]) -> str:
    severities = {
        (alert.organisation, alert.service, burn.window_s): alert.severity.value
        for alert in reversed(alerts)
        for burn in (alert.short, alert.long)
    }
    rows = [
        (
            item.organisation,
            item.service,
            window_name(item.window_s),
            item.calls,
            item.bad,
            f"{item.rate:.2f}",
            severities.get((item.organisation, item.service, item.window_s), ""),
        )
        for item in burns
    ]
    return aligned(("ORGANISATION", "SERVICE", "WINDOW", "CALLS", "BAD", "BURN", "ALERT"), rows)
