"""One measured run of a scenario against one variant of the nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .faults import Faults
from .fleet import Fleet
from .fleet import start_fleet
from .load import Load
from .load import LoadSettings
from .measures import Summary
from .measures import goodput_over_time
from .measures import summarise
from .measures import time_to_recover_s
from .processes import NODE_MODULE
from .processes import Processes
from .scenario import Partition
from .scenario import Scenario
from .scenario import Timing
from .target import POISON_EXIT_CODE
from .workload import Deployment

BASELINES: Mapping[str, Mapping[str, str]] = {
    "gradient": {"POLLENGLADE_CONCURRENCY_LIMIT": "gradient"},
    "fixed": {"POLLENGLADE_CONCURRENCY_LIMIT": "fixed"},
    "none": {"POLLENGLADE_CONCURRENCY_LIMIT": "none"},
}
"""Settings of the nodes for each variant that is compared."""


@dataclass(frozen=True)
class BenchSettings:
    """What all runs of one comparison have in common."""

    deployment: Deployment
    timing: Timing = field(default_factory=Timing)
    seed: int = 1
    node_module: str = NODE_MODULE


@dataclass(frozen=True)
class BenchResult:
    """Measures of one run; `recover_s` is None where goodput did not recover in the run."""

    scenario: str
    baseline: str
    workload: str
    seed: int
    timing: Timing
    summary: Summary
    goodput_over_time: list[float]
    recover_s: float | None
    late_p99_s: float
    crashes: int
    poison_calls: int
    faults_found: list[str]

    def document(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return asdict(self)


async def run_bench(settings: BenchSettings, scenario: Scenario, baseline: str) -> BenchResult:
    """Start a fleet, run a scenario on it, stop the fleet and return the measures."""
    with TemporaryDirectory() as folder:
        async with Processes(settings.node_module) as processes:
            fleet = await start_fleet(
                processes,
                [settings.deployment],
                Path(folder),
                BASELINES[baseline],
                separable=scenario.partition is not Partition.NONE,
            )
            faults = Faults(fleet, settings.deployment, scenario)
            load = _load(settings, scenario, fleet)
            async with asyncio.TaskGroup() as group:
                running = group.create_task(load.run())
                group.create_task(faults.run(settings.timing))
            codes = await processes.stop_all()
        executions = fleet.executions()
    result, timing = running.result(), settings.timing
    # A poisoned call can wait for a slot until after the last restart.
    late = sum(code == POISON_EXIT_CODE for code in codes.values()) if scenario.poison else 0
    expected = (0, POISON_EXIT_CODE) if scenario.poison else (0,)
    exits = [f"{name} exited {code}" for name, code in codes.items() if code not in expected]
    organisations = settings.deployment.organisations_by_id
    return BenchResult(
        scenario=scenario.name,
        baseline=baseline,
        workload=settings.deployment.name,
        seed=settings.seed,
        timing=timing,
        summary=summarise(result.records, executions, organisations, timing.duration_s),
        goodput_over_time=goodput_over_time(result.records, timing.duration_s),
        recover_s=time_to_recover_s(result.records, timing.before_s, timing.end_s),
        late_p99_s=result.lateness.quantile_s(0.99),
        crashes=faults.crashes + late,
        poison_calls=faults.poison_calls,
        faults_found=[*faults.unexpected_exits, *exits],
    )


def _load(settings: BenchSettings, scenario: Scenario, fleet: Fleet) -> Load:
    deployment = settings.deployment
    return Load(
        LoadSettings(
            deployment=deployment,
            entries=fleet.entries(),
            keys_by_organisation=fleet.keys_by_deployment[deployment.name],
            duration_s=settings.timing.duration_s,
            seed=settings.seed,
            surges=scenario.surges(deployment, settings.timing),
            retries=scenario.retries,
        )
    )
