"""Development commands: `python -m pollenglade_emulator <command>`."""

from __future__ import annotations

import typer

from .platform_command import platform

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@app.callback()
def emulator() -> None:
    """Stand-ins, load tool and scenarios for development."""


app.command()(platform)

if __name__ == "__main__":
    app()
