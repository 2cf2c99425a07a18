"""Guards against admitting more than rate and burst while zones, holders and platform fail."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from fractions import Fraction
from time import monotonic

import orjson
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import outcome

from pollenglade_core.quota.lease_rows import slot_of
from pollenglade_net.http_client import HttpClient

RATE_PER_S = 40
BURST = 30
CALLS_PER_WAVE = 25
WAVE_S = 1.0
"""Pause after a wave of calls, in which an unused bucket fills to the burst."""

NODES = ("a1", "a2", "b1", "b2", "c1", "c2")


def worst_window(times: list[float]) -> tuple[Fraction, float]:
    """Return the largest excess over `BURST + RATE_PER_S x t` and the length of its window."""
    worst, length = Fraction(-BURST), 0.0
    best, begin = Fraction(0), 0.0
    for index, time in enumerate(sorted(times)):
        # The best begin of a window has the largest RATE_PER_S x time - index.
        here = RATE_PER_S * Fraction(time) - index
        if index == 0 or here > best:
            best, begin = here, time
        excess = index + 1 - RATE_PER_S * Fraction(time) + best - BURST
        if excess > worst:
            worst, length = excess, time - begin
    return worst, length


class QuotaPartitionTest(ZonedCase):
    async def test_no_window_exceeds_rate_and_burst_under_faults(self) -> None:
        """A holder that is taken over, resumed or split from its borrowers could grant twice."""
        fleet = await self.start(NODES, ("a1", "b1", "c1"), RATE_PER_S, BURST)
        ended = asyncio.Event()
        seen: Counter[str] = Counter()
        sent: list[float] = []
        async with asyncio.TaskGroup() as group:
            for name in NODES:
                group.create_task(offer(fleet, name, ended, seen, sent))
            try:
                await disturb(fleet)
            finally:
                ended.set()
        times = first_starts(fleet)
        excess, length_s = worst_window(times)
        print(
            f"{len(sent)} calls, {len(times)} admitted, {within_rate(sent)} within the rate; worst "
            f"window {length_s:.3f} s with excess {float(excess):.2f}; answers {dict(seen)}"
        )
        self.assertLessEqual(excess, 0)
        self.assertGreater(len(times), BURST)
        self.assertIn("429 over-rate", seen)


def within_rate(sent: list[float]) -> int:
    """Return how many calls one bucket of the whole fleet would have admitted."""
    level, before, count = float(BURST), sent[0], 0
    for time in sorted(sent):
        level = min(float(BURST), level + RATE_PER_S * (time - before))
        before = time
        if level >= 1.0:
            level, count = level - 1.0, count + 1
    return count


async def offer(
    fleet: ZonedFleet, name: str, ended: asyncio.Event, seen: Counter[str], sent: list[float]
) -> None:
    """Send waves of calls to one node without waiting for answers."""
    client = HttpClient()

    async def send() -> None:
        sent.append(monotonic())
        seen[outcome(await fleet.call(name, timeout_s=3.0, client=client))] += 1

    async with asyncio.TaskGroup() as group:
        while not ended.is_set():
            for _ in range(CALLS_PER_WAVE):
                group.create_task(send())
                await asyncio.sleep(0.002)
            await asyncio.sleep(WAVE_S)
    await client.close()


async def disturb(fleet: ZonedFleet) -> None:
    """Cut zones, pause and resume a holder, kill and restart a node, stop the platform."""
    await asyncio.sleep(1.5)
    await fleet.network.isolate("c")
    await asyncio.sleep(1.5)
    holder = fleet.nodes[await holder_in(fleet, "a")].process
    holder.send(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    await fleet.network.heal()
    holder.send(signal.SIGCONT)
    killed = await holder_in(fleet, "b")
    await fleet.nodes[killed].process.stop(0.0)
    await fleet.start_node(killed)
    await set_platform(fleet, down=True)
    await fleet.network.split([("a",), ("b", "c")])
    await asyncio.sleep(1.5)
    await set_platform(fleet, down=False)
    await fleet.network.heal()
    await asyncio.sleep(1.5)


async def holder_in(fleet: ZonedFleet, zone: str) -> str:
    """Return the node that holds the slot of the organisation in a zone."""
    slot = slot_of("acme")
    for name in fleet.nodes:
        held = (await fleet.status(name)).get("slots_held")
        if name.startswith(zone) and isinstance(held, list) and slot in held:
            return name
    raise AssertionError(f"no node of zone {zone} holds slot {slot}")


async def set_platform(fleet: ZonedFleet, down: bool) -> None:
    """Stop the platform from answering, or let it answer again."""
    client = HttpClient()
    await client.request(fleet.platform, "POST", "/faults", None, orjson.dumps({"down": down}))
    await client.close()


def first_starts(fleet: ZonedFleet) -> list[float]:
    """Return when each admitted call first started at a target; retries are no admissions."""
    by_request: dict[str, float] = {}
    for entry in fleet.executions():
        by_request.setdefault(entry.request_id, entry.start_s)
    return sorted(by_request.values())
