"""Guards against claimed calls that are sent although their caller has disconnected."""

from __future__ import annotations

import asyncio
import random
import unittest
from time import monotonic
from typing import Any
from typing import cast

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_net.platform_api import ReadResult
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import WriteResult
from pollenglade_node.claim_service import ClaimService
from pollenglade_node.entry.entry_call import EntryCall

TEST_TIMEOUT_S = 2.0


class BlockedTable:
    """A table whose writes wait until the test sets `writes_allowed`."""

    def __init__(self) -> None:
        self.writes_allowed = asyncio.Event()
        self.states: list[str] = []

    async def read(self, name: str) -> ReadResult:
        raise AssertionError("these tests lose no reply of the platform, so no claim is read")

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        await self.writes_allowed.wait()
        self.states.append(value["state"])
        return RowWritten(len(self.states))

    async def read_prefix(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        raise AssertionError("a claim service never reads claims by prefix")


class CallStandIn:
    """Stand-in for a call whose caller may disconnect before its claim is written."""

    def __init__(self) -> None:
        self.context = CallContext(
            "c1", "acme", "p", "fees", Importance.NORMAL, monotonic() + 5.0, RetryAllowance(0)
        )
        self.is_open = True
        self.ignores_cancellation = False
        self.on_result: object = None
        self.runs = 0

    def run(self) -> None:
        self.runs += 1

    def finish_refused(self, refusal: Refusal) -> None:
        self.is_open = False


class NoPeers:
    """Stand-in for the peers in tests with a single node."""

    def query_node(self, node: str, topic: str, payload: object, callback: object) -> None:
        raise AssertionError("no other node owns a claim in these tests, so none is queried")


class ClaimServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.table = BlockedTable()
        self.service = ClaimService(
            "n1/1", self.table, lambda process: True, NoPeers(), random.Random(1)
        )
        self.addAsyncCleanup(self.service.close)

    async def _wait_until_idle(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.service.is_busy:
                await asyncio.sleep(0.01)

    async def test_a_call_is_sent_after_its_caller_left_during_the_claim(self) -> None:
        """A call whose caller disconnects during the claim must not be sent.

        Nothing has run, so the claim must be released for a repeat by the caller.
        """
        call = CallStandIn()
        self.service.claim_and_run(cast(EntryCall, call), b"key")
        await asyncio.sleep(0)
        call.is_open = False
        self.table.writes_allowed.set()
        await self._wait_until_idle()
        self.assertEqual(0, call.runs)
        self.assertEqual(["claimed", "released"], self.table.states)

    async def test_a_call_whose_caller_waits_is_not_sent(self) -> None:
        """Once the claim is written, the call must be sent and go on after a disconnect."""
        call = CallStandIn()
        self.service.claim_and_run(cast(EntryCall, call), b"key")
        self.table.writes_allowed.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not call.runs:
                await asyncio.sleep(0.01)
        self.assertTrue(call.ignores_cancellation)
