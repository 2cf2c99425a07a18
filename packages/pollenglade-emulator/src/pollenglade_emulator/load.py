"""Open-loop load: sends the arrivals of a deployment to nodes and checks every response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from random import Random

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpResponse

from .arrivals import Arrival
from .arrivals import Surge
from .arrivals import arrivals
from .measures import LatencyHistogram
from .records import ORGANISATION_HEADER
from .records import REQUEST_HEADER
from .records import RequestRecord
from .workload import Deployment

HARD_ATTEMPTS = 10
HARD_PAUSE_S = 0.01
POLITE_ATTEMPTS = 4
MAX_IN_FLIGHT = 4_000
"""Requests in flight above which a new one is recorded as failed without being sent.

Open loop has no bound of its own; file descriptors of the machine do.
"""

FAILED_AT_CALLER = "caller-limit"


class RetryStyle(StrEnum):
    """How a caller treats a request that failed."""

    NONE = "none"
    POLITE = "polite"
    HARD = "hard"


@dataclass(frozen=True)
class LoadSettings:
    """What is sent, where and how.

    `shard` and `shards` split the same arrivals between processes. `entries` are caller addresses
    of nodes; each request goes to a random one.
    """

    deployment: Deployment
    entries: Sequence[Address]
    keys_by_organisation: Mapping[str, str]
    duration_s: float
    seed: int = 1
    surges: Sequence[Surge] = ()
    retries: RetryStyle = RetryStyle.NONE
    shard: int = 0
    shards: int = 1
    run_id: str = "r"


@dataclass
class LoadResult:
    """Records of all requests and how late the load tool was in sending them."""

    records: list[RequestRecord] = field(default_factory=list)
    lateness: LatencyHistogram = field(default_factory=LatencyHistogram)


@dataclass(frozen=True)
class Verdict:
    """What one attempt showed."""

    status: int
    outcome: str = ""
    reason: str = ""
    wrong: bool = False
    retry_after_s: float | None = None


class Load:
    """Runs one load; use it once."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._client = HttpClient()
        self._source = Random(f"{settings.seed}/entries/{settings.shard}")
        self._result = LoadResult()
        self._start_s = 0.0
        self._in_flight = 0

    async def run(self) -> LoadResult:
        """Send all arrivals and return after the last response."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._start_s = loop.time()
        source = Random(settings.seed)
        found = arrivals(settings.deployment, source, settings.duration_s, settings.surges)
        async with asyncio.TaskGroup() as group:
            for arrival in found:
                if arrival.number % settings.shards != settings.shard:
                    continue
                due_s = self._start_s + arrival.at_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                self._result.lateness.record(loop.time() - due_s)
                group.create_task(self._request(arrival))
        await self._client.close()
        return self._result

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self._start_s

    async def _request(self, arrival: Arrival) -> None:
        if self._in_flight >= MAX_IN_FLIGHT:
            self._record(arrival, Verdict(0, reason=FAILED_AT_CALLER), 0)
            return
        self._in_flight += 1
        try:
            verdict, attempts = await self._attempts(arrival)
        finally:
            self._in_flight -= 1
        self._record(arrival, verdict, attempts)

    async def _attempts(self, arrival: Arrival) -> tuple[Verdict, int]:
        attempts = 0
        while True:
            attempts += 1
            verdict = await self._attempt(arrival, attempts)
            pause_s = pause_before_retry(self._settings.retries, verdict, attempts)
            if pause_s is None:
                return verdict, attempts
            if self._now_s() + pause_s > arrival.at_s + arrival.route.deadline_ms / 1_000:
                return verdict, attempts
            await asyncio.sleep(pause_s)

    async def _attempt(self, arrival: Arrival, attempt: int) -> Verdict:
        request_id = self._request_id(arrival)
        route = arrival.route
        response = await self._client.request(
            self._source.choice(self._settings.entries),
            route.method,
            route.path(request_id),
            self._headers(arrival, request_id),
            timeout_s=route.deadline_ms / 1_000 + 1.0,
        )
        if isinstance(response, HttpFailure):
            return Verdict(0, reason=response.reason.value)
        repeat = attempt > 1 and not route.idempotent
        return judge(response, request_id, route.target_path(request_id), repeat)

    def _headers(self, arrival: Arrival, request_id: str) -> Headers:
        key = self._settings.keys_by_organisation[arrival.organisation]
        headers = [
            (b"authorization", b"Bearer " + key.encode()),
            (REQUEST_HEADER, request_id.encode()),
            (ORGANISATION_HEADER, arrival.organisation.encode()),
        ]
        if not arrival.route.idempotent:
            headers.append((b"idempotency-key", request_id.encode()))
        return headers

    def _request_id(self, arrival: Arrival) -> str:
        return f"{self._settings.run_id}-{arrival.number}"

    def _record(self, arrival: Arrival, verdict: Verdict, attempts: int) -> None:
        self._result.records.append(
            RequestRecord(
                request_id=self._request_id(arrival),
                organisation=arrival.organisation,
                route=arrival.route.name,
                scheduled_s=arrival.at_s,
                finished_s=self._now_s(),
                status=verdict.status,
                outcome=verdict.outcome,
                reason=verdict.reason,
                wrong=verdict.wrong,
                attempts=attempts,
                deadline_s=arrival.route.deadline_ms / 1_000,
            )
        )


def judge(response: HttpResponse, request_id: str, path: str, repeat: bool = False) -> Verdict:
    """Compare a response with its request.

    A success must name the request and its path and must say that the call ran. A repeat of a
    non-idempotent request may carry the recorded outcome alone, without the body.
    """
    outcome = (response.header(b"pollenglade-outcome") or b"").decode("latin-1")
    reason = (response.header(b"pollenglade-reason") or b"").decode("latin-1")
    wrong = False
    if 200 <= response.status < 300:
        try:
            document = response.json()
        except ValueError:
            document = None
        named = isinstance(document, dict) and "request" in document
        matches = isinstance(document, dict) and (
            (document.get("request"), document.get("path")) == (request_id, path)
        )
        wrong = outcome != "ran" or not (matches or (repeat and not named))
    return Verdict(response.status, outcome, reason, wrong, retry_after_s(response))


def retry_after_s(response: HttpResponse) -> float | None:
    """Return the delay that a response asks for, in seconds."""
    try:
        return max(0.0, float(response.header(b"retry-after") or b""))
    except ValueError:
        return None


def pause_before_retry(style: RetryStyle, verdict: Verdict, attempts: int) -> float | None:
    """Return the pause before the next attempt; None where there is none."""
    if 200 <= verdict.status < 300 or style is RetryStyle.NONE:
        return None
    if style is RetryStyle.HARD:
        return HARD_PAUSE_S if attempts < HARD_ATTEMPTS else None
    if attempts >= POLITE_ATTEMPTS or verdict.retry_after_s is None:
        # Without Retry-After a repeat cannot succeed.
        return None
    return verdict.retry_after_s
