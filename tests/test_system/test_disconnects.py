"""Guards against targets that keep working for callers that have disconnected."""

from __future__ import annotations

import asyncio
import socket
import unittest
from time import monotonic

from support.system import System
from support.system import running_system
from support.system import wait_until

from pollenglade_emulator.disconnection import DISCONNECT_BY_NAME
from pollenglade_emulator.disconnection import Disconnect
from pollenglade_emulator.records import Execution

WORK_MS = 1_800
"""Work of a call in milliseconds; shorter than the deadline of a path without a rule."""

STOP_LIMIT_S = 0.5
"""Time after a caller disconnects within which its work must end, in seconds."""


class DisconnectTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.system: System = await self.enterAsyncContext(running_system())
        self.entry = await self.system.add_node("z1")
        serving = await self.system.add_node("z2")
        await self.system.add_target(serving, "fees")
        await self.system.wait_ready(self.entry, "fees")

    async def _disconnect_during_call(
        self, number: str, disconnect: Disconnect, method: str
    ) -> tuple[Execution, float]:
        """Send a call and disconnect while it runs.

        Returns its execution and the time at which the caller disconnected.
        """
        caller_address = self.entry.caller
        name, value = self.system.authorization()
        head = (
            f"{method} /fees/slow/{number} HTTP/1.1\r\nhost: portal\r\n"
            f"emulator-work-ms: {WORK_MS}\r\nemulator-request: {number}\r\n"
            f"idempotency-key: {number}\r\ncontent-length: 0\r\n"
        )
        with socket.create_connection((caller_address.host, caller_address.port)) as connection:
            connection.sendall(head.encode() + b"%b: %b\r\n\r\n" % (name, value))
            await wait_until(
                lambda: self._has_execution(number, running=True), "the call does not run"
            )
            disconnect(connection)
            # The run logs of the targets use the same clock.
            disconnected_at = monotonic()
            await wait_until(
                lambda: self._has_execution(number, running=False), "the call does not end"
            )
        (run,) = self.system.executions_of(number)
        return run, disconnected_at

    async def _has_execution(self, number: str, running: bool) -> bool:
        runs = self.system.executions_of(number)
        return bool(runs) and (runs[0].end_s is None) is running

    async def test_a_target_works_on_after_its_caller_has_left(self) -> None:
        for disconnect_name, disconnect in DISCONNECT_BY_NAME.items():
            with self.subTest(disconnect_name):
                number = f"get-{disconnect_name[0]}"
                run, disconnected_at = await self._disconnect_during_call(number, disconnect, "GET")
                self.assertEqual("cancelled", run.result)
                assert run.end_s is not None
                self.assertLess(run.end_s - disconnected_at, STOP_LIMIT_S)

    async def test_a_claimed_call_is_cut_off_when_its_caller_disconnects(self) -> None:
        """A claimed call must run to its end, because a repeat must find its recorded outcome."""
        number = "post-c"
        disconnect = DISCONNECT_BY_NAME["closed"]
        run, _ = await self._disconnect_during_call(number, disconnect, "POST")
        self.assertEqual("done", run.result)
        headers = [
            (b"emulator-work-ms", b"%d" % WORK_MS),
            (b"emulator-request", number.encode()),
            (b"idempotency-key", number.encode()),
        ]
        await asyncio.sleep(0.2)
        await self.system.call(self.entry, f"/fees/slow/{number}", headers, "POST")
        self.assertEqual(1, len(self.system.executions_of(number)))
