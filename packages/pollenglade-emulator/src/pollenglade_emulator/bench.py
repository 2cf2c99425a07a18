"""Subcommand `bench`: runs scenarios on variants of the nodes; writes JSON and a plot."""

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

ZONE_COUNT = 2

app = typer.Typer()


def result_table(results: list[BenchResult]) -> str:
    """Return a text table with one row per run."""
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


def validate_names(names: list[str], valid_names: list[str], kind: str) -> list[str]:
    """Return the names, or all valid names if none is given; raise for an unknown name."""
    for name in names:
        if name not in valid_names:
            raise typer.BadParameter(
                f"unknown {kind} {name!r}; choose from {', '.join(valid_names)}"
            )
    return names or valid_names


@app.command()
def bench(
    scenarios: Annotated[
        list[str] | None, typer.Argument(help="Scenarios; all by default.")
    ] = None,
    baseline: Annotated[
        list[str] | None, typer.Option(help=f"Variants of the nodes: {', '.join(BASELINES)}.")
    ] = None,
    workload: Annotated[str, typer.Option(help="Deployment.")] = "residencies",
    scale: Annotated[float, typer.Option(min=0.002, max=0.1, help="Fraction of its load.")] = 0.02,
    before_s: Annotated[
        float, typer.Option(min=1.0, max=60.0, help="Time before the cause.")
    ] = 10.0,
    cause_s: Annotated[
        float, typer.Option(min=1.0, max=60.0, help="Duration of the cause.")
    ] = 20.0,
    after_s: Annotated[
        float, typer.Option(min=1.0, max=120.0, help="Time after the cause.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    contract_factor: Annotated[
        float, typer.Option(min=1.0, max=100.0, help="Factor on rates and bursts of contracts.")
    ] = 1.0,
    least_burst: Annotated[int, typer.Option(min=1, help="Minimum burst of a contract.")] = 1,
    output: Annotated[Path, typer.Option(help="Folder for the results.")] = Path("results"),
    node_module: Annotated[str, typer.Option(help="Module that runs a node.")] = NODE_MODULE,
) -> None:
    """Run scenarios one after another to compare variants of the nodes."""
    scenario_names = validate_names(scenarios or [], list(SCENARIOS_BY_NAME), "scenario")
    variants = validate_names(baseline or ["gradient"], list(BASELINES), "baseline")
    validate_names([workload], list(DEPLOYMENTS_BY_NAME), "workload")
    settings = BenchSettings(
        deployment=DEPLOYMENTS_BY_NAME[workload]
        .compact(ZONE_COUNT, ZONE_COUNT)
        .scaled(scale)
        .with_contracts(contract_factor, least_burst),
        timing=Timing(before_s, cause_s, after_s),
        seed=seed,
        node_module=node_module,
    )
    output.mkdir(parents=True, exist_ok=True)
    results: list[BenchResult] = []
    for name in scenario_names:
        for variant in variants:
            results.append(asyncio.run(run_bench(settings, SCENARIOS_BY_NAME[name], variant)))
            typer.echo(f"{name}, {variant}: done")
            documents = [result.document() for result in results]
            (output / "bench.json").write_bytes(orjson.dumps(documents, option=orjson.OPT_INDENT_2))
    plot_goodput(results, output / "goodput.svg")
    typer.echo(result_table(results))
    unexpected_exits = [text for result in results for text in result.faults_found]
    for text in unexpected_exits:
        typer.echo(text)
    wrong = sum(result.summary.wrong for result in results)
    raise typer.Exit(1 if unexpected_exits or wrong else 0)
