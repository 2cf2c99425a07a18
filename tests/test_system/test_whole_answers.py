"""Guards against callers that receive a partial response or the response to another call."""

from __future__ import annotations

import asyncio
import hashlib
import unittest
from collections import Counter
from random import Random

from support.scripted_target import ScriptedTarget
from support.scripted_target import ok_response
from support.system import System
from support.system import running_system

from pollenglade_emulator.processes import NodeProcess
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

CALLERS = 12
CALLS = 25
CONDUCTS = ("whole", "late", "chunked", "large", "truncated", "cut-chunks", "extra", "status-000")
COMPLETE_CONDUCTS = {"whole", "late", "chunked", "large", "extra"}
MAX_DELAY_S = 0.4
SILENT_S = 2.5
"""Longer than the deadline of 2 s, so that the response arrives after the call has ended."""

CANCEL_AFTER_S = 0.05


def expected_body(path: str, conduct: str) -> bytes:
    """Return the response body that is unique to a call."""
    unit = hashlib.sha256(path.encode()).hexdigest().encode()
    return unit * (4_000 if conduct in ("large", "truncated", "cut-chunks") else 3)


def chunk(data: bytes) -> bytes:
    """Return one chunk in chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def respond(request: HttpRequest, writer: asyncio.StreamWriter) -> None:
    """Respond according to the conduct in the path.

    `whole`, `large` and paths without a conduct get a complete response, `late` one after a random
    delay, and `silent` one after `SILENT_S`. `chunked` sends two chunks; `cut-chunks` closes the
    connection after the first. `truncated` closes it after half of the response. `extra` sends a
    second response without a request. `status-000` sends a status that is none.
    """
    path = request.target.decode()
    conduct = path.split("/")[2] if path.count("/") > 2 else "whole"
    body = expected_body(path, conduct)
    match conduct:
        case "late":
            await asyncio.sleep(Random(path).uniform(0.0, MAX_DELAY_S))
            writer.write(ok_response(body))
        case "silent":
            await asyncio.sleep(SILENT_S)
            writer.write(ok_response(body))
        case "chunked" | "cut-chunks":
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            writer.write(chunk(body[: len(body) // 2]))
            await asyncio.sleep(0.01)
            if conduct == "cut-chunks":
                writer.close()
                return
            writer.write(chunk(body[len(body) // 2 :]) + b"0\r\n\r\n")
        case "truncated":
            whole = ok_response(body)
            writer.write(whole[: len(whole) // 2])
            await asyncio.sleep(0.01)
            writer.close()
        case "status-000":
            writer.write(ok_response(body).replace(b" 200 ", b" 000 ", 1))
        case "extra":
            # A second response although the connection has no second request.
            writer.write(ok_response(body) + ok_response(b"of nobody"))
        case _:
            writer.write(ok_response(body))


class WholeAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_caller_gets_its_own_whole_response_or_a_failure(self) -> None:
        """A caller that acts on half a response, or on that of another, does harm unnoticed."""
        async with running_system() as system:
            nodes = [await system.add_node("z1"), await system.add_node("z2")]
            target = ScriptedTarget("fees", respond)
            await target.start(nodes[1])
            await system.wait_ready(nodes[0], "fees")
            results = await asyncio.gather(
                *(self.send(system, nodes[index % 2], index) for index in range(CALLERS))
            )
            await target.close()
        calls = [item for result in results for item in result]
        self.assertEqual([], [call for call in calls if self.is_inconsistent(*call)])
        whole = Counter(
            conduct
            for _, conduct, response in calls
            if isinstance(response, HttpResponse) and response.status == 200
        )
        self.assertEqual(
            COMPLETE_CONDUCTS, set(whole), "each conduct that gives a whole response is received"
        )
        self.assertTrue(any(response is None for _, _, response in calls), "no call was cancelled")

    def is_inconsistent(self, path: str, conduct: str, response: object) -> bool:
        """Return whether a response does not match its call and conduct."""
        if not isinstance(response, HttpResponse):
            return False
        if response.status == 200:
            body = expected_body(path.removeprefix("/fees"), conduct)
            return conduct not in COMPLETE_CONDUCTS or response.body != body
        outcome = response.header(b"pollenglade-outcome")
        return response.status < 400 or outcome not in (b"not-run", b"unknown")

    async def send(
        self, system: System, node: NodeProcess, caller: int
    ) -> list[tuple[str, str, HttpResponse | HttpFailure | None]]:
        """Send calls of every conduct, some of them cancelled.

        Returns the path, conduct and response of each call; the response is None if cancelled.
        """
        random_source = Random(caller)
        results: list[tuple[str, str, HttpResponse | HttpFailure | None]] = []
        for index in range(CALLS):
            # A silent call takes its whole deadline, so each caller sends only one.
            conduct = "silent" if index == caller else random_source.choice(CONDUCTS)
            path = f"/fees/x/{conduct}/{caller}-{index}"
            call = asyncio.ensure_future(system.call(node, path))
            if random_source.random() < 0.2:
                await asyncio.sleep(random_source.uniform(0.0, CANCEL_AFTER_S))
                if not call.done():
                    call.cancel()
                    await asyncio.gather(call, return_exceptions=True)
                    results.append((path, conduct, None))
                    continue
            results.append((path, conduct, await call))
        return results
