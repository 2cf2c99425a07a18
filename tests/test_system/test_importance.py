"""Guards against important requests that are shed while less important ones run."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from random import Random
from time import monotonic

from support.system import System
from support.system import started

from pollenglade_core.calls.outcome import REASONS_FOR_LOAD
from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_message import HttpResponse

SERVICE = "open-calls"
WORK_MS = 40
SLOTS = 4
CAPACITY_PER_S = SLOTS * 1_000 / WORK_MS
FACTORS = (1, 2, 5, 10)
STEP_S = 3.0

LEVEL_BOUND_S = 1.1
"""Age of an admission level at an entry node (1 s) and longest time in a queue (100 ms).

Within this time after a change of demand an entry node may act on an old level.
"""

SHARE_BY_ROUTE = {"browse": 0.8, "apply": 0.17, "call-rules": 0.03}
"""Routes by rising importance. Those of `call-rules` alone never exceed the capacity."""

ORDER = tuple(SHARE_BY_ROUTE)


class Load:
    """Open-loop calls of all routes with the results by route."""

    def __init__(self, system: System, node: NodeProcess) -> None:
        self._system = system
        self._node = node
        self._random = Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def step(self, rate_per_s: float) -> dict[str, Counter[str]]:
        """Send at a rate for one step and return counts of `ran`, `shed` and `other`."""
        results = {route: Counter[str]() for route in ORDER}
        started_at = due = monotonic()
        while due < started_at + STEP_S:
            due += self._random.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due - monotonic()))
            route = self._random.choices(ORDER, list(SHARE_BY_ROUTE.values()))[0]
            counts = results[route] if due > started_at + LEVEL_BOUND_S else Counter()
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
        ) in REASONS_FOR_LOAD:
            counts["shed"] += 1
            counts[reason] += 1
        else:
            counts["other"] += 1


class ImportanceTest(unittest.IsolatedAsyncioTestCase):
    async def test_most_important_requests_are_shed_last(self) -> None:
        """Under 1 to 10 times the capacity, requests that fit by themselves must not be shed."""
        system: System = await self.enterAsyncContext(started())
        entry, serving = await system.add_node("z1"), await system.add_node("z1")
        await system.add_target(serving, SERVICE, ["--slots", str(SLOTS)])
        await system.wait_ready(entry, SERVICE)
        load = Load(system, entry)
        for factor in FACTORS:
            results = await load.step(factor * CAPACITY_PER_S)
            print(f"{factor} times the capacity: {results}")
            shares = [
                counts["shed"] / max(1, counts["shed"] + counts["ran"])
                for counts in results.values()
            ]
            with self.subTest(factor=factor):
                self.assertEqual(0, results["call-rules"]["shed"])
                self.assertEqual(sorted(shares, reverse=True), shares)
                self.assertEqual(0, sum(counts["other"] for counts in results.values()))
