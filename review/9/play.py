"""All endpoints of a service that other services call are slow for some seconds."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import LIMITS  # noqa: E402
from harness import TROUBLE  # noqa: E402
from harness import CannotRunError  # noqa: E402
from harness import Endpoint  # noqa: E402
from harness import Headers  # noqa: E402
from harness import Installation  # noqa: E402
from harness import Message  # noqa: E402
from harness import Node  # noqa: E402
from harness import encode  # noqa: E402
from harness import exchange  # noqa: E402
from harness import main  # noqa: E402
from harness import route  # noqa: E402
from harness import service  # noqa: E402

ZONES = ["zone-1", "zone-2", "zone-3"]
SLOW_X = 12.0
SLOW_S = 8.5
LOOKUP_WORK_S = 0.055
LOOKUP_TIMEOUT_MS = 700
REPORT_WORK_S = 0.03
LOOKUPS_PER_REPORT = 5
REQUESTS_PER_S = 20
STABLE_S = 3.0
JUDGED_S = 30.0

FIRST = route("r-first", "first.example", Service="catalog", TimeoutMs=1200)
LOOKUP = route("r-lookup", "lookup.example", Service="lookup", TimeoutMs=LOOKUP_TIMEOUT_MS)
LATE = route("r-late", "late.example", Service="reports", TimeoutMs=1200, Priority=2)


class LookupEndpoint(Endpoint):
    """Works for a time that varies, and answers 504 at the deadline that it receives."""

    factor = 1.0

    async def run(self, request: Message, request_id: str) -> tuple[int, Headers, bytes]:
        left_s = int(request.headers["pollenglade-deadline-ms"]) / 1000
        self.work_s = self.factor * LOOKUP_WORK_S * random.uniform(0.6, 1.4)
        if self.work_s <= left_s:
            return await super().run(request, request_id)
        self.work_s = left_s
        _, fields, _ = await super().run(request, request_id)
        return 504, fields, b""


class ReportEndpoint(Endpoint):
    """Makes calls in each run, one after the other; answers 500 if one fails."""

    node: Node

    async def run(self, request: Message, request_id: str) -> tuple[int, Headers, bytes]:
        until = asyncio.get_running_loop().time()
        until += int(request.headers["pollenglade-deadline-ms"]) / 1000
        await asyncio.sleep(REPORT_WORK_S)
        fields = {
            "Pollenglade-Request-Id": request_id,
            "Pollenglade-Response-Signature": f"sig.{self.name}.{request_id}",
            "Pollenglade-Server-Load": f"{self.running},0,{self.slots}",
        }
        for number in range(LOOKUPS_PER_REPORT):
            left_s = until - asyncio.get_running_loop().time()
            if left_s <= 0.005:
                return 504, fields, b""
            call_id = f"{request_id}.{number}"
            headers = {
                "Host": "lookup.example",
                "Pollenglade-Request-Id": call_id,
                "Pollenglade-Deadline-Ms": str(int(left_s * 1000)),
            }
            message = encode(f"GET /p/{call_id} HTTP/1.1", headers)
            answer = await exchange(self.node.host, 7002, message, left_s)
            status = None if answer is None else int(answer.first[1])
            self.record.note(f"endpoint {self.name}: call {call_id} -> {status}")
            if status != 200:
                return 500, fields, b""
        return 200, fields, b"report"


async def send_for(
    installation: Installation, nodes: list[Node], host: str, seconds: float
) -> list[int | None]:
    """Send requests at the nodes in turn; return the statuses."""
    statuses: list[int | None] = []

    async def ask(node: Node) -> None:
        _, status, _ = await installation.ask(node, host, deadline_ms=6000)
        statuses.append(status)

    async with asyncio.TaskGroup() as group:
        for index in range(int(seconds * REQUESTS_PER_S)):
            group.create_task(ask(nodes[index % len(nodes)]))
            await asyncio.sleep(1 / REQUESTS_PER_S)
    return statuses


def served(statuses: list[int | None]) -> float:
    return sum(status == 200 for status in statuses) / max(1, len(statuses))


async def play(installation: Installation) -> bool:
    record, store = installation.record, installation.store
    services = [service("catalog"), service("reports"), service("lookup")]
    store.put_manifest(1, [FIRST, LOOKUP, *services, LIMITS])
    await installation.add(1, "zone-1", "catalog", ZONES)
    for number, zone in ((2, "zone-1"), (3, "zone-2")):
        node, endpoint = await installation.add(number, zone, "reports", ZONES, ReportEndpoint)
        assert isinstance(endpoint, ReportEndpoint)
        endpoint.node = node
    lookups = []
    for number, zone in ((4, "zone-1"), (5, "zone-2"), (6, "zone-3")):
        _, endpoint = await installation.add(
            number, zone, "lookup", ZONES, LookupEndpoint, slots=36
        )
        assert isinstance(endpoint, LookupEndpoint)
        lookups.append(endpoint)
    nodes = installation.nodes
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4.0)
    store.put_manifest(2, [FIRST, LOOKUP, LATE, *services, LIMITS])
    await asyncio.sleep(3.0)
    early = await send_for(installation, nodes, "late.example", 8.0)
    record.note(f"before: {served(early):.3f} served")
    if served(early) < 0.9:
        raise CannotRunError("the route was not served before the endpoints got slow")
    if TROUBLE:
        for endpoint in lookups:
            endpoint.factor = SLOW_X
        record.note(f"endpoints of lookup: slow by {SLOW_X:.0f}")
    requests = asyncio.create_task(
        send_for(installation, nodes, "late.example", SLOW_S + STABLE_S + 2.0)
    )
    await asyncio.sleep(SLOW_S)
    for endpoint in lookups:
        endpoint.factor = 1.0
    record.note("endpoints of lookup: as fast as before")
    record.note(f"while slow and 5 s after it: {served(await requests):.3f} served")
    record.note("judged from here on")
    first, late = await asyncio.gather(
        send_for(installation, nodes, "first.example", JUDGED_S),
        send_for(installation, nodes, "late.example", JUDGED_S),
    )
    record.note(f"first route: {len(first)} requests, {served(first):.3f} served")
    record.note(f"route added later: {len(late)} requests, {served(late):.3f} served")
    if served(first) < 0.9:
        raise CannotRunError("the first route was not served")
    return len(late) < 20 or served(late) >= served(first) / 4


if __name__ == "__main__":
    sys.exit(main(play, FOLDER, 115.0))
