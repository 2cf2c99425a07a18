"""A route is moved to another service, and the service that it went to before is retired."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import LIMITS  # noqa: E402
from harness import TROUBLE  # noqa: E402
from harness import CannotRunError  # noqa: E402
from harness import Endpoint  # noqa: E402
from harness import Installation  # noqa: E402
from harness import Node  # noqa: E402
from harness import encode  # noqa: E402
from harness import main  # noqa: E402
from harness import route  # noqa: E402
from harness import service  # noqa: E402

ZONES = ["zone-1", "zone-2"]
SERVICES = [service("catalog"), service("legacy")]
FIRST = route("r-first", "first.example", Service="catalog")
ADDED = route("r-late", "late.example", Service="legacy")
MOVED = route("r-late", "late.example", Service="catalog")

INTERVAL_S = 0.1
DRAIN_S = 2.0
STABLE_S = 3.0


async def send_for(
    installation: Installation, nodes: list[Node], seconds: float
) -> dict[str, list[int | None]]:
    """Send requests on both routes at all nodes; return the statuses by host."""
    statuses: dict[str, list[int | None]] = {"first.example": [], "late.example": []}

    async def ask(node: Node, host: str) -> None:
        _, status, _ = await installation.ask(node, host)
        statuses[host].append(status)

    async with asyncio.TaskGroup() as group:
        for _ in range(int(seconds / INTERVAL_S)):
            for node in nodes:
                for host in statuses:
                    group.create_task(ask(node, host))
            await asyncio.sleep(INTERVAL_S)
    return statuses


def served(statuses: list[int | None]) -> float:
    return sum(status == 200 for status in statuses) / max(1, len(statuses))


async def retire(node: Node, endpoint: Endpoint) -> None:
    """Drain the endpoint, end it after `DrainMs` and more, then stop the node beside it."""
    endpoint.state = "draining"
    if await endpoint.report(endpoint.heartbeat("draining"), "reports draining") != 200:
        raise CannotRunError("the endpoint got no confirmation")
    await asyncio.sleep(DRAIN_S + 1.0)
    leave = encode(f"DELETE /endpoints/{endpoint.name} HTTP/1.1", {"Host": endpoint.host})
    await endpoint.report(leave, "deregisters")
    await endpoint.stop()
    node.signal(signal.SIGTERM)
    if not await node.ended():
        raise CannotRunError("the node of the retired endpoint did not end")


async def play(installation: Installation) -> bool:
    record = installation.record
    installation.store.put_manifest(1, [FIRST, *SERVICES, LIMITS])
    for number, zone, name in ((1, "zone-1", "catalog"), (2, "zone-2", "catalog")):
        await installation.add(number, zone, name, ZONES)
    legacy_node, legacy_endpoint = await installation.add(3, "zone-1", "legacy", ZONES)
    for node in installation.nodes:
        await node.wait_ready()
    await asyncio.sleep(4.0)
    installation.store.put_manifest(2, [FIRST, ADDED, *SERVICES, LIMITS])
    await asyncio.sleep(3.0)
    nodes = installation.nodes[:2]
    before = await send_for(installation, nodes, 5.0)
    if served(before["first.example"]) < 0.9 or served(before["late.example"]) < 0.9:
        raise CannotRunError("the routes were not served before the change")
    installation.store.put_manifest(3, [FIRST, MOVED, *SERVICES, LIMITS])
    await asyncio.sleep(3.0)
    moved = await send_for(installation, nodes, 10.0)
    record.note(f"served after the move: {served(moved['late.example']):.3f}")
    if TROUBLE:
        await retire(legacy_node, legacy_endpoint)
    await asyncio.sleep(STABLE_S + 2.0)
    after = await send_for(installation, nodes, 20.0)
    first, late = after["first.example"], after["late.example"]
    record.note(f"first route: {len(first)} requests, {served(first):.3f} served")
    record.note(f"route added later: {len(late)} requests, {served(late):.3f} served")
    if served(first) < 0.9:
        raise CannotRunError("the first route was not served")
    return len(late) < 20 or served(late) >= served(first) / 4


if __name__ == "__main__":
    sys.exit(main(play, FOLDER, 110.0))
