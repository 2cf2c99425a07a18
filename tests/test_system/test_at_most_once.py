"""Guards against payments that run twice or whose outcome is reported wrongly."""

from __future__ import annotations

import asyncio
import signal
import unittest
from collections import Counter

from support.system import REQUEST_HEADER
from support.system import WORK_HEADER
from support.system import System
from support.system import outcome_of
from support.system import reason_of
from support.system import running_system

from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpResponse

CONCURRENT_PAIRS = 12
MAX_SENDS = 30
PAUSE_S = 5.5
"""Longer than the deadline of a payment, which is 5 s."""

Response = HttpResponse | HttpFailure


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_idempotency_key_runs_once_whatever_fails(self) -> None:
        """A caller repeats a payment after a failure and relies on it running at most once."""
        self.responses_by_key: dict[str, list[Response]] = {}
        async with running_system() as system:
            for zone in ("z1", "z2"):
                await system.add_target(await system.add_node(zone), "fees")
            for node in system.nodes:
                await system.wait_ready(node, "fees")
            await self.check_concurrent_payments(system)
            await self.check_lost_response(system)
            await self.check_lost_claim_replies(system)
            await self.check_platform_outage(system)
            await self.check_paused_entry_node(system)
            runs = self.count_runs(system)
        for name, responses in self.responses_by_key.items():
            outcomes = [outcome_of(response) for response in responses]
            if "ran" in outcomes:
                self.assertEqual(1, runs[name], name)
            bodies = {
                response.body
                for response in responses
                if isinstance(response, HttpResponse) and response.status == 200
            }
            self.assertLessEqual(len(bodies), 1, name)
        self.assertEqual(
            CONCURRENT_PAIRS, sum(runs[f"pair-{index}"] for index in range(CONCURRENT_PAIRS))
        )
        self.assertEqual((1, 1, 0), (runs["lost-0"], runs["claim-0"], runs["down"]))

    def count_runs(self, system: System) -> Counter[str]:
        """Check that no payment ran twice; return the number of runs by idempotency key."""
        payments = [run for run in system.executions() if run.method == "POST"]
        runs = Counter(run.idempotency_key for run in payments)
        self.assertEqual([], [name for name, count in runs.items() if count > 1])
        return runs

    async def pay(
        self, system: System, node: int, name: str, work_ms: int = 30, timeout_s: float = 8.0
    ) -> Response:
        """Send a payment with an idempotency key and record the response."""
        headers = [(b"idempotency-key", name.encode()), (REQUEST_HEADER, name.encode())]
        headers.append((WORK_HEADER, b"%d" % work_ms))
        for _ in range(MAX_SENDS):
            response = await system.call(
                system.nodes[node], "/fees/payment/1", headers, "POST", b"pay", timeout_s=timeout_s
            )
            if reason_of(response) != "over-rate":
                break
            # Quota is spent before the claim, so this refusal says nothing about the claim.
            await asyncio.sleep(0.1)
        self.responses_by_key.setdefault(name, []).append(response)
        return response

    async def check_concurrent_payments(self, system: System) -> None:
        """Entry nodes in two zones get the same key at once; repeats get the recorded response."""
        names = [f"pair-{index}" for index in range(CONCURRENT_PAIRS)]
        responses = await asyncio.gather(
            *(self.pay(system, node, name) for name in names for node in (0, 1))
        )
        self.count_runs(system)
        outcomes = Counter((outcome_of(response), reason_of(response)) for response in responses)
        self.assertLessEqual(set(outcomes), {("ran", ""), ("unknown", "in-progress")}, outcomes)
        for name in names:
            for node in (0, 1):
                repeat = await self.pay(system, node, name)
                self.assertEqual("ran", outcome_of(repeat), f"{name}: {reason_of(repeat)}")

    async def check_lost_response(self, system: System) -> None:
        """A caller loses its connection and repeats the payment at another node."""
        lost = await self.pay(system, 0, "lost-0", work_ms=600, timeout_s=0.3)
        self.assertIsInstance(lost, HttpFailure)
        running = await self.pay(system, 1, "lost-0", work_ms=600)
        self.assertEqual("unknown", outcome_of(running), reason_of(running))
        await asyncio.sleep(0.8)
        repeat = await self.pay(system, 1, "lost-0", work_ms=600)
        self.assertEqual("ran", outcome_of(repeat), reason_of(repeat))

    async def check_lost_claim_replies(self, system: System) -> None:
        """The platform stores claims and outcomes, but every second reply is lost."""
        await system.set_platform_faults(lose_every_nth_answer=2)
        for index in range(6):
            await self.pay(system, index % 2, f"claim-{index}")
            await self.pay(system, 1 - index % 2, f"claim-{index}")
        await system.set_platform_faults()
        repeat = await self.pay(system, 0, "claim-0")
        self.assertEqual("ran", outcome_of(repeat), reason_of(repeat))

    async def check_platform_outage(self, system: System) -> None:
        """A platform outage refuses new payments as `not-run` and does not lose a running one."""
        open_call = asyncio.ensure_future(self.pay(system, 0, "middle", work_ms=700))
        await asyncio.sleep(0.3)
        await system.set_platform_faults(down=True)
        refused = await self.pay(system, 1, "down")
        self.assertEqual("not-run", outcome_of(refused), reason_of(refused))
        self.assertEqual("ran", outcome_of(await open_call))
        await system.set_platform_faults()
        repeat = await self.pay(system, 1, "middle", work_ms=700)
        self.assertIn(outcome_of(repeat), ("ran", "unknown"))

    async def check_paused_entry_node(self, system: System) -> None:
        """An entry node that holds claims is paused past the deadline and then resumes."""
        await system.set_platform_faults(delay_s=0.4)
        calls = [asyncio.ensure_future(self.pay(system, 0, f"paused-{i}")) for i in range(4)]
        await asyncio.sleep(0.2)
        system.nodes[0].process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        await system.set_platform_faults()
        for index in range(4):
            repeat = await self.pay(system, 1, f"paused-{index}")
            self.assertNotEqual("ran", outcome_of(repeat))
        await asyncio.sleep(PAUSE_S)
        system.nodes[0].process.send_signal(signal.SIGCONT)
        await asyncio.gather(*calls)
        for index in range(4):
            await self.pay(system, 1, f"paused-{index}")
