"""Development commands: `python -m pollenglade_emulator <command>`."""

from __future__ import annotations

import typer

from . import bench
from . import caller
from . import demo
from . import fault_proxy
from . import target_standin
from . import zone_relay
from .control_cost import control_cost
from .decision_cost import decision_cost
from .hop_cost import hop_cost
from .http_cost import http_cost
from .link_comparison import link_comparison
from .platform_command import platform

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@app.callback()
def emulator() -> None:
    """Stand-ins, load generator and scenarios for development."""


app.command()(platform)
app.command()(link_comparison)
app.command()(hop_cost)
app.command()(http_cost)
app.command()(decision_cost)
app.command()(control_cost)
app.add_typer(target_standin.app)
app.add_typer(fault_proxy.app)
app.add_typer(zone_relay.app)
app.add_typer(caller.app)
app.add_typer(demo.app)
app.add_typer(bench.app)

if __name__ == "__main__":
    app()
