"""The serving role: the queue, connections and state of the local endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from time import monotonic
from typing import Any

import structlog

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.randomness import RandomSource
from pollenglade_core.serving.endpoint_queue import EndpointQueue
from pollenglade_core.serving.endpoint_queue import QueueAction
from pollenglade_core.serving.endpoint_queue import QueuedRequest
from pollenglade_core.serving.endpoint_queue import StartRequest
from pollenglade_core.serving.endpoint_record import MAX_SLOTS
from pollenglade_core.serving.endpoint_record import EndpointRecord
from pollenglade_core.serving.endpoint_record import EndpointReport
from pollenglade_core.serving.endpoint_record import LocalEndpointState
from pollenglade_core.serving.endpoint_record import ReportResult
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_core.serving.warm_up import WarmUpRules
from pollenglade_net.address import Address
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.client_connection import MAX_IDLE_S
from pollenglade_net.connection_pool import NON_RETRYABLE_MAX_IDLE_S
from pollenglade_net.connection_pool import ConnectionPool
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.memory_budget import MemoryBudget

from .endpoint_call import EndpointCall
from .header_names import HeaderNames
from .recent_ids import RecentIds
from .request_log import RequestLog
from .response_check import WRONG_ENDPOINT_STATUS
from .silence_check import SilenceCheck
from .statement_fields import read_slots
from .statement_fields import read_statement

EXPIRY_INTERVAL_S = 0.02
"""Time in seconds between checks of the queue for requests that cannot finish by their deadline."""

MAX_ABORTED_REQUEST_IDS = 1024
"""Ids of requests with aborted runs that are kept; they cover a few seconds at one endpoint."""

CONNECT_TIMEOUT_S = 1.0
"""Time limit in seconds for opening a connection to the endpoint on the same host."""

PROBE_TIMEOUT_S = 0.5
"""Time limit in seconds for a crash probe or a health request to the endpoint on the same host."""

MAX_HEALTH_RESPONSE_BYTES = 64 * 1024
"""Size above which the body of a response to a health request is not read."""

LIMIT_CHECK_INTERVAL_S = 2.5
"""Time in seconds without a response after which the health path of an endpoint with a rate limit
is queried. A limit may be so low that no request is sent whose response could lift it."""

log = structlog.get_logger()


class EndpointServing:
    """Runs calls from all nodes at the local endpoint.

    `on_endpoint_changed` is called after a change of the endpoint's state, `on_crash` with the
    notices that result from crashes during calls.
    """

    def __init__(
        self,
        crash_id_prefix: str,
        service: str,
        address: Address,
        names: HeaderNames,
        crash_ledger: CrashLedger,
        random_source: RandomSource,
        request_log: RequestLog,
        memory_budget: MemoryBudget,
    ) -> None:
        self._crash_id_prefix = crash_id_prefix
        self._service = service
        self._address = address
        self._names = names
        self._crash_ledger = crash_ledger
        self._random_source = random_source
        self._request_log = request_log
        self.memory_budget = memory_budget
        self._loop = asyncio.get_running_loop()
        self._queue = EndpointQueue(1)
        self._call_by_id: dict[str, EndpointCall] = {}
        self._running_by_request_id: dict[bytes, EndpointCall] = {}
        self._aborted_request_ids = RecentIds(MAX_ABORTED_REQUEST_IDS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._probe_task: asyncio.Task[bool] | None = None
        self._limit_check = SilenceCheck(LIMIT_CHECK_INTERVAL_S, self._check_limit)
        self._warm_up_timer: asyncio.TimerHandle | None = None
        self._health_path = ""
        self._crash_count = 0
        self.sent_count = 0
        self.declined_count = 0
        self.pool = ConnectionPool(max_idle=512)
        # Responses to health checks name no request, so they must not share connections with any.
        self._health_client = HttpClient()
        self.record = EndpointRecord(service)
        self.is_draining = False
        self.is_zone_evacuated = False
        self.awaits_departure = False
        self.on_endpoint_changed: Callable[[], None] = lambda: None
        self.on_crash: Callable[[list[CrashNotice]], None] = lambda notices: None

    @property
    def names(self) -> HeaderNames:
        """Names of header fields."""
        return self._names

    @property
    def endpoint(self) -> EndpointIdentity:
        """Identity of the local endpoint."""
        return self.record.identity

    @property
    def is_available(self) -> bool:
        """Whether the local endpoint is ready, and neither drained nor in an evacuated zone.

        A restarted node does not use it until it knows of departures. Other nodes receive it as
        `NodeState.ready`.
        """
        is_barred = self.is_draining or self.is_zone_evacuated or self.awaits_departure
        return self.record.is_ready and not is_barred

    @property
    def is_busy(self) -> bool:
        """Whether calls are queued or running."""
        return bool(self._call_by_id)

    @property
    def is_endpoint_leaving(self) -> bool:
        """Whether the local endpoint is shutting down."""
        return self.record.state is LocalEndpointState.DRAINING

    def load(self) -> EndpointLoad:
        """Return the load of the local endpoint.

        Its limit is 95 % of the endpoint's slots and does not adapt to the load. The expected
        seconds are a moving average of the time that a request takes at the endpoint, without its
        time in the queue.
        """
        queue, now = self._queue, monotonic()
        queue.update_pace(now)
        return EndpointLoad(
            queue.running,
            queue.waiting,
            queue.limit,
            round(queue.expected_s, 5),
            round(queue.failure_rate(now), 3),
            queue.rate_limit,
            None if queue.pace is None else round(queue.pace, 2),
        )

    def apply(self, report: EndpointReport) -> ReportResult:
        """Apply a heartbeat of the endpoint and return what it changed."""
        previous_state = self.record.state
        result = self.record.apply(report, monotonic())
        if result is ReportResult.STARTED:
            self._queue.await_first_response(monotonic())
            self._queue.set_pace(None, monotonic())
            log.info(
                "endpoint_started",
                endpoint=report.endpoint_id,
                slots=report.slots,
                incarnation=report.incarnation,
            )
        if result in (ReportResult.APPLIED, ReportResult.STARTED):
            self._on_record_changed(previous_state)
        return result

    def on_endpoint_leaving(self, endpoint_id: str) -> None:
        """Handle an endpoint's notice that it is shutting down."""
        previous_state = self.record.state
        if self.record.mark_leaving(endpoint_id, monotonic()):
            self._on_record_changed(previous_state)

    def restore_departure(self, endpoint: EndpointIdentity, age_s: float) -> bool:
        """Apply a departure known to the former process of this node; return whether it is new."""
        previous_state, now = self.record.state, monotonic()
        is_new = self.record.restore_departure(endpoint, now - age_s, now)
        self._on_record_changed(previous_state)
        return is_new

    def end_departure_wait(self) -> None:
        """Use the endpoint after the departures known to the former process were applied."""
        if self.awaits_departure:
            self.awaits_departure = False
            self.on_endpoint_changed()

    def _on_record_changed(self, previous_state: LocalEndpointState) -> None:
        now = monotonic()
        if self.record.slots > 0:
            self._apply_actions(self._queue.resize(self.record.slots, now))
        rate_limit = self.record.effective_rate_limit(now)
        has_new_limit = rate_limit != self._queue.rate_limit
        if has_new_limit:
            log.info(
                "endpoint_rate_limit",
                endpoint=self.record.endpoint_id,
                incarnation=self.record.identity.incarnation,
                per_s=rate_limit,
                before=self._queue.rate_limit,
                warm_up_left_s=round(self.record.warm_up.remaining_s(now), 3),
                sent=self.sent_count,
            )
            self._apply_actions(self._queue.set_rate_limit(rate_limit, now))
            if self.record.rate_limit is None:
                self._limit_check.close()
            else:
                self._limit_check.start()
        has_new_state = self.record.state is not previous_state
        if has_new_state:
            log.info(
                "endpoint_state",
                endpoint=self.record.endpoint_id,
                state=self.record.state.value,
            )
            if not self.record.is_ready:
                self._apply_actions(self._queue.drain(Reason.DRAINING))
        if has_new_limit or has_new_state:
            self.on_endpoint_changed()
        self._schedule_end_of_warm_up(now)

    def _schedule_end_of_warm_up(self, now: float) -> None:
        if self._warm_up_timer is not None:
            self._warm_up_timer.cancel()
            self._warm_up_timer = None
        remaining_s = self.record.warm_up.remaining_s(now)
        if remaining_s > 0.0:
            self._warm_up_timer = self._loop.call_later(remaining_s, self._on_warm_up_due)

    def _on_warm_up_due(self) -> None:
        self._warm_up_timer = None
        self._on_record_changed(self.record.state)

    def set_warm_up_rules(self, rules: WarmUpRules) -> None:
        """Set what the local endpoint takes while it is cold."""
        if rules != self.record.warm_up.rules:
            self.record.warm_up.rules = rules
            self._on_record_changed(self.record.state)

    def presume_endpoint_cold(self) -> None:
        """Treat the endpoint as cold after an event that may have made it so, and ask it."""
        self.record.warm_up.presume_cold(monotonic())
        self._on_record_changed(self.record.state)
        if self.record.warm_up.rules.per_s > 0.0:
            self._check_limit()

    def _check_limit(self) -> None:
        if self.record.is_ready and self._health_path:
            self._spawn(self._query_limit())

    async def _query_limit(self) -> None:
        endpoint, sent_at = self.record.identity, monotonic()
        response = await self._query_health()
        if isinstance(response, HttpFailure):
            return
        if response.header(self._names.endpoint) != endpoint.endpoint_id.encode():
            return
        self._apply_statement(response.headers, endpoint, sent_at, health_check=True)

    async def _query_health(self) -> HttpResponse | HttpFailure:
        self._queue.on_health_check(monotonic())
        self.sent_count += 1
        return await self._health_client.request(
            self._address,
            "GET",
            self._health_path,
            timeout_s=PROBE_TIMEOUT_S,
            limit_bytes=MAX_HEALTH_RESPONSE_BYTES,
        )

    async def discover_endpoint(self, health_path: str) -> None:
        """Query the health path for the endpoint's id and slots.

        Does nothing if a heartbeat has arrived since the node started.
        """
        self._health_path = health_path
        if self.record.state is not LocalEndpointState.ABSENT:
            return
        sent_at = monotonic()
        response = await self._query_health()
        if isinstance(response, HttpFailure) or response.status != 200:
            return
        endpoint_id = (response.header(self._names.endpoint) or b"").decode("latin-1")
        slots = read_slots(self._names, response.headers)
        if not endpoint_id or not 1 <= slots <= MAX_SLOTS:
            return
        previous_state = self.record.state
        if self.record.apply_health_check(endpoint_id, str(self._address), slots, monotonic()):
            log.info("endpoint_found", endpoint=endpoint_id, slots=slots)
            self._queue.await_first_response(monotonic())
            self._on_record_changed(previous_state)
            self._apply_statement(
                response.headers, self.record.identity, sent_at, health_check=True
            )

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> EndpointCall:
        """Start, queue or refuse a call; the result goes to `sink`."""
        request_id = request.header(self._names.request_id) or b""
        call = EndpointCall(self, context, request, sink, request_id)
        refusal = self._refusal(context)
        if refusal is not None:
            call.fail(refusal)
            return call
        self._call_by_id[context.call_id] = call
        queued = QueuedRequest(
            context.call_id,
            context.nested,
            context.rank,
            context.deadline,
            context.objective_at,
            context.may_wait,
        )
        self._apply_actions(self._queue.offer(queued, monotonic()))
        return call

    def give_back_waiting(self) -> None:
        """Refuse the calls in the queue as not run, so that they are placed elsewhere."""
        self._apply_actions(self._queue.drain(Reason.DRAINING))

    def set_zone_evacuated(self, evacuated: bool) -> None:
        """Refuse new calls and reject waiting ones while the zone of this node is evacuated."""
        was_evacuated, self.is_zone_evacuated = self.is_zone_evacuated, evacuated
        if evacuated:
            self._apply_actions(self._queue.drain(Reason.NO_TARGET))
        elif was_evacuated:
            # Endpoints may have become cold meanwhile, and the next heartbeat may be 1.5 s away.
            self.presume_endpoint_cold()

    def _refusal(self, context: CallContext) -> Refusal | None:
        if self.is_zone_evacuated:
            return Refusal(Reason.NO_TARGET, Outcome.NOT_RUN, None, "the zone is evacuated")
        if not self.is_available or context.service != self._service:
            reason = Reason.DRAINING if self.is_draining else Reason.NO_TARGET
            return Refusal(reason, Outcome.NOT_RUN, None, self.record.state.value)
        if context.call_id in self._call_by_id:
            return Refusal(Reason.BAD_REQUEST, Outcome.NOT_RUN, None, "the call id is in use")
        return self._crash_ledger.check(context, monotonic(), self._random_source)

    def _apply_actions(self, actions: Iterable[QueueAction]) -> None:
        for action in actions:
            call = self._call_by_id.get(action.request_id)
            if call is None:
                continue
            if isinstance(action, StartRequest):
                self._start(call)
            else:
                call.fail(Refusal(action.reason, Outcome.NOT_RUN, None))
        if self._queue.waiting and self._expiry_timer is None:
            self._expiry_timer = self._loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        self._apply_actions(self._queue.expire(monotonic()))

    def _start(self, call: EndpointCall) -> None:
        self._running_by_request_id[call.request_id] = call
        self._crash_ledger.on_call_started(call.context, str(self._address))
        # A long-idle connection may be dead without notice, so only idempotent calls use one.
        max_idle_s = MAX_IDLE_S if call.context.idempotent else NON_RETRYABLE_MAX_IDLE_S
        call.start(self.pool.acquire(self._address, max_idle_s, call.request_id))

    def running_call(self, request_id: bytes) -> EndpointCall | None:
        """Return the call with this request id that runs at the endpoint, or None."""
        return self._running_by_request_id.get(request_id)

    def is_run_aborted(self, request_id: bytes) -> bool:
        """Whether a run of the request was aborted here and no other run of it is active."""
        return (
            request_id in self._aborted_request_ids
            and request_id not in self._running_by_request_id
        )

    def connect(self, call: EndpointCall) -> None:
        """Open a connection for a started call in the background and send the call on it."""
        self._spawn(self._connect(call))

    async def _connect(self, call: EndpointCall) -> None:
        connection = await self.pool.connect(self._address, CONNECT_TIMEOUT_S)
        if isinstance(connection, HttpFailure):
            self._mark_down(connection.detail)
            if call.is_open:
                call.on_failure(connection)
            return
        if call.is_open:
            call.send(connection)
        else:
            self.pool.release(connection)

    def _mark_down(self, detail: str) -> None:
        previous_state = self.record.state
        self.record.mark_down()
        if previous_state is LocalEndpointState.READY:
            log.warning("endpoint_down", endpoint=self.record.endpoint_id, detail=detail)
        self._on_record_changed(previous_state)

    def on_ended(self, call: EndpointCall, completed: bool) -> None:
        """Free the slot of a call and remove its records."""
        call_id = call.context.call_id
        if self._call_by_id.get(call_id) is not call:
            return
        del self._call_by_id[call_id]
        if self._running_by_request_id.get(call.request_id) is call:
            del self._running_by_request_id[call.request_id]
            if not completed:
                self._aborted_request_ids.add(call.request_id)
        now = monotonic()
        # A request that the endpoint rejected has not shown that it can run without a crash.
        has_run = completed and not call.is_rejected
        notices = self._crash_ledger.on_call_ended(call_id, now, has_run)
        if notices:
            self.on_crash(notices)
        if call.is_started and completed:
            self._apply_actions(self._queue.finish(call_id, now))
        else:
            self._apply_actions(self._queue.cancel(call_id, now))

    def on_sent(self, call: EndpointCall) -> None:
        """Count a request that is sent to the endpoint."""
        self.sent_count += 1

    def on_response_head(self, call: EndpointCall, status: int, headers: Headers) -> None:
        """Apply what the endpoint states about itself in a response to a call."""
        echoed_id = next((value for key, value in headers if key == self._names.request_id), None)
        if status == WRONG_ENDPOINT_STATUS or echoed_id != call.request_id:
            return
        now = monotonic()
        self._limit_check.on_response(now)
        self._apply_statement(headers, call.endpoint, call.sent_at)
        self._apply_actions(self._queue.on_response(now))

    def _apply_statement(
        self,
        headers: Headers,
        endpoint: EndpointIdentity,
        sent_at: float,
        health_check: bool = False,
    ) -> None:
        previous_state = self.record.state
        statement = read_statement(self._names, headers)
        self.record.apply_statement(statement, endpoint, sent_at, monotonic(), health_check)
        if statement.pace is not None and endpoint.endpoint_id == self.record.endpoint_id:
            self._queue.set_pace(statement.pace, monotonic())
        self._on_record_changed(previous_state)

    def record_result(self, failed: bool) -> None:
        """Record whether the endpoint itself failed a request."""
        self._queue.record_result(failed, monotonic())

    def on_failed(self, call: EndpointCall, refusal: Refusal) -> None:
        """Log a call that ended without a response, or count one that found no free slot."""
        if refusal.reason is Reason.NO_FREE_SLOT:
            self.declined_count += 1
            return
        self._request_log.on_attempt_failed(call, refusal, self.load())

    def on_cancelled(self, call: EndpointCall) -> None:
        """Log a call that the entry node cancelled."""
        self._request_log.on_attempt_cancelled(call)

    def on_wrong_endpoint(self) -> None:
        """Mark the endpoint down, because another endpoint responds at its address."""
        self._mark_down("another endpoint has the address")

    def on_connection_broken(self, call: EndpointCall, refusal: Refusal) -> None:
        """Fail a call whose connection broke, after a probe for a crash of the endpoint."""
        self._spawn(self._fail_after_probe(call, refusal))

    async def _fail_after_probe(self, call: EndpointCall, refusal: Refusal) -> None:
        if self._probe_task is None:
            self._probe_task = self._loop.create_task(self._probe_endpoint())
            self._probe_task.add_done_callback(lambda _: self._clear_probe_task())
        await asyncio.shield(self._probe_task)
        if call.is_open:
            call.fail(refusal)

    def _clear_probe_task(self) -> None:
        self._probe_task = None

    async def _probe_endpoint(self) -> bool:
        connection = await self.pool.connect(self._address, PROBE_TIMEOUT_S)
        if not isinstance(connection, HttpFailure):
            self.pool.release(connection)
            return True
        self._crash_count += 1
        notices = self._crash_ledger.on_target_crashed(
            str(self._address), f"{self._crash_id_prefix}/{self._crash_count}", monotonic()
        )
        if notices:
            self.on_crash(notices)
        self._mark_down(connection.detail)
        return False

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel pending calls and background tasks, and close the connections."""
        self._limit_check.close()
        if self._warm_up_timer is not None:
            self._warm_up_timer.cancel()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        for call in list(self._call_by_id.values()):
            call.cancel()
        for task in self._tasks:
            task.cancel()
        await self._health_client.close()
        await self.pool.close()
