"""Development commands: `python -m pollenglade_emulator <command>`."""

from __future__ import annotations

import typer

from . import cutting_proxy
from . import target_standin
from .platform_command import platform

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@app.callback()
def emulator() -> None:
    """Stand-ins, load tool and scenarios for development."""


app.command()(platform)
app.add_typer(target_standin.app)
app.add_typer(cutting_proxy.app)

if __name__ == "__main__":
    app()
