"""Guards against a payment that runs twice, and against false reports about one."""

from __future__ import annotations

import asyncio
import signal
import unittest
from collections import Counter

from support.system import REQUEST
from support.system import WORK
from support.system import System
from support.system import outcome_of
from support.system import reason_of
from support.system import started

from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpResponse

PAIRS = 12
QUOTA_REPEATS = 30
PAUSE_S = 5.5
"""Longer than the deadline of a payment, which is 5 s."""

Answer = HttpResponse | HttpFailure


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_idempotency_key_runs_once_whatever_fails(self) -> None:
        """A caller that repeats a payment after a failure relies on this."""
        self.told: dict[str, list[Answer]] = {}
        async with started() as system:
            for zone in ("z1", "z2"):
                await system.add_target(await system.add_node(zone), "fees")
            for node in system.nodes:
                await system.wait_ready(node, "fees")
            await self.same_moment(system)
            await self.lost_answer(system)
            await self.lost_claim_answer(system)
            await self.outage(system)
            await self.paused_entry(system)
            runs = self.checked_runs(system)
        for name, answers in self.told.items():
            outcomes = [outcome_of(answer) for answer in answers]
            if "ran" in outcomes:
                self.assertEqual(1, runs[name], name)
            bodies = {a.body for a in answers if isinstance(a, HttpResponse) and a.status == 200}
            self.assertLessEqual(len(bodies), 1, name)
        self.assertEqual(PAIRS, sum(runs[f"pair-{index}"] for index in range(PAIRS)))
        self.assertEqual((1, 1, 0), (runs["lost-0"], runs["claim-0"], runs["down"]))

    def checked_runs(self, system: System) -> Counter[str]:
        """Return the number of runs by idempotency key after checking that none is above one."""
        payments = [run for run in system.executions() if run.method == "POST"]
        runs = Counter(run.idempotency_key for run in payments)
        self.assertEqual([], [name for name, count in runs.items() if count > 1])
        return runs

    async def pay(
        self, system: System, node: int, name: str, work_ms: int = 30, timeout_s: float = 8.0
    ) -> Answer:
        """Send a payment under an idempotency key and keep the answer."""
        headers = [(b"idempotency-key", name.encode()), (REQUEST, name.encode())]
        headers.append((WORK, b"%d" % work_ms))
        for _ in range(QUOTA_REPEATS):
            answer = await system.call(
                system.nodes[node], "/fees/payment/1", headers, "POST", b"pay", timeout_s=timeout_s
            )
            if reason_of(answer) != "over-rate":
                break
            # Quota is spent before the claim, so this refusal says nothing about the claim.
            await asyncio.sleep(0.1)
        self.told.setdefault(name, []).append(answer)
        return answer

    async def same_moment(self, system: System) -> None:
        """Two entry nodes in two zones get the same key at once; repeats get the record."""
        names = [f"pair-{index}" for index in range(PAIRS)]
        answers = await asyncio.gather(
            *(self.pay(system, node, name) for name in names for node in (0, 1))
        )
        self.checked_runs(system)
        outcomes = Counter((outcome_of(answer), reason_of(answer)) for answer in answers)
        self.assertLessEqual(set(outcomes), {("ran", ""), ("unknown", "in-progress")}, outcomes)
        for name in names:
            for node in (0, 1):
                repeat = await self.pay(system, node, name)
                self.assertEqual("ran", outcome_of(repeat), f"{name}: {reason_of(repeat)}")

    async def lost_answer(self, system: System) -> None:
        """The caller loses its connection and sends again at another node."""
        lost = await self.pay(system, 0, "lost-0", work_ms=600, timeout_s=0.3)
        self.assertIsInstance(lost, HttpFailure)
        running = await self.pay(system, 1, "lost-0", work_ms=600)
        self.assertEqual("unknown", outcome_of(running), reason_of(running))
        await asyncio.sleep(0.8)
        repeat = await self.pay(system, 1, "lost-0", work_ms=600)
        self.assertEqual("ran", outcome_of(repeat), reason_of(repeat))

    async def lost_claim_answer(self, system: System) -> None:
        """The platform writes claims and outcomes but loses every second answer."""
        await system.fault(lose_every_nth_answer=2)
        for index in range(6):
            await self.pay(system, index % 2, f"claim-{index}")
            await self.pay(system, 1 - index % 2, f"claim-{index}")
        await system.fault()
        repeat = await self.pay(system, 0, "claim-0")
        self.assertEqual("ran", outcome_of(repeat), reason_of(repeat))

    async def outage(self, system: System) -> None:
        """Without the platform a payment is refused as not run, and an open one stays known."""
        open_call = asyncio.ensure_future(self.pay(system, 0, "middle", work_ms=700))
        await asyncio.sleep(0.3)
        await system.fault(down=True)
        refused = await self.pay(system, 1, "down")
        self.assertEqual("not-run", outcome_of(refused), reason_of(refused))
        self.assertEqual("ran", outcome_of(await open_call))
        await system.fault()
        repeat = await self.pay(system, 1, "middle", work_ms=700)
        self.assertIn(outcome_of(repeat), ("ran", "unknown"))

    async def paused_entry(self, system: System) -> None:
        """An entry node that claimed is paused over the deadline and resumes."""
        await system.fault(delay_s=0.4)
        calls = [asyncio.ensure_future(self.pay(system, 0, f"paused-{i}")) for i in range(4)]
        await asyncio.sleep(0.2)
        system.nodes[0].process.send(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        await system.fault()
        for index in range(4):
            repeat = await self.pay(system, 1, f"paused-{index}")
            self.assertNotEqual("ran", outcome_of(repeat))
        await asyncio.sleep(PAUSE_S)
        system.nodes[0].process.send(signal.SIGCONT)
        await asyncio.gather(*calls)
        for index in range(4):
            await self.pay(system, 1, f"paused-{index}")
