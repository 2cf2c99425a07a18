"""Result of a command, printed as text or as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import UTC
from datetime import datetime
from typing import Any

import typer

from pollenglade_core.finding import Findings

from .exit_codes import ExitCode


@dataclass(frozen=True)
class Report:
    """Output of a command: `data` for JSON output, `text` otherwise. Failures go to stderr."""

    data: Mapping[str, Any] = field(default_factory=dict)
    text: str = ""
    exit_code: ExitCode = ExitCode.OK
    is_failure: bool = False

    def print(self, output: str) -> None:
        """Print `data` and the exit code if `output` is `json`, `text` otherwise."""
        text = self.text
        if output == "json":
            text = json.dumps({**self.data, "exit_code": int(self.exit_code)}, indent=2)
        if text:
            typer.echo(text, err=self.is_failure)


def failure_report(exit_code: ExitCode, text: str, **data: Any) -> Report:
    """Return the report of a command that failed; `data` is added to its JSON output."""
    return Report({"error": text, **data}, text, exit_code, is_failure=True)


def findings_report(findings: Findings) -> Report:
    """Return a failure report with all findings in an input."""
    items = [{"place": item.place, "text": item.text} for item in findings.items]
    return failure_report(ExitCode.INVALID, str(findings), findings=items)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a text table with left-aligned columns, separated by two spaces."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def format_utc(when: float) -> str:
    """Return seconds since the epoch as an ISO 8601 date and time in UTC."""
    try:
        return datetime.fromtimestamp(when, UTC).isoformat(timespec="seconds")
    except (ValueError, OverflowError, OSError):
        return "unknown time"
