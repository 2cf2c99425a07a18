"""Periodic announcement of a target to its node."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import orjson

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5


class TargetState(StrEnum):
    """State in the announcements of a target."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Announcer:
    """Sends `POST /v1/targets` to the control port of a node and counts accepted announcements."""

    def __init__(self, control: Address, service: str, address: Address, slots: int) -> None:
        self._control = control
        self._service = service
        self._address = address
        self._slots = slots
        self._client = HttpClient()
        self._task: asyncio.Task[None] | None = None
        self.state = TargetState.STARTING
        self.accepted = 0

    def start(self) -> None:
        """Announce now and then once per `ANNOUNCE_INTERVAL_S`."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop announcing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._client.close()

    async def announce(self) -> bool:
        """Send one announcement; return whether the node accepted it."""
        document = {
            "service": self._service,
            "address": str(self._address),
            "slots": self._slots,
            "state": self.state.value,
        }
        response = await self._client.request(
            self._control,
            "POST",
            "/v1/targets",
            [(b"content-type", b"application/json")],
            orjson.dumps(document),
            timeout_s=ANNOUNCE_TIMEOUT_S,
        )
        if isinstance(response, HttpFailure) or response.status >= 300:
            return False
        self.accepted += 1
        return True

    async def _run(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
