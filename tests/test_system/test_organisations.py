"""Guards against a call that runs for another organisation than the one whose key came with it."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

import h11
from support.scripted_target import ScriptedTarget
from support.scripted_target import plain_response
from support.system import ORGANISATIONS
from support.system import REQUEST
from support.system import WORK
from support.system import System
from support.system import outcome_of
from support.system import started
from support.system import until

from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.address import Address
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

CALL = b"pollenglade-call"
CLAIMED = b"emulator-organisation"
CONNECTIONS = 4
CALLS = 40


class OrganisationsTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_call_runs_under_the_organisation_of_its_key(self) -> None:
        """Identity that is kept per connection would mix up the callers behind one proxy."""
        async with started() as system:
            nodes = [await system.add_node("z1"), await system.add_node("z2")]
            await system.add_target(nodes[0], "portfolios")
            await system.add_target(nodes[1], "fees")
            for node in nodes:
                await system.wait_ready(node, "fees")
                await system.wait_ready(node, "portfolios")
            pipes = [self.pipeline(system, nodes[i % 2], i) for i in range(CONNECTIONS)]
            answers = [answer for part in await asyncio.gather(*pipes) for answer in part]
            runs = [run for run in system.executions() if run.request_id.startswith("pipe-")]
        # The quota may refuse a call while its holders start; such a call must not have run.
        self.assertEqual(CONNECTIONS * CALLS, len(answers))
        self.assertLessEqual({status for _, status in answers}, {200, 429})
        answered = {request_id for request_id, status in answers if status == 200}
        self.assertGreater(len(answered), CONNECTIONS * CALLS // 2)
        nested = [run for run in runs if run.path.startswith("/files/")]
        self.assertGreater(len(nested), CONNECTIONS * CALLS // 4)
        self.assertEqual(answered, {run.request_id for run in runs})
        for run in runs:
            governed = dict(run.headers)["pollenglade-organisation"]
            self.assertEqual(run.organisation, governed, run)
            self.assertIn(f"-{governed}-", run.request_id)

    async def pipeline(
        self, system: System, node: NodeProcess, number: int
    ) -> list[tuple[str, int]]:
        """Send calls with different keys on one connection; return request ids and statuses."""
        source = Random(number)
        reader, writer = await asyncio.open_connection("127.0.0.1", node.caller.port)
        client = h11.Connection(h11.CLIENT)
        request_ids: list[str] = []
        for index in range(CALLS):
            name = source.choice(ORGANISATIONS)
            fixed = "" if index % 2 else f"{WORK.decode()}: {source.randrange(20)}\r\n"
            request_ids.append(f"pipe-{name}-{number}-{index}")
            writer.write(
                f"GET /fees/quote/{index} HTTP/1.1\r\nHost: x\r\n{fixed}"
                f"Authorization: Bearer {system.keys_by_organisation[name]}\r\n"
                f"{REQUEST.decode()}: {request_ids[-1]}\r\n"
                f"{CLAIMED.decode()}: {name}\r\n\r\n".encode()
            )
        statuses: list[int] = []
        while len(statuses) < CALLS:
            if client.our_state is h11.IDLE:
                client.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
                client.send(h11.EndOfMessage())
            event = client.next_event()
            if event is h11.NEED_DATA:
                client.receive_data(await asyncio.wait_for(reader.read(65_536), 8.0))
            elif isinstance(event, h11.Response):
                statuses.append(event.status_code)
            elif isinstance(event, h11.EndOfMessage):
                client.start_next_cycle()
        writer.transport.abort()
        return list(zip(request_ids, statuses, strict=True))


class CallHandlesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handles: dict[str, bytes] = {}
        self.release = asyncio.Event()

    async def test_a_handle_is_valid_only_for_its_running_call_at_its_node(self) -> None:
        """A handle that outlives its call or its host would let a target act for anybody."""
        async with started() as system:
            near, far = await system.add_node("z1"), await system.add_node("z2")
            target = ScriptedTarget("fees", self.hold)
            await target.start(near)
            await system.add_target(far, "portfolios")
            for node in (near, far):
                await system.wait_ready(node, "fees")
                await system.wait_ready(node, "portfolios")
            held = {
                name: asyncio.ensure_future(
                    system.call(far, "/fees/hold/1", [(REQUEST, name.encode())], organisation=name)
                )
                for name in ORGANISATIONS
            }
            await until(self.holds_all, f"calls at the target: {list(self.handles)}")
            vale, kiln = self.handles["vale"], self.handles["kiln"]
            self.assertEqual(200, await self.nested(system, near.caller, "live-vale", vale))
            self.assertEqual(200, await self.nested(system, near.caller, "live-kiln", kiln))
            wrong = {
                "forged": (near, [vale[:-1] + (b"0" if vale[-1:] != b"0" else b"1")]),
                "empty": (near, [b""]),
                "other-node": (far, [vale]),
                "two": (near, [vale, kiln]),
                "joined": (near, [vale + b", " + kiln]),
            }
            for name, (node, handles) in wrong.items():
                status = await self.nested(system, node.caller, f"bad-{name}", *handles)
                self.assertIn(status, (400, 401), name)
            key = [system.bearer("harbour")]
            status = await self.nested(system, near.caller, "bad-key", vale, extra=key)
            self.assertEqual(400, status)
            forged = [(b"pollenglade-organisation", b"kiln"), (b"pollenglade-call-id", b"1")]
            self.assertEqual(
                200, await self.nested(system, near.caller, "live-header", vale, extra=forged)
            )
            self.release.set()
            responses = await asyncio.gather(*held.values())
            self.assertEqual({"ran"}, {outcome_of(response) for response in responses})
            # The calls have ended, so that the same handles are replays now.
            for name, handle in self.handles.items():
                status = await self.nested(system, near.caller, f"bad-replay-{name}", handle)
                self.assertEqual(401, status, name)
            self.release.clear()
            late = await system.call(far, "/fees/hold/1", [(REQUEST, b"expired")])
            self.assertEqual("unknown", outcome_of(late))
            self.assertIn("expired", self.handles)
            status = await self.nested(system, near.caller, "bad-late", self.handles["expired"])
            self.assertEqual(401, status)
            await target.close()
            runs = [run for run in system.executions() if run.path.startswith("/files/")]
        governed = {run.request_id: dict(run.headers)["pollenglade-organisation"] for run in runs}
        expected = {"live-vale": "vale", "live-kiln": "kiln", "live-header": "vale"}
        self.assertEqual(expected, governed)

    async def holds_all(self) -> bool:
        """Return whether a call of every organisation is open."""
        return len(self.handles) == len(ORGANISATIONS)

    async def hold(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Keep the call open while its handle is used by the test."""
        name = (request.header(REQUEST) or b"").decode()
        if name:
            self.handles[name] = request.header(CALL) or b""
            await self.release.wait()
        writer.write(plain_response(b"{}"))

    async def nested(
        self,
        system: System,
        address: Address,
        request_id: str,
        *handles: bytes,
        extra: list[tuple[bytes, bytes]] | None = None,
    ) -> int:
        """Make a nested call and return its status."""
        headers = [(CALL, handle) for handle in handles] + (extra or [])
        headers += [(REQUEST, request_id.encode()), (WORK, b"1")]
        response = await system.client.request(
            address, "GET", "/portfolios/files/1", headers, timeout_s=5.0
        )
        assert isinstance(response, HttpResponse), response
        return response.status
