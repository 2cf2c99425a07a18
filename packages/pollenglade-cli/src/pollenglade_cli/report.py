"""The result of a command and its two printed forms."""

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
    """What a command prints: `data` for JSON, `text` otherwise; failures go to stderr."""

    data: Mapping[str, Any] = field(default_factory=dict)
    text: str = ""
    exit_code: ExitCode = ExitCode.OK
    is_failure: bool = False

    def print(self, output: str) -> None:
        """Print in the chosen form."""
        text = self.text
        if output == "json":
            text = json.dumps({**self.data, "exit_code": int(self.exit_code)}, indent=2)
        if text:
            typer.echo(text, err=self.is_failure)


def failure(exit_code: ExitCode, text: str, **data: Any) -> Report:
    """Return a report of a command that did not do what it was asked for."""
    return Report({"error": text, **data}, text, exit_code, is_failure=True)


def findings_report(findings: Findings) -> Report:
    """Return a report that lists all findings."""
    items = [{"place": item.place, "text": item.text} for item in findings.items]
    return failure(ExitCode.INVALID, str(findings), findings=items)


def aligned(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as columns that are separated by two spaces."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def utc(when: float) -> str:
    """Return seconds since the epoch as a date and time."""
    try:
        return datetime.fromtimestamp(when, UTC).isoformat(timespec="seconds")
    except (ValueError, OverflowError, OSError):
        return "unknown time"
