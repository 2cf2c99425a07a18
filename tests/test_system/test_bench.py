"""Guards against scenarios that do not produce their fault or do not report its effect."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import orjson

from pollenglade_emulator.bench_run import BenchResult
from pollenglade_emulator.bench_run import BenchSettings
from pollenglade_emulator.bench_run import run_bench
from pollenglade_emulator.deployments import SALAIRES
from pollenglade_emulator.plot import plot_goodput
from pollenglade_emulator.scenario import SCENARIOS_BY_NAME
from pollenglade_emulator.scenario import Partition
from pollenglade_emulator.scenario import Timing

PLAIN_NODE = "support.plain_node"


class BenchTest(unittest.IsolatedAsyncioTestCase):
    async def run_scenario(self, name: str) -> BenchResult:
        """Run a scenario for a short time in one zone."""
        deployment = SALAIRES.compact(1, 1).scaled(0.01)
        settings = BenchSettings(deployment, Timing(2.0, 3.0, 2.0), node_module=PLAIN_NODE)
        return await run_bench(settings, SCENARIOS_BY_NAME[name], "none")

    async def test_crash_loop_crashes_and_restarts_targets(self) -> None:
        """A scenario without crashes would satisfy the limit of 2 crashes trivially."""
        result = await self.run_scenario("crash-loop")
        self.assertGreaterEqual(result.crashes, 1)
        self.assertGreaterEqual(result.poison_calls, result.crashes)
        self.assertEqual([], result.faults_found)
        self.assertEqual(0, result.summary.wrong)
        document = orjson.loads(orjson.dumps(result.document()))
        self.assertEqual("crash-loop", document["scenario"])
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plot.svg"
            plot_goodput([result, replace(result, scenario="calm")], path)
            self.assertIn(b"<svg", path.read_bytes())

    async def test_noisy_neighbour_sends_more_than_its_rate(self) -> None:
        """A noisy organisation that stays within its rate would not test isolation."""
        result = await self.run_scenario("noisy-neighbour")
        largest = max(SALAIRES.organisations, key=lambda entry: entry.offered_per_s)
        self.assertIsNotNone(result.summary.worst)
        assert result.summary.worst is not None
        self.assertNotEqual(largest.id, result.summary.worst.organisation)
        self.assertEqual((0, []), (result.crashes, result.faults_found))


class ScenarioTest(unittest.TestCase):
    def test_all_at_once_contains_every_cause(self) -> None:
        """A fault that the combined scenario lacks is never tested together with others."""
        combined = SCENARIOS_BY_NAME["all-at-once"]
        deployment, timing = SALAIRES.scaled(0.01), Timing()
        for scenario in SCENARIOS_BY_NAME.values():
            for flag in ("slow", "platform_down", "poison"):
                self.assertLessEqual(getattr(scenario, flag), getattr(combined, flag), flag)
        self.assertEqual(2, len(combined.surges(deployment, timing)))
        self.assertIs(Partition.ZONE, combined.partition)
