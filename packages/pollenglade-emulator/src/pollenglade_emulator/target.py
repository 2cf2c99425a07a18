"""Target that executes calls in a limited number of slots, with faults on request."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

import orjson

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

from .announcer import TargetState
from .records import ORGANISATION_HEADER
from .records import REQUEST_HEADER
from .records import WORK_HEADER
from .run_log import RunLog
from .run_log import decode_latin1
from .workload import Latency
from .workload import Route

POISON_PATH = "/_poison"
SILENT_PATH = "/_silent"
POISON_EXIT_CODE = 70
MAX_HEALTHY_WAITING_PER_SLOT = 2
"""Waiting calls per slot above which a target reports itself unhealthy."""

CALL_HANDLE_HEADER = b"pollenglade-call"
IDEMPOTENCY_HEADER = b"idempotency-key"
COPIED_HEADERS = (CALL_HANDLE_HEADER, REQUEST_HEADER, ORGANISATION_HEADER)
NOT_RUN_HEADERS: Headers = [(b"pollenglade-not-run", b"true"), (b"retry-after", b"1")]


@dataclass(frozen=True)
class TargetConduct:
    """Faults of a running target, changed by `PUT /_conduct`.

    `latency_factor` multiplies service times. `shed` rejects every call without running it,
    `silent` occupies a slot for every call and never responds. `health` replaces the status of
    `/health` and `load` the value of `/load`.
    """

    latency_factor: float = 1.0
    shed: bool = False
    silent: bool = False
    health: int | None = None
    load: float | None = None


@dataclass(frozen=True)
class TargetSettings:
    """Settings of a target; times in seconds.

    The target is in the state `starting` for `start_s`. Service times then fall from `cold_factor`
    times their value to the usual value within `warm_s`. Nested calls are sent to `node`.
    """

    service: str
    slots: int = 10
    latency: Latency = field(default_factory=lambda: Latency(0.01))
    start_s: float = 0.0
    warm_s: float = 0.0
    cold_factor: float = 5.0
    node: Address | None = None


class Target:
    """Executes calls; calls wait for a free slot, so that latency grows with load."""

    def __init__(
        self,
        settings: TargetSettings,
        routes_by_name: Mapping[str, Route],
        log: RunLog,
        random: Random,
    ) -> None:
        self._settings = settings
        self._routes_by_name = routes_by_name
        self._log = log
        self._random = random
        self._slots = asyncio.Semaphore(settings.slots)
        self._client = HttpClient()
        self._started_s = time.monotonic()
        self.conduct = TargetConduct()
        self.state = TargetState.STARTING if settings.start_s > 0 else TargetState.READY
        self.running = 0
        self.waiting = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to a call or to a request for health, load, run log or conduct."""
        path = decode_latin1(request.target).partition("?")[0]
        if path == "/health":
            return json_response(self._health_status(), {"state": self.state})
        if path == "/load":
            return json_response(200, {"load": self._reported_load(), "waiting": self.waiting})
        if path == "/_log":
            since = decode_latin1(request.target).partition("since=")[2]
            entries = self._log.entries(int(since) if since.isdigit() else 0)
            return json_response(200, {"entries": entries, "state": self.state})
        if path == "/_conduct":
            return self._change_conduct(request)
        return await self._call(request, path)

    async def close(self) -> None:
        """Close the connections to the node."""
        await self._client.close()

    def _health_status(self) -> int:
        if self.conduct.health is not None:
            return self.conduct.health
        overloaded = self.waiting > MAX_HEALTHY_WAITING_PER_SLOT * self._settings.slots
        return 503 if overloaded or self.state is not TargetState.READY else 200

    def _reported_load(self) -> float:
        if self.conduct.load is not None:
            return self.conduct.load
        return (self.running + self.waiting) / self._settings.slots

    def _change_conduct(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT":
            try:
                self.conduct = replace(self.conduct, **orjson.loads(request.body))
            except (TypeError, ValueError) as error:
                return json_response(400, {"detail": f"not a conduct: {error}"})
        return json_response(200, asdict(self.conduct))

    async def _call(self, request: HttpRequest, path: str) -> HttpResponse:
        if self.conduct.shed or self.state is TargetState.STARTING:
            return json_response(503, {"detail": "shed"}, NOT_RUN_HEADERS)
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        index = self._log.start(request, time.monotonic())
        result = "cancelled"
        try:
            response, result = await self._execute(request, path, index)
            return response
        finally:
            self.running -= 1
            self._slots.release()
            if result != "silent":
                self._log.finish(index, time.monotonic(), result)

    async def _execute(
        self, request: HttpRequest, path: str, index: int
    ) -> tuple[HttpResponse, str]:
        if path.startswith(POISON_PATH):
            os._exit(POISON_EXIT_CODE)
        if path.startswith(SILENT_PATH) or self.conduct.silent:
            # The call occupies its slot until the caller cancels it, as in a target that hangs, but
            # does not count as running in the reported load.
            self._log.finish(index, time.monotonic(), "silent")
            self.running -= 1
            try:
                await asyncio.Event().wait()
            finally:
                self.running += 1
        route = self._routes_by_name.get(path.split("/")[1])
        fixed_ms = request.header(WORK_HEADER)
        await asyncio.sleep(self._service_time_s(route, fixed_ms))
        if route is not None and fixed_ms is None:
            for position, name in enumerate(route.calls):
                failure = await self._call_nested(self._routes_by_name[name], request, position)
                if failure is not None:
                    return failure, "failed"
        return self._success_response(request), "done"

    def _service_time_s(self, route: Route | None, fixed_ms: bytes | None) -> float:
        if fixed_ms is not None:
            return float(fixed_ms) / 1_000
        latency = route.latency if route is not None else self._settings.latency
        return latency.sample(self._random) * self.conduct.latency_factor * self._warm_up_factor()

    def _warm_up_factor(self) -> float:
        """Return the factor that falls linearly from `cold_factor` to 1 within `warm_s`."""
        settings = self._settings
        since_start_s = time.monotonic() - self._started_s - settings.start_s
        if since_start_s >= settings.warm_s:
            return 1.0
        return 1.0 + (settings.cold_factor - 1.0) * (1.0 - since_start_s / settings.warm_s)

    async def _call_nested(
        self, route: Route, request: HttpRequest, position: int
    ) -> HttpResponse | None:
        """Send a nested call; return the response to the parent request if it failed, else None."""
        if self._settings.node is None:
            return json_response(502, {"detail": "the target has no node for nested calls"})
        request_id = decode_latin1(request.header(REQUEST_HEADER)) or "0"
        headers = [
            (name, value) for name in COPIED_HEADERS if (value := request.header(name)) is not None
        ]
        if not route.idempotent:
            key = request.header(IDEMPOTENCY_HEADER) or request_id.encode()
            headers.append((IDEMPOTENCY_HEADER, b"%s-%d-%s" % (key, position, route.name.encode())))
        response = await self._client.request(
            self._settings.node,
            route.method,
            route.path(request_id),
            headers,
            timeout_s=route.deadline_ms / 1_000,
        )
        if isinstance(response, HttpFailure):
            return json_response(502, {"detail": f"{route.name}: {response.reason}"})
        if response.status < 300:
            return None
        reason = decode_latin1(response.header(b"pollenglade-reason"))
        retry_after = response.header(b"retry-after")
        fields = [(b"retry-after", retry_after)] if retry_after is not None else []
        detail = f"{route.name}: {response.status} {reason}"
        return json_response(502, {"detail": detail}, fields)

    def _success_response(self, request: HttpRequest) -> HttpResponse:
        request_id = request.header(REQUEST_HEADER) or b""
        document = {
            "request": decode_latin1(request_id),
            "service": self._settings.service,
            "path": decode_latin1(request.target),
        }
        return json_response(200, document, [(REQUEST_HEADER, request_id)])
