"""Guards against planned stops that abort calls or that other nodes do not notice."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from time import monotonic

from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import describe_response

from pollenglade_net.http_client import HttpClient

DRAIN_S = 3.0
"""Guarantee 10: time after which a draining target gets no new call, in seconds."""

LONG_WORK_MS = 7_000
DRAIN_LIMIT_S = 6.0
"""Longest time for a stop in seconds, less than the deadline of a call to the path `long`."""

PAUSE_S = 0.02
WORKERS = 4
ROUNDS = 3
MAX_WRONGFUL_REFUSAL_FRACTION = 0.001
"""Section 8.3 of the design page: limit on the fraction of calls within the rate that are refused.

It applies under normal conditions.
"""


@dataclass
class Callers:
    """Callers that avoid entry nodes that are draining or about to stop."""

    fleet: ZonedFleet
    entry_nodes: list[str]
    responses: Counter[str] = field(default_factory=Counter)
    stopped: bool = False

    async def run(self, number: int) -> None:
        """Send one call after another over persistent connections."""
        client = HttpClient()
        while not self.stopped:
            number += 1
            name = self.entry_nodes[number % len(self.entry_nodes)]
            response = describe_response(await self.fleet.call(name, client=client))
            self.responses[response] += 1
            await asyncio.sleep(PAUSE_S)
        await client.close()


class DrainTest(ZonedCase):
    async def test_draining_target_and_node_get_no_call_after_three_seconds(self) -> None:
        """Guards against calls to a draining target or node after a partition.

        A zone that missed the announcement during a partition must not send calls to the draining
        target or node after the partition ends.
        """
        fleet = await self.start_fleet(("a1", "a2", "a3", "b1"), ("a1", "a2", "a3"))
        callers = Callers(fleet, ["a3", "b1"])
        async with asyncio.TaskGroup() as group:
            for number in range(WORKERS):
                group.create_task(callers.run(number))
            for name in ("a1", "a2"):
                # A running call keeps a draining target or node from ending at once.
                group.create_task(fleet.call(name, "/long/1", LONG_WORK_MS))
            await asyncio.sleep(0.5)
            await fleet.network.isolate("b")
            drain_started_s = monotonic()
            fleet.targets["a1"].process.send_signal(signal.SIGTERM)
            fleet.nodes["a2"].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(2.0)
            await fleet.network.heal()
            await asyncio.sleep(4.0)
            callers.stopped = True
        late_starts_s = [
            entry.start_s - drain_started_s
            for name in ("a1", "a2")
            for entry in fleet.executions(name)
            if entry.start_s > drain_started_s + DRAIN_S
        ]
        print(dict(callers.responses), late_starts_s)
        self.assertEqual([], late_starts_s)
        later_executions = [
            entry for entry in fleet.executions("a3") if entry.start_s > drain_started_s + DRAIN_S
        ]
        self.assertTrue(later_executions)


class LateCallTest(ZonedCase):
    async def test_a_stop_cuts_off_a_call_that_it_accepted_shortly_before_its_limit(self) -> None:
        """Its deadline was not looked at; a call may run until then, whatever it usually takes."""
        fleet = await self.start_fleet(("a1", "a2"), ("a2",))
        fleet.nodes["a3"] = await fleet.network.start_node(
            "a3", "a", {"POLLENGLADE_DRAIN_LIMIT_S": str(DRAIN_LIMIT_S)}
        )
        await fleet.wait_joined()
        await fleet.wait_calls_succeed()
        fleet.nodes["a3"].process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        responses = await asyncio.gather(
            fleet.call("a3", "/job/1"), fleet.call("a3", "/long/1", LONG_WORK_MS)
        )
        found = [describe_response(response) for response in responses]
        self.assertEqual(found, ["200", "503 draining"])
        self.assertNotIn("/long/1", [entry.path for entry in fleet.executions()])


class RollingRestartTest(ZonedCase):
    async def test_rolling_restarts_cut_no_call_off(self) -> None:
        """A listener that closes before its callers are notified resets their connections."""
        fleet, responses = await self.restart_hosts(ROUNDS)
        unfinished = [entry for entry in fleet.executions() if entry.result != "done"]
        self.assertEqual([], unfinished)
        # Quota refusals are correct responses; the next test limits their number.
        self.assertEqual({"200"}, set(responses) - {"429 over-rate"})

    async def test_rolling_restart_refuses_no_call_within_the_rate(self) -> None:
        """A stopping holder that does not hand over its quota makes each deployment an outage."""
        _, responses = await self.restart_hosts(1)
        self.assertLessEqual(
            responses["429 over-rate"], MAX_WRONGFUL_REFUSAL_FRACTION * responses.total()
        )

    async def restart_hosts(self, rounds: int) -> tuple[ZonedFleet, Counter[str]]:
        """Restart both hosts one after the other, under a load far below the rate."""
        fleet = await self.start_fleet(("a1", "b1"), ("a1", "b1"))
        callers = Callers(fleet, ["a1", "b1"])
        async with asyncio.TaskGroup() as group:
            for number in range(WORKERS):
                group.create_task(callers.run(number))
            for _ in range(rounds):
                for name in ("a1", "b1"):
                    await restart_host(fleet, callers, name)
            callers.stopped = True
        print(dict(callers.responses))
        return fleet, callers.responses


async def restart_host(fleet: ZonedFleet, callers: Callers, name: str) -> None:
    """Stop a target and its node gracefully and restart both with the same addresses."""
    stopping = (fleet.targets[name].process.stop(), fleet.nodes[name].process.stop())
    codes = asyncio.gather(*stopping)
    # Callers notice the drain within a second and switch to another entry node.
    await asyncio.sleep(1.0)
    callers.entry_nodes = [entry for entry in callers.entry_nodes if entry != name]
    if any(await codes):
        raise AssertionError(f"{name} did not stop gracefully: {codes.result()}")
    await fleet.start_node(name)
    await fleet.start_target(name)
    # The next host stops only after this one serves: target announced and quota granted.
    await fleet.wait_calls_succeed()
    callers.entry_nodes = sorted({*callers.entry_nodes, name})
