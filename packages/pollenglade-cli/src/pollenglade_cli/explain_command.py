"""The command that explains from log lines what became of a request."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import orjson
import typer

from .exit_codes import ExitCode
from .request_story import LogLine
from .request_story import RequestStory
from .request_story import tell


class Form(StrEnum):
    """How the story is printed."""

    TEXT = "text"
    JSON = "json"


def explain(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input without any.")
    ] = None,
    output: Annotated[Form, typer.Option(help="Form of the story.")] = Form.TEXT,
) -> None:
    """Show what the nodes logged about a request and its nested calls, and the cause."""
    story = tell(request, _lines(logs or []))
    typer.echo(_as_json(story) if output is Form.JSON else _as_text(story))
    if story.lines:
        raise typer.Exit(ExitCode.OK)
    raise typer.Exit(ExitCode.LINES_LEFT_OUT if story.left_out else ExitCode.NOT_LOGGED)


def _lines(paths: list[Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}; name a log file that can be read", err=True)
            raise typer.Exit(ExitCode.UNREADABLE) from error


def _as_text(story: RequestStory) -> str:
    if not story.lines:
        reason = "lines were left out" if story.left_out else "served requests are sampled"
        return f"{story.request}: no node logged it ({reason})"
    rows = [f"{story.request}: {story.cause}"]
    rows += [f"  {_row(line)}" for line in story.lines]
    rows += [
        f"  {line.at}  {line.node}: lines were left out in this second" for line in story.left_out
    ]
    return "\n".join(rows)


def _row(line: LogLine) -> str:
    shown = {key: value for key, value in line.fields.items() if value is not None}
    for hidden in ("zone", "level"):
        shown.pop(hidden, None)
    pairs = " ".join(f"{key}={value}" for key, value in sorted(shown.items()))
    return f"{line.at}  {line.node}  {line.event}  {pairs}"


def _as_json(story: RequestStory) -> str:
    document = {
        "request": story.request,
        "cause": story.cause if story.lines else None,
        "lines": [
            {"at": line.at, "node": line.node, "event": line.event, **line.fields}
            for line in story.lines
        ],
        "lines_left_out": len(story.left_out),
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
