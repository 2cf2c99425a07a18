"""Guards against connections that went silent and keep costing calls their deadline."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import orjson
from support.zoned_fleet import SERVICE
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import outcome

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

CALLS = 30
DEADLINE_S = 2.0
"""Deadline of a path without a rule: the one timeout that a call may cost."""

SLACK_S = 1.0
IN_PROGRESS = 10
"""Platform requests, probes and one handshake of each node that may be waiting at a time."""

SLOW_S = 0.5
"""A call takes about 20 ms; one that met a silent connection takes longer than this."""


class SilentConnectionTest(ZonedCase):
    async def test_silent_link_costs_one_timeout_and_is_replaced(self) -> None:
        """A link that stays in use after it went silent costs every call its deadline."""
        fleet = await self.start(("a1", "b1"), ("b1",))
        await calls_one_by_one(fleet)
        await fleet.network.silence_open("a", "b")
        seen, times_s = await calls_one_by_one(fleet)
        self.check(seen, times_s)

    async def test_silent_target_connection_costs_one_timeout_and_is_replaced(self) -> None:
        """A pooled connection that went silent must not be returned to the pool."""
        fleet = await self.start(("a1",), ())
        proxy = await Proxy.start(fleet, "a1")
        await calls_one_by_one(fleet)
        await proxy.silence_open()
        seen, times_s = await calls_one_by_one(fleet)
        await proxy.close()
        self.check(seen, times_s)

    async def test_links_without_an_answer_are_closed(self) -> None:
        """Handshakes of a long partition that stay open use up the file descriptors."""
        fleet = await self.start(("a1", "b1"), ("b1",))
        before = open_files(fleet)
        await fleet.network.isolate("b")
        # Up to its declared death the calls try to reach the only target.
        await asyncio.gather(*(calls_one_by_one(fleet) for _ in range(2)))
        await asyncio.sleep(1.0)
        after = open_files(fleet)
        print(f"{before} files open before the partition, {after} in it")
        self.assertLessEqual(after, before + IN_PROGRESS)

    def check(self, seen: Counter[str], times_s: list[float]) -> None:
        """At most one of the calls meets the silent connection, and it waits once."""
        print(dict(seen), [round(time_s, 2) for time_s in times_s if time_s > SLOW_S])
        self.assertGreaterEqual(seen["200"], CALLS - 1, seen)
        self.assertLessEqual(sum(time_s > SLOW_S for time_s in times_s), 1)
        self.assertLess(max(times_s), DEADLINE_S + SLACK_S)
        self.assertGreater(max(times_s), SLOW_S, "no call met the silent connection")


def open_files(fleet: ZonedFleet) -> int:
    """Return the number of open file descriptors of the entry node."""
    return len(list(Path(f"/proc/{fleet.nodes['a1'].process.pid}/fd").iterdir()))


async def calls_one_by_one(fleet: ZonedFleet) -> tuple[Counter[str], list[float]]:
    """Send calls one after another; return what callers saw and how long each call took."""
    loop = asyncio.get_running_loop()
    seen: Counter[str] = Counter()
    times_s: list[float] = []
    for _ in range(CALLS):
        started_s = loop.time()
        seen[outcome(await fleet.call("a1"))] += 1
        times_s.append(loop.time() - started_s)
    return seen, times_s


class Proxy:
    """A proxy between a node and a target, announced to the node in place of the target."""

    def __init__(self, fleet: ZonedFleet, node: str, listen: Address, control: Address) -> None:
        self._fleet = fleet
        self._listen = listen
        self._control = control
        self._node_control = fleet.nodes[node].control
        self._client = HttpClient()
        self._announcing = asyncio.ensure_future(self._announce())

    @classmethod
    async def start(cls, fleet: ZonedFleet, node: str) -> Proxy:
        """Start a target and the proxy, and wait until the node serves through it."""
        processes = fleet.processes
        target = await processes.wait_target(await processes.start_target("t", SERVICE))
        listen, control = processes.free_address(), processes.free_address()
        command = ["-m", "pollenglade_emulator", "proxy", "--upstream", str(target.address)]
        command += ["--listen", str(listen), "--control", str(control)]
        await processes.wait_ready(await processes.start("proxy", command), control, "/status")
        proxy = cls(fleet, node, listen, control)
        while outcome(await fleet.call(node)) != "200":
            await asyncio.sleep(0.1)
        return proxy

    async def silence_open(self) -> None:
        """Silence the connections that are open now."""
        body = orjson.dumps({"mode": "silent", "only_open": True})
        response = await self._client.request(self._control, "PUT", "/conduct", None, body)
        assert isinstance(response, HttpResponse) and response.status == 200, response

    async def close(self) -> None:
        """Stop announcing."""
        self._announcing.cancel()
        await self._client.close()

    async def _announce(self) -> None:
        document = {"service": SERVICE, "address": str(self._listen), "slots": 20}
        body = orjson.dumps({**document, "state": "ready"})
        while True:
            await self._client.request(self._node_control, "POST", "/v1/targets", None, body)
            await asyncio.sleep(1.0)
