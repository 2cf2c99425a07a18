"""Guards against exceeding rate and burst during failures of zones, holders and the platform."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from fractions import Fraction
from time import monotonic

import orjson
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import describe_response

from pollenglade_core.quota.lease_rows import slot_of
from pollenglade_net.http_client import HttpClient

RATE_PER_S = 40
BURST = 30
CALLS_PER_WAVE = 25
WAVE_S = 1.0
"""Pause after a wave of calls; long enough to refill an unused bucket to the burst."""

NODES = ("a1", "a2", "b1", "b2", "c1", "c2")


def largest_excess(start_times_s: list[float]) -> tuple[Fraction, float]:
    """Return the largest excess over `BURST + RATE_PER_S x t` of any window and its length in s."""
    largest, length_s = Fraction(-BURST), 0.0
    best_credit, begin_s = Fraction(0), 0.0
    for index, time_s in enumerate(sorted(start_times_s)):
        # A window has the largest excess if it begins where RATE_PER_S x time - index is largest.
        credit = RATE_PER_S * Fraction(time_s) - index
        if index == 0 or credit > best_credit:
            best_credit, begin_s = credit, time_s
        excess = index + 1 - RATE_PER_S * Fraction(time_s) + best_credit - BURST
        if excess > largest:
            largest, length_s = excess, time_s - begin_s
    return largest, length_s


class QuotaPartitionTest(ZonedCase):
    async def test_no_window_exceeds_rate_and_burst_under_faults(self) -> None:
        """A holder that is replaced, resumed or cut off from borrowers could grant tokens twice."""
        fleet = await self.start_fleet(NODES, ("a1", "b1", "c1"), RATE_PER_S, BURST)
        ended = asyncio.Event()
        responses: Counter[str] = Counter()
        send_times_s: list[float] = []
        async with asyncio.TaskGroup() as group:
            for name in NODES:
                group.create_task(send_waves(fleet, name, ended, responses, send_times_s))
            try:
                await inject_faults(fleet)
            finally:
                ended.set()
        start_times_s = first_start_times_s(fleet)
        excess, length_s = largest_excess(start_times_s)
        print(
            f"{len(send_times_s)} calls, {len(start_times_s)} admitted, "
            f"{count_within_rate(send_times_s)} within the rate; worst "
            f"window {length_s:.3f} s with excess {float(excess):.2f}; answers {dict(responses)}"
        )
        self.assertLessEqual(excess, 0)
        self.assertGreater(len(start_times_s), BURST)
        self.assertIn("429 over-rate", responses)


def count_within_rate(send_times_s: list[float]) -> int:
    """Return how many of the calls a single token bucket would have admitted."""
    tokens, previous_s, count = float(BURST), send_times_s[0], 0
    for time_s in sorted(send_times_s):
        tokens = min(float(BURST), tokens + RATE_PER_S * (time_s - previous_s))
        previous_s = time_s
        if tokens >= 1.0:
            tokens, count = tokens - 1.0, count + 1
    return count


async def send_waves(
    fleet: ZonedFleet,
    name: str,
    ended: asyncio.Event,
    responses: Counter[str],
    send_times_s: list[float],
) -> None:
    """Send waves of calls to one node without waiting for responses."""
    client = HttpClient()

    async def send() -> None:
        send_times_s.append(monotonic())
        responses[describe_response(await fleet.call(name, timeout_s=3.0, client=client))] += 1

    async with asyncio.TaskGroup() as group:
        while not ended.is_set():
            for _ in range(CALLS_PER_WAVE):
                group.create_task(send())
                await asyncio.sleep(0.002)
            await asyncio.sleep(WAVE_S)
    await client.close()


async def inject_faults(fleet: ZonedFleet) -> None:
    """Isolate zones, pause and resume a holder, kill and restart a node, stop the platform."""
    await asyncio.sleep(1.5)
    await fleet.network.isolate("c")
    await asyncio.sleep(1.5)
    holder = fleet.nodes[await find_slot_holder(fleet, "a")].process
    holder.send_signal(signal.SIGSTOP)
    await asyncio.sleep(1.5)
    await fleet.network.heal()
    holder.send_signal(signal.SIGCONT)
    killed = await find_slot_holder(fleet, "b")
    await fleet.nodes[killed].process.stop(0.0)
    await fleet.start_node(killed)
    await set_platform_down(fleet, down=True)
    await fleet.network.split([("a",), ("b", "c")])
    await asyncio.sleep(1.5)
    await set_platform_down(fleet, down=False)
    await fleet.network.heal()
    await asyncio.sleep(1.5)


async def find_slot_holder(fleet: ZonedFleet, zone: str) -> str:
    """Return the node of a zone that holds the organisation's quota slot."""
    slot = slot_of("acme")
    for name in fleet.nodes:
        slots_held = (await fleet.status(name)).get("slots_held")
        if name.startswith(zone) and isinstance(slots_held, list) and slot in slots_held:
            return name
    raise AssertionError(f"no node of zone {zone} holds slot {slot}")


async def set_platform_down(fleet: ZonedFleet, down: bool) -> None:
    """Start or end an outage of the platform stand-in."""
    client = HttpClient()
    await client.request(fleet.platform, "POST", "/faults", None, orjson.dumps({"down": down}))
    await client.close()


def first_start_times_s(fleet: ZonedFleet) -> list[float]:
    """Return the first start time of each admitted call; retries are not admissions."""
    start_s_by_request: dict[str, float] = {}
    for entry in fleet.executions():
        start_s_by_request.setdefault(entry.request_id, entry.start_s)
    return sorted(start_s_by_request.values())
