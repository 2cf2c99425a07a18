"""Repeats at one service while its endpoints reject part of their requests."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import BROKEN
from standins import HELD
from standins import Fleet
from standins import manifest
from standins import route
from standins import run_case
from standins import trouble

SERVICE = "medians"
MACHINES = 4
DEADLINE_S = 1.2
CLIENT_RETRIES = 1
REQUESTS_PER_S = 36.0
REJECTED_SHARE = 0.55
WARM_UP_S = 14.0
TROUBLE_S = 8.5
WINDOW_S, RATIO, SLACK = 10.0, 0.2, 48.0


async def play(fleet: Fleet) -> int:
    fleet.store.put("op", "config", manifest(3, [SERVICE], route("wage", SERVICE)))
    for _ in range(MACHINES):
        fleet.add(SERVICE)
    await fleet.start_nodes()
    await asyncio.sleep(3.0)
    sent: list[tuple[float, str]] = []
    statuses: dict[int, int] = {}

    async def one() -> None:
        """Send a request as a client does: after a refusal once more, when it is told to."""
        node = random.choice(fleet.nodes)
        deadline = time.monotonic() + DEADLINE_S
        for _ in range(1 + CLIENT_RETRIES):
            started, fields = time.monotonic(), {}
            request_id, status, _ = await fleet.send(
                node, "/wage/x", deadline_ms=int((deadline - started) * 1000), answer_fields=fields
            )
            sent.append((started, request_id))
            statuses[status] = statuses.get(status, 0) + 1
            left_s = deadline - time.monotonic()
            if status == 200 or left_s < 0.05:
                return
            await asyncio.sleep(min(float(fields.get("retry-after", "0")), left_s / 3))

    tasks = []
    begin = time.monotonic()
    turned = ended = False
    while (elapsed := time.monotonic() - begin) < WARM_UP_S + TROUBLE_S + 3.0:
        if elapsed > WARM_UP_S and not turned:
            turned = True
            statuses.clear()
            if trouble():
                fleet.record("the endpoints begin to reject requests")
                for node in fleet.nodes:
                    node.endpoint.reject = lambda: random.random() < REJECTED_SHARE
        if elapsed > WARM_UP_S + TROUBLE_S and not ended:
            ended = True
            fleet.record("the endpoints are sound again")
            for node in fleet.nodes:
                node.endpoint.reject = lambda: False
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    return judge(fleet, sent, statuses)


def judge(fleet: Fleet, sent: list[tuple[float, str]], statuses: dict[int, int]) -> int:
    """Compare the repeats in each window with the bound, with the most favourable count."""
    ids = {request_id for _, request_id in sent}
    sent_at = sorted(at for at, _ in sent)
    arrivals = sorted(
        arrival for node in fleet.nodes for arrival in node.endpoint.arrivals if arrival[1] in ids
    )
    seen: set[str] = set()
    repeats = []
    for at, request_id, _ in arrivals:
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)

    def requests(start: float) -> int:
        return sum(start <= at < start + WINDOW_S for at in sent_at)

    worst = (-1e9, 0, 0.0, 0)
    for start in repeats or [sent_at[0]]:
        count = sum(start <= at < start + WINDOW_S for at in repeats)
        most = max(requests(start - back) for back in (0.0, WINDOW_S / 2, WINDOW_S))
        bound = RATIO * most + SLACK
        worst = max(worst, (count - bound, count, bound, most))
    _, count, bound, most = worst
    fleet.record.show(f"answers after the warm-up by status: {dict(sorted(statuses.items()))}")
    fleet.record.show(
        f"worst window of {WINDOW_S:.0f} s: {count} arrivals beyond the first of their request, "
        f"{most} requests, bound {bound:.1f}"
    )
    return BROKEN if count > bound else HELD


run_case(Path(__file__).resolve().parent, play)
