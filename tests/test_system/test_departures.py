"""Guards against targets that work for callers which have left the own interface."""

from __future__ import annotations

import asyncio
import socket
import unittest
from time import monotonic

from support.system import System
from support.system import started
from support.system import until

from pollenglade_emulator.departure import DEPARTURES
from pollenglade_emulator.departure import Departure
from pollenglade_emulator.records import Execution

WORK_MS = 1_800
"""Work of a call in milliseconds; below the deadline of a path without a rule."""

STOPPED_WITHIN_S = 0.5
"""Time in seconds after a caller has left within which its work must have ended."""


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.system: System = await self.enterAsyncContext(started())
        self.entry = await self.system.add_node("z1")
        serving = await self.system.add_node("z2")
        await self.system.add_target(serving, "fees")
        await self.system.wait_ready(self.entry, "fees")

    async def _run_and_leave(
        self, number: str, departure: Departure, method: str
    ) -> tuple[Execution, float]:
        """Send a call and leave once it runs; return its execution and when the caller left."""
        caller = self.entry.caller
        name, value = self.system.bearer()
        head = (
            f"{method} /fees/slow/{number} HTTP/1.1\r\nhost: portal\r\n"
            f"emulator-work-ms: {WORK_MS}\r\nemulator-request: {number}\r\n"
            f"idempotency-key: {number}\r\ncontent-length: 0\r\n"
        )
        with socket.create_connection((caller.host, caller.port)) as connection:
            connection.sendall(head.encode() + b"%b: %b\r\n\r\n" % (name, value))
            await until(lambda: self._has(number, running=True), "the call does not run")
            departure(connection)
            # The targets log times of the same clock.
            left_at = monotonic()
            await until(lambda: self._has(number, running=False), "the call does not end")
        (run,) = self.system.runs_of(number)
        return run, left_at

    async def _has(self, number: str, running: bool) -> bool:
        runs = self.system.runs_of(number)
        return bool(runs) and (runs[0].end_s is None) is running

    async def test_a_target_works_on_after_its_caller_has_left(self) -> None:
        for way, departure in DEPARTURES.items():
            with self.subTest(way):
                number = f"get-{way[0]}"
                run, left_at = await self._run_and_leave(number, departure, "GET")
                self.assertEqual("cancelled", run.result)
                assert run.end_s is not None
                self.assertLess(run.end_s - left_at, STOPPED_WITHIN_S)

    async def test_a_claimed_call_is_cut_off_when_its_caller_leaves(self) -> None:
        """A repeat must find its outcome on record."""
        number = "post-c"
        departure = DEPARTURES["closed"]
        run, _ = await self._run_and_leave(number, departure, "POST")
        self.assertEqual("done", run.result)
        headers = [
            (b"emulator-work-ms", b"%d" % WORK_MS),
            (b"emulator-request", number.encode()),
            (b"idempotency-key", number.encode()),
        ]
        await asyncio.sleep(0.2)
        await self.system.call(self.entry, f"/fees/slow/{number}", headers, "POST")
        self.assertEqual(1, len(self.system.runs_of(number)))
