"""Open-loop load generator: sends requests to nodes and checks every response."""

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
from .arrivals import poisson_arrivals
from .measures import LatencyHistogram
from .records import ORGANISATION_HEADER
from .records import REQUEST_HEADER
from .records import RequestRecord
from .workload import Deployment

MAX_HARD_ATTEMPTS = 10
HARD_RETRY_DELAY_S = 0.01
MAX_POLITE_ATTEMPTS = 4
MAX_IN_FLIGHT = 4_000
"""Number of requests in flight at which a new request fails without being sent.

An open loop does not bound them, but the file descriptors of the machine are limited.
"""

CALLER_LIMIT_REASON = "caller-limit"
"""Reason in the record of a request that was not sent because of `MAX_IN_FLIGHT`."""


class RetryStyle(StrEnum):
    """How a caller retries a request that failed.

    `polite` waits for the time in Retry-After, `hard` retries at once and often.
    """

    NONE = "none"
    POLITE = "polite"
    HARD = "hard"


@dataclass(frozen=True)
class LoadSettings:
    """Settings of one load.

    `shards` processes share the same arrivals; this one sends those of index `shard`. `entries` are
    caller addresses of nodes; each request goes to a random one.
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
    """Records of all requests, and how late the load generator sent them."""

    records: list[RequestRecord] = field(default_factory=list)
    lateness: LatencyHistogram = field(default_factory=LatencyHistogram)


@dataclass(frozen=True)
class AttemptResult:
    """Result of one attempt.

    `status` is 0 without a response. `wrong` means that the response does not match its request.
    """

    status: int
    outcome: str = ""
    reason: str = ""
    wrong: bool = False
    retry_after_s: float | None = None


class LoadGenerator:
    """Generates one load; an instance runs once."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._client = HttpClient()
        self._random = Random(f"{settings.seed}/entries/{settings.shard}")
        self._result = LoadResult()
        self._start_s = 0.0
        self._in_flight = 0

    async def run(self) -> LoadResult:
        """Send a request for each arrival of this shard and return after the last response."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._start_s = loop.time()
        random = Random(settings.seed)
        arrivals = poisson_arrivals(
            settings.deployment, random, settings.duration_s, settings.surges
        )
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                if arrival.number % settings.shards != settings.shard:
                    continue
                due_s = self._start_s + arrival.at_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                self._result.lateness.record(loop.time() - due_s)
                group.create_task(self._handle_arrival(arrival))
        await self._client.close()
        return self._result

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self._start_s

    async def _handle_arrival(self, arrival: Arrival) -> None:
        if self._in_flight >= MAX_IN_FLIGHT:
            self._record(arrival, AttemptResult(0, reason=CALLER_LIMIT_REASON), 0)
            return
        self._in_flight += 1
        try:
            result, attempts = await self._send_with_retries(arrival)
        finally:
            self._in_flight -= 1
        self._record(arrival, result, attempts)

    async def _send_with_retries(self, arrival: Arrival) -> tuple[AttemptResult, int]:
        attempts = 0
        while True:
            attempts += 1
            result = await self._send_once(arrival, attempts)
            delay_s = retry_delay_s(self._settings.retries, result, attempts)
            if delay_s is None:
                return result, attempts
            if self._now_s() + delay_s > arrival.at_s + arrival.route.deadline_ms / 1_000:
                return result, attempts
            await asyncio.sleep(delay_s)

    async def _send_once(self, arrival: Arrival, attempt: int) -> AttemptResult:
        request_id = self._request_id(arrival)
        route = arrival.route
        response = await self._client.request(
            self._random.choice(self._settings.entries),
            route.method,
            route.path(request_id),
            self._headers(arrival, request_id),
            timeout_s=route.deadline_ms / 1_000 + 1.0,
        )
        if isinstance(response, HttpFailure):
            return AttemptResult(0, reason=response.reason.value)
        is_repeat = attempt > 1 and not route.idempotent
        return check_response(response, request_id, route.target_path(request_id), is_repeat)

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

    def _record(self, arrival: Arrival, result: AttemptResult, attempts: int) -> None:
        self._result.records.append(
            RequestRecord(
                request_id=self._request_id(arrival),
                organisation=arrival.organisation,
                route=arrival.route.name,
                scheduled_s=arrival.at_s,
                finished_s=self._now_s(),
                status=result.status,
                outcome=result.outcome,
                reason=result.reason,
                wrong=result.wrong,
                attempts=attempts,
                deadline_s=arrival.route.deadline_ms / 1_000,
            )
        )


def check_response(
    response: HttpResponse, request_id: str, path: str, is_repeat: bool = False
) -> AttemptResult:
    """Check that a response belongs to its request and is consistent.

    A success must name the request and its path and must have the outcome `ran`. The response to a
    repeat of a non-idempotent request may have the recorded outcome without the body.
    """
    outcome = (response.header(b"pollenglade-outcome") or b"").decode("latin-1")
    reason = (response.header(b"pollenglade-reason") or b"").decode("latin-1")
    wrong = False
    if 200 <= response.status < 300:
        try:
            document = response.json()
        except ValueError:
            document = None
        names_request = isinstance(document, dict) and "request" in document
        matches = isinstance(document, dict) and (
            (document.get("request"), document.get("path")) == (request_id, path)
        )
        wrong = outcome != "ran" or not (matches or (is_repeat and not names_request))
    return AttemptResult(response.status, outcome, reason, wrong, retry_after_s(response))


def retry_after_s(response: HttpResponse) -> float | None:
    """Return the Retry-After of a response in seconds; None without a valid header."""
    try:
        return max(0.0, float(response.header(b"retry-after") or b""))
    except ValueError:
        return None


def retry_delay_s(style: RetryStyle, result: AttemptResult, attempts: int) -> float | None:
    """Return the delay before the next attempt in seconds; None without a next attempt."""
    if 200 <= result.status < 300 or style is RetryStyle.NONE:
        return None
    if style is RetryStyle.HARD:
        return HARD_RETRY_DELAY_S if attempts < MAX_HARD_ATTEMPTS else None
    if attempts >= MAX_POLITE_ATTEMPTS or result.retry_after_s is None:
        # Without Retry-After a retry cannot succeed.
        return None
    return result.retry_after_s
