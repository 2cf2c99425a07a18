"""Guards against calls that crash one target after another and false load reports of targets."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic

import orjson
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import describe_response

from pollenglade_core.routing.endpoint import RAMP_UP_S
from pollenglade_emulator.target import POISON_PATH
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

NODES = ("a1", "a2", "b1")
MAX_CRASHES = 2
SEND_COUNT = 10
LATENCY_FACTOR = 6.0


class FaultyTargetTest(ZonedCase):
    async def test_call_that_is_resent_to_other_entries_crashes_two_targets_at_most(self) -> None:
        """If each node counted crashes alone, a caller could crash every target via other nodes."""
        fleet = await self.start_fleet(NODES, NODES)
        responses: Counter[str] = Counter()
        for number in range(SEND_COUNT):
            entry = NODES[number % len(NODES)]
            responses[describe_response(await fleet.call(entry, f"{POISON_PATH}/1"))] += 1
            for name in NODES:
                if fleet.targets[name].process.exit_code is not None:
                    await fleet.start_target(name)
            # A target announces itself within a second after its start.
            await asyncio.sleep(0.3)
        crashes = sum(entry.path.startswith(POISON_PATH) for entry in fleet.executions())
        print(f"{crashes} crashes, {dict(responses)}")
        self.assertIn(crashes, range(1, MAX_CRASHES + 1))
        self.assertEqual("200", describe_response(await fleet.call("b1")))

    async def test_target_that_reports_no_load_gets_no_more_of_it(self) -> None:
        """Routing by self-reported health and load would send most calls to the slowest target."""
        nodes = ("a1", "a2", "a3")
        fleet = await self.start_fleet(nodes, nodes)
        await set_conduct(
            fleet, "a2", {"health": 200, "load": 0.0, "latency_factor": LATENCY_FACTOR}
        )
        for name in ("a1", "a3"):
            await set_conduct(fleet, name, {"health": 503, "load": 5.0})
        # During the ramp a node prefers the target that it discovered first.
        await asyncio.sleep(RAMP_UP_S)
        started_s = monotonic()
        for _ in range(6):
            await asyncio.gather(*(send_calls(fleet, name) for name in fleet.nodes))
        occupancy_s_by_node = {
            name: slot_occupancy_s(fleet, name, started_s) for name in fleet.nodes
        }
        print({name: round(value, 2) for name, value in occupancy_s_by_node.items()})
        self.assertLessEqual(
            occupancy_s_by_node["a2"], max(occupancy_s_by_node["a1"], occupancy_s_by_node["a3"])
        )
        self.assertGreater(min(occupancy_s_by_node["a1"], occupancy_s_by_node["a3"]), 0.0)


async def send_calls(fleet: ZonedFleet, name: str) -> None:
    """Send 50 calls to one entry node, 3 at a time."""

    async def worker() -> None:
        for _ in range(17):
            await fleet.call(name, work_ms=None)

    await asyncio.gather(*(worker() for _ in range(3)))


def slot_occupancy_s(fleet: ZonedFleet, name: str, started_s: float) -> float:
    """Return the total time in seconds that slots of a target were in use since a time."""
    executions = [entry for entry in fleet.executions(name) if entry.start_s >= started_s]
    return sum((entry.end_s or entry.start_s) - entry.start_s for entry in executions)


async def set_conduct(fleet: ZonedFleet, name: str, conduct: dict[str, object]) -> None:
    """Set the conduct of a node's target."""
    client = HttpClient()
    target = fleet.targets[name].address
    response = await client.request(target, "PUT", "/_conduct", None, orjson.dumps(conduct))
    await client.close()
    assert isinstance(response, HttpResponse) and response.status == 200, response
