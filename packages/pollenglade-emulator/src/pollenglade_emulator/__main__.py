"""Development command: `python -m pollenglade_emulator <subcommand>`."""

from __future__ import annotations

import typer

from . import caller
from . import cutting_proxy
from . import target_standin

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.add_typer(target_standin.app)
app.add_typer(cutting_proxy.app)
app.add_typer(caller.app)


@app.callback()
def main() -> None:
    """Stand-ins, load tool and scenarios for development."""


if __name__ == "__main__":
    app()
