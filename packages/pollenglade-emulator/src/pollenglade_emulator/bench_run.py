"""One measured run of a scenario against one variant of the nodes."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .faults import FaultInjector
from .fleet import Fleet
from .fleet import start_fleet
from .load import LoadGenerator
from .load import LoadSettings
from .measures import Summary
from .measures import goodput_over_time
from .measures import goodput_per_s
from .measures import summarise
from .measures import time_to_recover_s
from .measures import useful_share
from .measures import wasted_share
from .processes import NODE_MODULE
from .processes import Processes
from .records import Execution
from .records import RequestRecord
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
"""Environment variables of the nodes for each compared variant."""


@dataclass(frozen=True)
class BenchSettings:
    """Settings that all runs of a comparison share."""

    deployment: Deployment
    timing: Timing = field(default_factory=Timing)
    seed: int = 1
    node_module: str = NODE_MODULE


@dataclass(frozen=True)
class BenchResult:
    """Measures of one run; `recover_s` is None if goodput did not recover during the run."""

    scenario: str
    baseline: str
    workload: str
    seed: int
    timing: Timing
    summary: Summary
    goodput_over_time: list[float]
    recover_s: float | None
    cause_goodput_per_s: float
    cause_useful_share: float
    cause_wasted_share: float
    late_p99_s: float
    load_average: float
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
                partitionable=scenario.partition is not Partition.NONE,
            )
            faults = FaultInjector(fleet, settings.deployment, scenario)
            load = _load_generator(settings, scenario, fleet)
            async with asyncio.TaskGroup() as group:
                load_task = group.create_task(load.run())
                group.create_task(faults.run(settings.timing))
            codes = await processes.stop_all()
        executions = fleet.executions()
    load_average = os.getloadavg()[0]
    result, timing = load_task.result(), settings.timing
    cause_records = [r for r in result.records if timing.before_s <= r.scheduled_s < timing.end_s]
    # A poison call can wait for a slot until after the last restart.
    late_crashes = (
        sum(code == POISON_EXIT_CODE for code in codes.values()) if scenario.poison else 0
    )
    expected = (0, POISON_EXIT_CODE) if scenario.poison else (0,)
    unexpected_exits = [
        f"{name} exited {code}" for name, code in codes.items() if code not in expected
    ]
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
        cause_goodput_per_s=goodput_per_s(cause_records, timing.cause_s),
        cause_useful_share=useful_share(
            cause_records, settings.deployment, timing.before_s, timing.end_s
        ),
        cause_wasted_share=wasted_share(cause_records, _executions_of(cause_records, executions)),
        load_average=load_average,
        late_p99_s=result.lateness.quantile_s(0.99),
        crashes=faults.crashes + late_crashes,
        poison_calls=faults.poison_calls,
        faults_found=[*faults.unexpected_exits, *unexpected_exits],
    )


def _executions_of(
    records: Iterable[RequestRecord], executions: Iterable[Execution]
) -> list[Execution]:
    ids = {record.request_id for record in records}
    return [execution for execution in executions if execution.request_id in ids]


def _load_generator(settings: BenchSettings, scenario: Scenario, fleet: Fleet) -> LoadGenerator:
    deployment = settings.deployment
    return LoadGenerator(
        LoadSettings(
            deployment=deployment,
            entries=fleet.caller_addresses(),
            keys_by_organisation=fleet.keys_by_deployment[deployment.name],
            duration_s=settings.timing.duration_s,
            seed=settings.seed,
            surges=scenario.surges(deployment, settings.timing),
            retries=scenario.retries,
        )
    )
