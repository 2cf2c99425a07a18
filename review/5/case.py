"""A node that confirmed the departure of its endpoint is killed, and a late heartbeat arrives."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import BROKEN
from standins import HELD
from standins import CouldNotRunError
from standins import Fleet
from standins import call
from standins import manifest
from standins import route
from standins import run_case
from standins import trouble

SERVICE = "calls"
STABLE_S = 3.0
DRAIN_S = 2.0
KILLED_FOR_S = 1.0
LATE_BY_S = 4.0
SERVES_ON_S = 14.0
"""Time for which the endpoint serves on after the confirmation; at times this is many seconds."""


async def play(fleet: Fleet) -> int:
    fleet.store.put("op", "config", manifest(3, [SERVICE], route("view", SERVICE)))
    for number in range(3):
        fleet.add(SERVICE, zone=f"z{number + 1}").endpoint.work_s = 0.06
    await fleet.start_nodes()
    await asyncio.sleep(4.0)
    node = fleet.nodes[0]
    endpoint = node.endpoint
    path = f"/endpoints/{endpoint.endpoint_id}"
    # The last heartbeat before the departure is delayed on its way.
    endpoint.sends_heartbeats = False
    late_heartbeat, sent_at = endpoint.heartbeat(), time.monotonic()
    fleet.record(f"{endpoint.endpoint_id} sends a heartbeat that will arrive {LATE_BY_S} s late")
    await asyncio.sleep(0.1)
    status, _ = await call(node.admin, "DELETE", path, {}, timeout_s=1.0)
    if status != 200:
        raise CouldNotRunError("the departure was not confirmed")
    confirmed_at = time.monotonic()
    endpoint.is_leaving = True
    fleet.record.show(f"{node.name} confirms that {endpoint.endpoint_id} leaves")
    back_at = confirmed_at
    await asyncio.sleep(0.5)
    if trouble():
        node.signal(signal.SIGKILL)
        await node.wait_ended()
        await asyncio.sleep(KILLED_FOR_S)
        node.launch()
        await fleet.wait_ready([node])
        back_at = time.monotonic()
        fleet.record.show(f"{node.name} is back {back_at - confirmed_at:.1f} s after it")
    await asyncio.sleep(sent_at + LATE_BY_S - time.monotonic())
    status, _ = await call(node.admin, "PUT", path, {}, late_heartbeat, 1.0)
    fleet.record.show(f"the late heartbeat arrives, answer {status}")
    judged_from = max(confirmed_at + DRAIN_S, back_at + STABLE_S + 0.5)
    sent: dict[str, float] = {}
    while (now := time.monotonic()) < confirmed_at + SERVES_ON_S:
        for entry in fleet.nodes:
            request_id, _, _ = await fleet.send(entry, "/view/a", deadline_ms=1200)
            sent[request_id] = now
        await asyncio.sleep(0.05)
    late = [
        at - confirmed_at
        for at, request_id, _ in endpoint.arrivals
        if sent.get(request_id, 0.0) > judged_from
    ]
    fleet.record.show(
        f"{len(late)} requests reached the leaving endpoint that were taken and sent on more than "
        f"{judged_from - confirmed_at:.1f} s after the confirmation, "
        f"the last {max(late, default=0):.1f} s"
    )
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, play)
