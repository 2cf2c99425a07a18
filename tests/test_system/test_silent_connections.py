"""Guards against silent connections that stay in use and let calls run into their deadline."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import orjson
from support.zoned_fleet import SERVICE
from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import describe_response

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpResponse

CALLS = 30
DEADLINE_S = 2.0
"""Deadline of a path without a rule: the one timeout that a silent connection may cost."""

DEADLINE_TOLERANCE_S = 1.0
MAX_IN_PROGRESS = 10
"""Platform requests, probes and one handshake per node that may be pending at a time."""

SLOW_CALL_S = 0.5
"""A normal call takes about 20 ms; a call on a silent connection takes longer than this."""


class SilentConnectionTest(ZonedCase):
    async def test_silent_link_costs_one_timeout_and_is_replaced(self) -> None:
        """If a silent link stays in use, every call on it runs into its deadline."""
        fleet = await self.start_fleet(("a1", "b1"), ("b1",))
        await send_calls(fleet)
        await fleet.network.silence_open_connections("a", "b")
        responses, times_s = await send_calls(fleet)
        self.check_one_slow_call(responses, times_s)

    async def test_silent_target_connection_costs_one_timeout_and_is_replaced(self) -> None:
        """If a silent connection returns to the pool, later calls run into their deadline."""
        fleet = await self.start_fleet(("a1",), ())
        proxy = await AnnouncedProxy.start(fleet, "a1")
        await send_calls(fleet)
        await proxy.silence_open()
        responses, times_s = await send_calls(fleet)
        await proxy.close()
        self.check_one_slow_call(responses, times_s)

    async def test_unanswered_link_handshakes_are_closed(self) -> None:
        """Handshakes that stay open during a long partition exhaust the file descriptors."""
        fleet = await self.start_fleet(("a1", "b1"), ("b1",))
        files_before = count_open_files(fleet)
        await fleet.network.isolate("b")
        # Until the isolated node is declared dead, the calls try to reach its target.
        await asyncio.gather(*(send_calls(fleet) for _ in range(2)))
        await asyncio.sleep(1.0)
        files_after = count_open_files(fleet)
        print(f"{files_before} files open before the partition, {files_after} in it")
        self.assertLessEqual(files_after, files_before + MAX_IN_PROGRESS)

    def check_one_slow_call(self, responses: Counter[str], times_s: list[float]) -> None:
        """Check that one call met the silent connection and waited for one deadline only."""
        print(dict(responses), [round(time_s, 2) for time_s in times_s if time_s > SLOW_CALL_S])
        self.assertGreaterEqual(responses["200"], CALLS - 1, responses)
        self.assertLessEqual(sum(time_s > SLOW_CALL_S for time_s in times_s), 1)
        self.assertLess(max(times_s), DEADLINE_S + DEADLINE_TOLERANCE_S)
        self.assertGreater(max(times_s), SLOW_CALL_S, "no call met the silent connection")


def count_open_files(fleet: ZonedFleet) -> int:
    """Return the number of open file descriptors of the entry node."""
    return len(list(Path(f"/proc/{fleet.nodes['a1'].process.pid}/fd").iterdir()))


async def send_calls(fleet: ZonedFleet) -> tuple[Counter[str], list[float]]:
    """Send calls one after another; return counts of responses and the seconds of each call."""
    loop = asyncio.get_running_loop()
    responses: Counter[str] = Counter()
    times_s: list[float] = []
    for _ in range(CALLS):
        started_s = loop.time()
        responses[describe_response(await fleet.call("a1"))] += 1
        times_s.append(loop.time() - started_s)
    return responses, times_s


class AnnouncedProxy:
    """A proxy before a target, announced to the node under the proxy's address."""

    def __init__(self, fleet: ZonedFleet, node: str, listen: Address, control: Address) -> None:
        self._fleet = fleet
        self._listen = listen
        self._control = control
        self._node_control = fleet.nodes[node].control
        self._client = HttpClient()
        self._announcing = asyncio.ensure_future(self._announce())

    @classmethod
    async def start(cls, fleet: ZonedFleet, node: str) -> AnnouncedProxy:
        """Start a target and the proxy; wait until calls at the node succeed through it."""
        processes = fleet.processes
        target = await processes.wait_target(await processes.start_target("t", SERVICE))
        listen, control = processes.free_address(), processes.free_address()
        command = ["-m", "pollenglade_emulator", "proxy", "--upstream", str(target.address)]
        command += ["--listen", str(listen), "--control", str(control)]
        await processes.wait_ready(await processes.start("proxy", command), control, "/status")
        proxy = cls(fleet, node, listen, control)
        while describe_response(await fleet.call(node)) != "200":
            await asyncio.sleep(0.1)
        return proxy

    async def silence_open(self) -> None:
        """Silence the connections that are currently open; new ones work."""
        body = orjson.dumps({"mode": "silent", "only_open": True})
        response = await self._client.request(self._control, "PUT", "/conduct", None, body)
        assert isinstance(response, HttpResponse) and response.status == 200, response

    async def close(self) -> None:
        """Stop announcing the target."""
        self._announcing.cancel()
        await self._client.close()

    async def _announce(self) -> None:
        document = {"service": SERVICE, "address": str(self._listen), "slots": 20}
        body = orjson.dumps({**document, "state": "ready"})
        while True:
            await self._client.request(self._node_control, "POST", "/v1/targets", None, body)
            await asyncio.sleep(1.0)
