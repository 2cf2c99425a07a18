"""Brings the faults of a scenario about in a running fleet and ends them again."""

from __future__ import annotations

import asyncio

import orjson

from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .fleet import Fleet
from .fleet import Member
from .processes import ProcessError
from .scenario import SLOW_FACTOR
from .scenario import Partition
from .scenario import Scenario
from .scenario import Timing
from .scenario import slow_service
from .target import POISON_EXIT_CODE
from .target import POISON_PATH
from .workload import Deployment

RESTART_S = 1.0
"""Time after which a crashed target starts again."""

EXIT_S = 2.0
"""Time for the exit of a crashed target to be seen."""

POISON_PAUSE_S = 0.1
POISON_TIMEOUT_S = 5.0


class Faults:
    """The faults of one run, with a count of the crashes that they caused."""

    def __init__(self, fleet: Fleet, deployment: Deployment, scenario: Scenario) -> None:
        self._fleet = fleet
        self._deployment = deployment
        self._scenario = scenario
        self._service = slow_service(deployment)
        self._client = HttpClient()
        self._active = False
        self._lock = asyncio.Lock()
        self.crashes = 0
        self.poison_calls = 0
        self.unexpected_exits: list[str] = []

    async def run(self, timing: Timing) -> None:
        """Hold the faults during the cause; return at the end of the cause."""
        await asyncio.sleep(timing.before_s)
        ended = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._supervise(ended))
            await self._set(True)
            if self._scenario.poison:
                group.create_task(self._send_poison(timing.cause_s))
            await asyncio.sleep(timing.cause_s)
            await self._set(False)
            ended.set()
        await self._restart_crashed()
        await self._client.close()

    async def _set(self, active: bool) -> None:
        async with self._lock:
            self._active = active
            for member in self._fleet.members_of(self._service):
                await self._slow_down(member)
        await self._separate(active)
        if self._scenario.platform_down:
            body = orjson.dumps({"down": active})
            response = await self._client.request(
                self._fleet.platform, "POST", "/faults", None, body
            )
            if isinstance(response, HttpFailure) or response.status != 200:
                raise RuntimeError(f"the platform stand-in did not accept the fault: {response}")

    async def _separate(self, active: bool) -> None:
        """Cut the zones of the scenario off from each other, or join them again."""
        network, zones = self._fleet.network, self._deployment.zones
        if network is None or self._scenario.partition is Partition.NONE:
            return
        if not active:
            await network.heal()
        elif self._scenario.partition is Partition.ZONE:
            await network.isolate(zones[-1])
        else:
            half = len(zones) // 2
            await network.split([zones[:half], zones[half:]])

    async def _slow_down(self, member: Member) -> None:
        """Give a target the service time of the present phase, unless it has crashed."""
        if not self._scenario.slow or member.place.service != self._service:
            return
        conduct = {"latency_factor": SLOW_FACTOR if self._active else 1.0}
        try:
            await self._fleet.change_target(member.target, conduct)
        except RuntimeError:
            # A crashed target gets its conduct when it starts again.
            await asyncio.wait_for(member.target.process.wait(), EXIT_S)

    async def _send_poison(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        largest = max(self._deployment.organisations, key=lambda entry: entry.rate_per_s)
        key = self._fleet.keys_by_deployment[self._deployment.name][largest.id]
        entries = self._fleet.entries()
        while loop.time() < end_s:
            await self._client.request(
                entries[self.poison_calls % len(entries)],
                "GET",
                f"/{self._service}{POISON_PATH}/1",
                [(b"authorization", b"Bearer " + key.encode())],
                timeout_s=POISON_TIMEOUT_S,
            )
            self.poison_calls += 1
            await asyncio.sleep(POISON_PAUSE_S)

    async def _supervise(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            await asyncio.sleep(RESTART_S)
            await self._restart_crashed()

    async def _restart_crashed(self) -> None:
        for index, member in enumerate(self._fleet.members):
            code = member.target.process.exit_code
            if code is None:
                continue
            if code == POISON_EXIT_CODE:
                self.crashes += 1
            else:
                self.unexpected_exits.append(f"{member.target.process.name} exited {code}")
            async with self._lock:
                self._fleet.members[index] = await self._restarted(member)

    async def _restarted(self, member: Member) -> Member:
        fleet = self._fleet
        target = await fleet.start_target(member.place, member.node, member.target.address)
        restarted = Member(member.place, member.node, target)
        try:
            await fleet.processes.wait_target(target)
        except ProcessError:
            if target.process.exit_code != POISON_EXIT_CODE:
                raise
            # The next call of the loop ended it during its start; the next round counts that.
            return restarted
        await self._slow_down(restarted)
        return restarted
