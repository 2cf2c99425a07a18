"""Injects the faults of a scenario into a running fleet and removes them again."""

from __future__ import annotations

import asyncio

import orjson

from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .fleet import Fleet
from .fleet import FleetHost
from .processes import ProcessError
from .scenario import SLOW_LATENCY_FACTOR
from .scenario import Partition
from .scenario import Scenario
from .scenario import Timing
from .scenario import most_used_service
from .target import POISON_EXIT_CODE
from .target import POISON_PATH
from .workload import Deployment

RESTART_INTERVAL_S = 1.0
"""Interval at which crashed targets are restarted."""

EXIT_TIMEOUT_S = 2.0
"""Time limit for the exit code of a crashed target to become available."""

POISON_INTERVAL_S = 0.1
POISON_TIMEOUT_S = 5.0


class FaultInjector:
    """Injects the faults of one run and counts the crashes that they cause.

    `unexpected_exits` describes each target that ended with another exit code than that of a
    poisoned call.
    """

    def __init__(self, fleet: Fleet, deployment: Deployment, scenario: Scenario) -> None:
        self._fleet = fleet
        self._deployment = deployment
        self._scenario = scenario
        self._service = most_used_service(deployment)
        self._client = HttpClient()
        self._active = False
        self._lock = asyncio.Lock()
        self.crashes = 0
        self.poison_calls = 0
        self.unexpected_exits: list[str] = []

    async def run(self, timing: Timing) -> None:
        """Keep the faults active during the cause phase; return once crashed targets run again."""
        await asyncio.sleep(timing.before_s)
        ended = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restart_until(ended))
            await self._set_active(True)
            if self._scenario.poison:
                group.create_task(self._send_poison(timing.cause_s))
            await asyncio.sleep(timing.cause_s)
            await self._set_active(False)
            ended.set()
        await self._restart_crashed()
        await self._client.close()

    async def _set_active(self, active: bool) -> None:
        async with self._lock:
            self._active = active
            for member in self._fleet.hosts_of(self._service):
                await self._apply_latency_factor(member)
        await self._set_partition(active)
        if self._scenario.platform_down:
            body = orjson.dumps({"down": active})
            response = await self._client.request(
                self._fleet.platform, "POST", "/faults", None, body
            )
            if isinstance(response, HttpFailure) or response.status != 200:
                raise RuntimeError(f"the platform stand-in rejected the fault: {response}")

    async def _set_partition(self, active: bool) -> None:
        """Start or end the network partition of the scenario."""
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

    async def _apply_latency_factor(self, member: FleetHost) -> None:
        """Set the latency factor of the current phase on a target, unless it has crashed."""
        if not self._scenario.slow or member.spec.service != self._service:
            return
        conduct = {"latency_factor": SLOW_LATENCY_FACTOR if self._active else 1.0}
        try:
            await self._fleet.set_target_conduct(member.target, conduct)
        except RuntimeError:
            # A crashed target gets its latency factor at its restart.
            await asyncio.wait_for(member.target.process.wait(), EXIT_TIMEOUT_S)

    async def _send_poison(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        largest = max(self._deployment.organisations, key=lambda entry: entry.rate_per_s)
        key = self._fleet.keys_by_deployment[self._deployment.name][largest.id]
        addresses = self._fleet.caller_addresses()
        while loop.time() < end_s:
            await self._client.request(
                addresses[self.poison_calls % len(addresses)],
                "GET",
                f"/{self._service}{POISON_PATH}/1",
                [(b"authorization", b"Bearer " + key.encode())],
                timeout_s=POISON_TIMEOUT_S,
            )
            self.poison_calls += 1
            await asyncio.sleep(POISON_INTERVAL_S)

    async def _restart_until(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            await asyncio.sleep(RESTART_INTERVAL_S)
            await self._restart_crashed()

    async def _restart_crashed(self) -> None:
        for index, member in enumerate(self._fleet.hosts):
            code = member.target.process.exit_code
            if code is None:
                continue
            if code == POISON_EXIT_CODE:
                self.crashes += 1
            else:
                self.unexpected_exits.append(f"{member.target.process.name} exited {code}")
            async with self._lock:
                self._fleet.hosts[index] = await self._restart(member)

    async def _restart(self, member: FleetHost) -> FleetHost:
        fleet = self._fleet
        target = await fleet.start_target(member.spec, member.node, member.target.address)
        restarted = FleetHost(member.spec, member.node, target)
        try:
            await fleet.processes.wait_target(target)
        except ProcessError:
            if target.process.exit_code != POISON_EXIT_CODE:
                raise
            # A resent poison call ended the target during its start; the next restart counts it.
            return restarted
        await self._apply_latency_factor(restarted)
        return restarted
