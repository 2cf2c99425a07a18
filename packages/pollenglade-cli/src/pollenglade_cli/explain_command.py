"""The `explain` command: shows from node logs how a request ended and why."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import orjson
import typer

from .exit_codes import ExitCode
from .request_trace import LogLine
from .request_trace import RequestTrace
from .request_trace import collect_trace


class OutputFormat(StrEnum):
    """Output format of the trace."""

    TEXT = "text"
    JSON = "json"


def explain(
    request: Annotated[str, typer.Argument(help="Request ID.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files (default: standard input).")
    ] = None,
    output: Annotated[OutputFormat, typer.Option(help="Output format.")] = OutputFormat.TEXT,
) -> None:
    """Show the log lines of a request and its nested calls, and the cause of its result."""
    trace = collect_trace(request, _read_lines(logs or []))
    typer.echo(_to_json(trace) if output is OutputFormat.JSON else _to_text(trace))
    if trace.lines:
        raise typer.Exit(ExitCode.OK)
    raise typer.Exit(ExitCode.LINES_LEFT_OUT if trace.left_out else ExitCode.NOT_LOGGED)


def _read_lines(paths: list[Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}; give the path of a readable log file", err=True)
            raise typer.Exit(ExitCode.UNREADABLE) from error


def _to_text(trace: RequestTrace) -> str:
    if not trace.lines:
        reason = (
            "log lines were left out"
            if trace.left_out
            else "only a sample of served requests is logged"
        )
        return f"{trace.request}: no node logged it ({reason})"
    rows = [f"{trace.request}: {trace.cause}"]
    rows += [f"  {_format_line(line)}" for line in trace.lines]
    rows += [
        f"  {line.at}  {line.node}: log lines were left out in this second"
        for line in trace.left_out
    ]
    return "\n".join(rows)


def _format_line(line: LogLine) -> str:
    shown = {key: value for key, value in line.fields.items() if value is not None}
    for hidden in ("zone", "level"):
        shown.pop(hidden, None)
    pairs = " ".join(f"{key}={value}" for key, value in sorted(shown.items()))
    return f"{line.at}  {line.node}  {line.event}  {pairs}"


def _to_json(trace: RequestTrace) -> str:
    document = {
        "request": trace.request,
        "cause": trace.cause if trace.lines else None,
        "lines": [
            {"at": line.at, "node": line.node, "event": line.event, **line.fields}
            for line in trace.lines
        ],
        "lines_left_out": len(trace.left_out),
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
