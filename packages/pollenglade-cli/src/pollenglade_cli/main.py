"""Entry point of the `pollenglade` command."""

from __future__ import annotations

import typer

from . import burn_command
from . import key_commands
from . import monitor_commands
from . import profile_commands
from .explain_command import explain
from .status_command import status

# Tracebacks must not show local variables, which can contain the secret of a key.
app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Manage profiles and keys, and check which configuration is in force.",
)
app.add_typer(profile_commands.app, name="profile")
app.add_typer(key_commands.app, name="key")
app.add_typer(monitor_commands.app, name="monitor")
app.add_typer(burn_command.app, name="report")
app.command()(status)
app.command()(explain)


def main() -> None:
    """Run the command."""
    app()
