"""Subcommand `bench`: scenarios against variants of the nodes, as JSON and as a plot."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import orjson
import typer

from .bench_run import BASELINES
from .bench_run import BenchResult
from .bench_run import BenchSettings
from .bench_run import run_bench
from .deployments import DEPLOYMENTS_BY_NAME
from .plot import plot_goodput
from .processes import NODE_MODULE
from .report import table
from .scenario import SCENARIOS_BY_NAME
from .scenario import Timing

ZONES = 2

app = typer.Typer()


def result_table(results: list[BenchResult]) -> str:
    """Return one row per run."""
    rows = [["scenario", "nodes", "seed", "goodput/s", "good", "recover s", "worst", "wrongful"]]
    rows[0] += ["wasted", "cause/s", "cause useful", "cause wasted"]
    rows[0] += ["crashes", "wrong", "late p99 ms", "load"]
    for result in results:
        summary = result.summary
        rows.append(
            [
                result.scenario,
                result.baseline,
                str(result.seed),
                f"{summary.goodput_per_s:.1f}",
                f"{summary.good_share:.3f}",
                "-" if result.recover_s is None else f"{result.recover_s:.0f}",
                "-" if summary.worst is None else f"{summary.worst.share:.3f}",
                f"{summary.wrongful_share:.4f}",
                f"{summary.wasted_share:.3f}",
                f"{result.cause_goodput_per_s:.1f}",
                f"{result.cause_useful_share:.3f}",
                f"{result.cause_wasted_share:.3f}",
                str(result.crashes),
                str(summary.wrong),
                f"{result.late_p99_s * 1_000:.1f}",
                f"{result.load_average:.1f}",
            ]
        )
    return table(rows)


def checked(names: list[str], known: list[str], kind: str) -> list[str]:
    """Return the names, or all known ones where none is given; raise for an unknown name."""
    for name in names:
        if name not in known:
            raise typer.BadParameter(f"no {kind} {name!r}; choose from {', '.join(known)}")
    return names or known


@app.command()
def bench(
    scenarios: Annotated[list[str] | None, typer.Argument(help="Scenarios; all if none.")] = None,
    baseline: Annotated[
        list[str] | None, typer.Option(help=f"Variants of the nodes: {', '.join(BASELINES)}.")
    ] = None,
    workload: Annotated[str, typer.Option(help="Deployment.")] = "residencies",
    scale: Annotated[float, typer.Option(min=0.002, max=0.1, help="Part of its load.")] = 0.02,
    before_s: Annotated[float, typer.Option(min=1.0, max=60.0, help="Before the cause.")] = 10.0,
    cause_s: Annotated[float, typer.Option(min=1.0, max=60.0, help="Length of the cause.")] = 20.0,
    after_s: Annotated[float, typer.Option(min=1.0, max=120.0, help="After the cause.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    contract_factor: Annotated[
        float, typer.Option(min=1.0, max=100.0, help="Multiple of the contracts.")
    ] = 1.0,
    least_burst: Annotated[int, typer.Option(min=1, help="Least burst of a contract.")] = 1,
    output: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("results"),
    node_module: Annotated[str, typer.Option(help="Module that runs a node.")] = NODE_MODULE,
) -> None:
    """Run scenarios one after another and compare variants of the nodes."""
    chosen = checked(scenarios or [], list(SCENARIOS_BY_NAME), "scenario")
    variants = checked(baseline or ["gradient"], list(BASELINES), "baseline")
    checked([workload], list(DEPLOYMENTS_BY_NAME), "workload")
    settings = BenchSettings(
        deployment=DEPLOYMENTS_BY_NAME[workload]
        .compact(ZONES, ZONES)
        .scaled(scale)
        .with_contracts(contract_factor, least_burst),
        timing=Timing(before_s, cause_s, after_s),
        seed=seed,
        node_module=node_module,
    )
    output.mkdir(parents=True, exist_ok=True)
    results: list[BenchResult] = []
    for name in chosen:
        for variant in variants:
            results.append(asyncio.run(run_bench(settings, SCENARIOS_BY_NAME[name], variant)))
            typer.echo(f"{name}, {variant}: done")
            documents = [result.document() for result in results]
            (output / "bench.json").write_bytes(orjson.dumps(documents, option=orjson.OPT_INDENT_2))
    plot_goodput(results, output / "goodput.svg")
    typer.echo(result_table(results))
    faults = [fault for result in results for fault in result.faults_found]
    for fault in faults:
        typer.echo(fault)
    wrong = sum(result.summary.wrong for result in results)
    raise typer.Exit(1 if faults or wrong else 0)
