"""Guards against shedding important requests while less important ones run."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from random import Random
from time import monotonic

from support.system import System
from support.system import running_system

from pollenglade_core.calls.outcome import CAPACITY_REASONS
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_message import HttpResponse

SERVICE = "open-calls"
WORK_MS = 40
SLOTS = 4
CAPACITY_PER_S = SLOTS * 1_000 / WORK_MS
LOAD_FACTORS = (1, 2, 5, 10)
STEP_DURATION_S = 3.0

LEVEL_DELAY_S = 1.1
"""Sum of the maximum age of an admission level at an entry node (1 s) and queue time (100 ms).

Until then after a change of demand, an entry node may use an outdated level.
"""

FRACTION_BY_ROUTE = {"browse": 0.8, "apply": 0.17, "call-rules": 0.03}
"""Routes in ascending importance; `call-rules` alone never exceeds the capacity."""

ROUTES_BY_IMPORTANCE = tuple(FRACTION_BY_ROUTE)


class OpenLoopLoad:
    """Sends open-loop calls on all routes and counts results by route."""

    def __init__(self, system: System, node: NodeProcess) -> None:
        self._system = system
        self._node = node
        self._random = Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run_step(self, rate_per_s: float) -> dict[str, Counter[str]]:
        """Send calls at a rate for one step; return counts of `ran`, `shed` and `other` by route.

        Calls within `LEVEL_DELAY_S` after the start of the step are not counted.
        """
        results = {route: Counter[str]() for route in ROUTES_BY_IMPORTANCE}
        started_at = next_send_at = monotonic()
        while next_send_at < started_at + STEP_DURATION_S:
            next_send_at += self._random.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, next_send_at - monotonic()))
            route = self._random.choices(ROUTES_BY_IMPORTANCE, list(FRACTION_BY_ROUTE.values()))[0]
            counts = results[route] if next_send_at > started_at + LEVEL_DELAY_S else Counter()
            task = asyncio.create_task(self._call(route, counts))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        return results

    async def _call(self, route: str, counts: Counter[str]) -> None:
        self._number += 1
        headers = [(b"emulator-work-ms", b"%d" % WORK_MS)]
        path = f"/{SERVICE}/{route}/{self._number}"
        response = await self._system.call(self._node, path, headers)
        assert isinstance(response, HttpResponse), response
        if response.status == 200:
            counts["ran"] += 1
        elif (
            reason := (response.header(b"pollenglade-reason") or b"").decode()
        ) in CAPACITY_REASONS:
            counts["shed"] += 1
            counts[reason] += 1
        else:
            counts["other"] += 1


class ImportanceTest(unittest.IsolatedAsyncioTestCase):
    async def test_most_important_requests_are_shed_last(self) -> None:
        """At 1 to 10 times the capacity, the route that fits on its own must not be shed."""
        system: System = await self.enterAsyncContext(running_system())
        entry, serving = await system.add_node("z1"), await system.add_node("z1")
        await system.add_target(serving, SERVICE, ["--slots", str(SLOTS)])
        await system.wait_ready(entry, SERVICE)
        load = OpenLoopLoad(system, entry)
        for factor in LOAD_FACTORS:
            results = await load.run_step(factor * CAPACITY_PER_S)
            print(f"{factor} times the capacity: {results}")
            shed_fractions = [
                counts["shed"] / max(1, counts["shed"] + counts["ran"])
                for counts in results.values()
            ]
            with self.subTest(factor=factor):
                self.assertEqual(0, results["call-rules"]["shed"])
                self.assertEqual(sorted(shed_fractions, reverse=True), shed_fractions)
                self.assertEqual(0, sum(counts["other"] for counts in results.values()))
