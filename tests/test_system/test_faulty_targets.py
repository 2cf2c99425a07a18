"""Guards against calls that crash target after target, and targets that lie about their load."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic

import orjson
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import outcome

from pollenglade_core.routing.endpoint import RAMP_S
from pollenglade_emulator.target import POISON_PATH
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

NODES = ("a1", "a2", "b1")
MAX_CRASHES = 2
RESENDS = 10
SLOWNESS = 6.0


class FaultyTargetTest(ZonedCase):
    async def test_call_that_is_resent_to_other_entries_crashes_two_targets_at_most(self) -> None:
        """A count at one node alone lets a caller crash every target by going round."""
        fleet = await self.start(NODES, NODES)
        seen: Counter[str] = Counter()
        for number in range(RESENDS):
            entry = NODES[number % len(NODES)]
            seen[outcome(await fleet.call(entry, f"{POISON_PATH}/1"))] += 1
            for name in NODES:
                if fleet.targets[name].process.exit_code is not None:
                    await fleet.start_target(name)
            # A target that has just started is announced within a second.
            await asyncio.sleep(0.3)
        crashes = sum(entry.path.startswith(POISON_PATH) for entry in fleet.executions())
        print(f"{crashes} crashes, {dict(seen)}")
        self.assertIn(crashes, range(1, MAX_CRASHES + 1))
        self.assertEqual("200", outcome(await fleet.call("b1")))

    async def test_target_that_reports_no_load_gets_no_more_of_it(self) -> None:
        """Routing by reported health and load would send most calls to the slowest target."""
        nodes = ("a1", "a2", "a3")
        fleet = await self.start(nodes, nodes)
        await set_conduct(fleet, "a2", {"health": 200, "load": 0.0, "latency_factor": SLOWNESS})
        for name in ("a1", "a3"):
            await set_conduct(fleet, name, {"health": 503, "load": 5.0})
        # Until then a node prefers the target that it knew first.
        await asyncio.sleep(RAMP_S)
        began_s = monotonic()
        for _ in range(6):
            await asyncio.gather(*(send_some(fleet, name) for name in fleet.nodes))
        busy_s = {name: occupancy_s(fleet, name, began_s) for name in fleet.nodes}
        print({name: round(value, 2) for name, value in busy_s.items()})
        self.assertLessEqual(busy_s["a2"], max(busy_s["a1"], busy_s["a3"]))
        self.assertGreater(min(busy_s["a1"], busy_s["a3"]), 0.0)


async def send_some(fleet: ZonedFleet, name: str) -> None:
    """Send 50 calls to one entry node, 3 at a time."""

    async def worker() -> None:
        for _ in range(17):
            await fleet.call(name, work_ms=None)

    await asyncio.gather(*(worker() for _ in range(3)))


def occupancy_s(fleet: ZonedFleet, name: str, began_s: float) -> float:
    """Return how long the slots of a target were in use in total from a time on."""
    executions = [entry for entry in fleet.executions(name) if entry.start_s >= began_s]
    return sum((entry.end_s or entry.start_s) - entry.start_s for entry in executions)


async def set_conduct(fleet: ZonedFleet, name: str, conduct: dict[str, object]) -> None:
    """Tell the target of a node how to behave."""
    client = HttpClient()
    target = fleet.targets[name].address
    response = await client.request(target, "PUT", "/_conduct", None, orjson.dumps(conduct))
    await client.close()
    assert isinstance(response, HttpResponse) and response.status == 200, response
