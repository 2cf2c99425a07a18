"""Subcommand `demo`: runs both workloads on a small fleet and prints their measures."""

from __future__ import annotations

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import typer

from pollenglade_net.address import Address

from .added_latency import AddedLatency
from .added_latency import LatencyProbe
from .added_latency import ProbePath
from .deployments import PROBE_DEPLOYMENT
from .deployments import RESIDENCIES
from .deployments import SALAIRES
from .fleet import Fleet
from .fleet import start_fleet
from .load import LoadGenerator
from .load import LoadSettings
from .measures import Summary
from .measures import summarise
from .processes import NODE_MODULE
from .processes import Processes
from .publication import publish
from .publication_command import publish_by_command
from .report import latency_table
from .report import summary_table
from .workload import Deployment

ZONE_COUNT = 2
LOAD_SCALE = 0.01
"""Fraction of the planned load; targets, nodes and callers share one machine."""

app = typer.Typer()


def demo_deployments() -> list[Deployment]:
    """Return both deployments, reduced to two zones with one endpoint per service in each."""
    return [
        entry.compact(ZONE_COUNT, ZONE_COUNT).scaled(LOAD_SCALE)
        for entry in (RESIDENCIES, SALAIRES)
    ]


async def publish_deployment(platform: Address, deployment: Deployment) -> dict[str, str]:
    """Publish the probe deployment through the command line, the others through the store.

    The profile file for the command has no request rules, and only the probe deployment needs none.
    """
    if deployment is PROBE_DEPLOYMENT:
        return await publish_by_command(platform, deployment)
    return await publish(platform, deployment)


def probe_paths(fleet: Fleet) -> list[ProbePath]:
    """Return one path per endpoint of the probed service, through the node on the same host."""
    service, organisation = PROBE_DEPLOYMENT.services[0].name, PROBE_DEPLOYMENT.organisations[0].id
    key = fleet.keys_by_deployment[PROBE_DEPLOYMENT.name][organisation]
    return [
        ProbePath(service, member.node.caller, member.target.address, key)
        for member in fleet.hosts_of(service)
    ]


async def measure(
    fleet: Fleet, deployments: list[Deployment], duration_s: float
) -> tuple[dict[str, Summary], AddedLatency]:
    """Run the loads of all deployments and the latency probe concurrently."""
    loads = [
        LoadGenerator(
            LoadSettings(
                deployment=deployment,
                entries=fleet.caller_addresses(),
                keys_by_organisation=fleet.keys_by_deployment[deployment.name],
                duration_s=duration_s,
                run_id=deployment.name,
            )
        )
        for deployment in deployments
    ]
    probe = LatencyProbe(probe_paths(fleet), "probe")
    async with asyncio.TaskGroup() as group:
        probe_task = group.create_task(probe.run(duration_s))
        load_tasks = [group.create_task(load.run()) for load in loads]
    executions = fleet.executions()
    summaries: dict[str, Summary] = {}
    for deployment, task in zip(deployments, load_tasks, strict=True):
        prefix = f"{deployment.name}-"
        own_executions = [entry for entry in executions if entry.request_id.startswith(prefix)]
        summaries[deployment.name] = summarise(
            task.result().records, own_executions, deployment.organisations_by_id, duration_s
        )
    return summaries, probe_task.result()


async def run_demo(duration_s: float, node_module: str = NODE_MODULE) -> int:
    """Run the demo; return 1 on wrong responses, no goodput or a failed process, else 0."""
    deployments = demo_deployments()
    with TemporaryDirectory() as folder:
        async with Processes(node_module) as processes:
            typer.echo("starting platform, nodes and targets")
            fleet = await start_fleet(
                processes,
                [*deployments, PROBE_DEPLOYMENT],
                Path(folder),
                publisher=publish_deployment,
            )
            typer.echo(f"{len(fleet.hosts)} nodes with targets; load for {duration_s:.0f} s")
            summaries, latency = await measure(fleet, deployments, duration_s)
            typer.echo(summary_table(summaries))
            typer.echo(latency_table(latency))
            codes = await processes.stop_all()
    failed = {name: code for name, code in codes.items() if code != 0}
    wrong = sum(summary.wrong for summary in summaries.values()) + latency.wrong
    good = all(summary.goodput_per_s > 0 for summary in summaries.values())
    typer.echo(f"{len(codes) - len(failed)} of {len(codes)} processes exited 0")
    for name, code in failed.items():
        typer.echo(f"{name} exited {code}; its output:\n{processes.by_name[name].output}")
    if wrong:
        typer.echo(f"{wrong} wrong responses")
    if not good:
        typer.echo("at least one workload had no goodput")
    return 1 if failed or wrong or not good else 0


@app.command()
def demo(
    duration_s: Annotated[
        float, typer.Option(min=1.0, max=120.0, help="Duration of the load.")
    ] = 20.0,
    node_module: Annotated[str, typer.Option(help="Module that runs a node.")] = NODE_MODULE,
) -> None:
    """Run both workloads in two zones and print their measures."""
    raise typer.Exit(asyncio.run(run_demo(duration_s, node_module)))
