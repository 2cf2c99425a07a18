"""Guards against calls that run for an organisation other than the one of their key."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

import h11
from support.scripted_target import ScriptedTarget
from support.scripted_target import ok_response
from support.system import ORGANISATIONS
from support.system import REQUEST_HEADER
from support.system import WORK_HEADER
from support.system import System
from support.system import outcome_of
from support.system import running_system
from support.system import wait_until

from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.address import Address
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

CALL_HANDLE_HEADER = b"pollenglade-call"
ORGANISATION_HEADER = b"emulator-organisation"
CONNECTIONS = 4
CALLS = 40


class OrganisationsTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_call_runs_under_the_organisation_of_its_key(self) -> None:
        """An identity cached per connection would mix up callers that share a proxy."""
        async with running_system() as system:
            nodes = [await system.add_node("z1"), await system.add_node("z2")]
            await system.add_target(nodes[0], "portfolios")
            await system.add_target(nodes[1], "fees")
            for node in nodes:
                await system.wait_ready(node, "fees")
                await system.wait_ready(node, "portfolios")
            pipelines = [self.send_pipeline(system, nodes[i % 2], i) for i in range(CONNECTIONS)]
            answers = [
                answer
                for pipeline_answers in await asyncio.gather(*pipelines)
                for answer in pipeline_answers
            ]
            runs = [run for run in system.executions() if run.request_id.startswith("pipe-")]
        # The quota may refuse calls while its holders start; a refused call must not have run.
        self.assertEqual(CONNECTIONS * CALLS, len(answers))
        self.assertLessEqual({status for _, status in answers}, {200, 429})
        answered = {request_id for request_id, status in answers if status == 200}
        self.assertGreater(len(answered), CONNECTIONS * CALLS // 2)
        nested = [run for run in runs if run.path.startswith("/files/")]
        self.assertGreater(len(nested), CONNECTIONS * CALLS // 4)
        self.assertEqual(answered, {run.request_id for run in runs})
        for run in runs:
            assigned = dict(run.headers)["pollenglade-organisation"]
            self.assertEqual(run.organisation, assigned, run)
            self.assertIn(f"-{assigned}-", run.request_id)

    async def send_pipeline(
        self, system: System, node: NodeProcess, number: int
    ) -> list[tuple[str, int]]:
        """Pipeline calls with different keys on one connection; return request IDs and statuses."""
        random_source = Random(number)
        reader, writer = await asyncio.open_connection("127.0.0.1", node.caller.port)
        client = h11.Connection(h11.CLIENT)
        request_ids: list[str] = []
        for index in range(CALLS):
            name = random_source.choice(ORGANISATIONS)
            work_field = (
                "" if index % 2 else f"{WORK_HEADER.decode()}: {random_source.randrange(20)}\r\n"
            )
            request_ids.append(f"pipe-{name}-{number}-{index}")
            writer.write(
                f"GET /fees/quote/{index} HTTP/1.1\r\nHost: x\r\n{work_field}"
                f"Authorization: Bearer {system.keys_by_organisation[name]}\r\n"
                f"{REQUEST_HEADER.decode()}: {request_ids[-1]}\r\n"
                f"{ORGANISATION_HEADER.decode()}: {name}\r\n\r\n".encode()
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
        """A handle that outlives its call or works at other nodes lets a target act for anyone."""
        async with running_system() as system:
            local_node, remote_node = await system.add_node("z1"), await system.add_node("z2")
            target = ScriptedTarget("fees", self.hold_call)
            await target.start(local_node)
            await system.add_target(remote_node, "portfolios")
            for node in (local_node, remote_node):
                await system.wait_ready(node, "fees")
                await system.wait_ready(node, "portfolios")
            open_calls = {
                name: asyncio.ensure_future(
                    system.call(
                        remote_node,
                        "/fees/hold/1",
                        [(REQUEST_HEADER, name.encode())],
                        organisation=name,
                    )
                )
                for name in ORGANISATIONS
            }
            await wait_until(self.has_all_calls, f"calls at the target: {list(self.handles)}")
            vale, kiln = self.handles["vale"], self.handles["kiln"]
            self.assertEqual(
                200, await self.send_nested_call(system, local_node.caller, "live-vale", vale)
            )
            self.assertEqual(
                200, await self.send_nested_call(system, local_node.caller, "live-kiln", kiln)
            )
            invalid_handles = {
                "forged": (local_node, [vale[:-1] + (b"0" if vale[-1:] != b"0" else b"1")]),
                "empty": (local_node, [b""]),
                "other-node": (remote_node, [vale]),
                "two": (local_node, [vale, kiln]),
                "joined": (local_node, [vale + b", " + kiln]),
            }
            for name, (node, handles) in invalid_handles.items():
                status = await self.send_nested_call(system, node.caller, f"bad-{name}", *handles)
                self.assertIn(status, (400, 401), name)
            key = [system.authorization("harbour")]
            status = await self.send_nested_call(
                system, local_node.caller, "bad-key", vale, extra=key
            )
            self.assertEqual(400, status)
            forged = [(b"pollenglade-organisation", b"kiln"), (b"pollenglade-call-id", b"1")]
            self.assertEqual(
                200,
                await self.send_nested_call(
                    system, local_node.caller, "live-header", vale, extra=forged
                ),
            )
            self.release.set()
            responses = await asyncio.gather(*open_calls.values())
            self.assertEqual({"ran"}, {outcome_of(response) for response in responses})
            # The calls have ended, so using their handles again is a replay.
            for name, handle in self.handles.items():
                status = await self.send_nested_call(
                    system, local_node.caller, f"bad-replay-{name}", handle
                )
                self.assertEqual(401, status, name)
            self.release.clear()
            expired_call = await system.call(
                remote_node, "/fees/hold/1", [(REQUEST_HEADER, b"expired")]
            )
            self.assertEqual("unknown", outcome_of(expired_call))
            self.assertIn("expired", self.handles)
            status = await self.send_nested_call(
                system, local_node.caller, "bad-late", self.handles["expired"]
            )
            self.assertEqual(401, status)
            await target.close()
            runs = [run for run in system.executions() if run.path.startswith("/files/")]
        assigned = {run.request_id: dict(run.headers)["pollenglade-organisation"] for run in runs}
        expected = {"live-vale": "vale", "live-kiln": "kiln", "live-header": "vale"}
        self.assertEqual(expected, assigned)

    async def has_all_calls(self) -> bool:
        """Return whether the target holds a call of every organisation."""
        return len(self.handles) == len(ORGANISATIONS)

    async def hold_call(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Keep a call open until the test has used its handle; respond to other calls at once."""
        name = (request.header(REQUEST_HEADER) or b"").decode()
        if name:
            self.handles[name] = request.header(CALL_HANDLE_HEADER) or b""
            await self.release.wait()
        writer.write(ok_response(b"{}"))

    async def send_nested_call(
        self,
        system: System,
        address: Address,
        request_id: str,
        *handles: bytes,
        extra: list[tuple[bytes, bytes]] | None = None,
    ) -> int:
        """Send a nested call with call handles and return its status."""
        headers = [(CALL_HANDLE_HEADER, handle) for handle in handles] + (extra or [])
        headers += [(REQUEST_HEADER, request_id.encode()), (WORK_HEADER, b"1")]
        response = await system.client.request(
            address, "GET", "/portfolios/files/1", headers, timeout_s=5.0
        )
        assert isinstance(response, HttpResponse), response
        return response.status
