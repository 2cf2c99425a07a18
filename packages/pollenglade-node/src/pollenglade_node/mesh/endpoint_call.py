"""One call at the local endpoint, from the queue to the end of the response."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.dispatch.tree_cost import UsageByService
from pollenglade_core.dispatch.tree_cost import add_usage
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.body_buffer import ReservedBodyBuffer
from pollenglade_net.client_connection import ClientConnection
from pollenglade_net.http_message import FailureReason
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.link_message import Feedback
from pollenglade_net.memory_budget import MemoryBudget

from ..serving.relay_window import RelayWindow
from .header_names import HeaderNames
from .load_report import pack_load
from .response_check import check_response
from .stage import Stage

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""Responses up to this size are buffered until complete, so that the request can be retried if the
response is not."""

ENDED_REQUEST = HttpRequest("", b"", [])
"""Replaces a request that has ended, whose body would take memory until a garbage collection."""

DEADLINE_GRACE_S = 0.3
"""Time in seconds past the deadline in which the endpoint can still respond itself; a response
keeps the connection reusable."""


class EndpointCallOwner(Protocol):
    """Interface of the serving role that a call uses."""

    @property
    def names(self) -> HeaderNames:
        """Names of header fields."""

    @property
    def endpoint(self) -> EndpointIdentity:
        """Identity of the local endpoint."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """Bound on the memory for responses that are held until they are complete."""

    def load(self) -> EndpointLoad:
        """Return the load of the endpoint."""

    @property
    def is_endpoint_leaving(self) -> bool:
        """Whether the endpoint is shutting down."""

    def connect(self, call: EndpointCall) -> None:
        """Open a connection for a started call and send the call on it."""

    def on_sent(self, call: EndpointCall) -> None:
        """Count a request that is sent to the endpoint."""

    def on_response_head(self, call: EndpointCall, status: int, headers: Headers) -> None:
        """Handle the status and the header fields of a response."""

    def record_result(self, failed: bool) -> None:
        """Record whether the endpoint itself failed a request."""

    def on_ended(self, call: EndpointCall, completed: bool) -> None:
        """Release the slot and the records of a call that ended.

        `completed` is True if the endpoint sent a whole response that is forwarded or states that
        the request did not run. If it is False, a run that had started was aborted: its open nested
        requests are cancelled and later ones are refused, its time does not count for the expected
        seconds, and it clears no crash.
        """

    def on_connection_broken(self, call: EndpointCall, refusal: Refusal) -> None:
        """Probe the endpoint for a crash, then fail the call with the refusal."""

    def on_failed(self, call: EndpointCall, refusal: Refusal) -> None:
        """Handle a call that ends without a response."""

    def on_wrong_endpoint(self) -> None:
        """Handle a response that shows another endpoint at the address."""

    def on_cancelled(self, call: EndpointCall) -> None:
        """Handle a call that the entry node cancels."""


class NestedCall(Protocol):
    """Interface of a request that the run of a call made."""

    def on_parent_aborted(self) -> None:
        """Cancel the request, because the run that made it was aborted."""


class EndpointCall:
    """Relays one call to the endpoint.

    Acts as the sink of the HTTP response and as the attempt that the entry node controls.
    """

    def __init__(
        self,
        owner: EndpointCallOwner,
        context: CallContext,
        request: HttpRequest,
        sink: AttemptSink,
        request_id: bytes,
    ) -> None:
        self._owner = owner
        self.context = context
        self.request_id = request_id
        self._request = request
        self._sink: AttemptSink | None = sink
        self._connection: ClientConnection | None = None
        self._queued_at = monotonic()
        self._started_at: float | None = None
        self.endpoint = owner.endpoint
        self.sent_at = 0.0
        self._status = 0
        self._headers: Headers = []
        self._body = ReservedBodyBuffer(owner.memory_budget, MAX_BUFFERED_RESPONSE_BYTES)
        self._streaming = False
        self._relay_window = RelayWindow()
        self._nested_usage: UsageByService = {}
        self.nested_failed = False
        self._open_nested: set[NestedCall] = set()
        self.is_rejected = False

    @property
    def is_open(self) -> bool:
        """Whether the entry node still waits for a result."""
        return self._sink is not None

    @property
    def is_started(self) -> bool:
        """Whether the call has left the queue."""
        return self._started_at is not None

    @property
    def stage(self) -> Stage:
        """How far the call has progressed."""
        if self._streaming:
            return Stage.STREAMING
        if self._connection is not None:
            return Stage.RUNNING
        return Stage.CONNECTING if self.is_started else Stage.QUEUED

    @property
    def age_s(self) -> float:
        """Time in seconds since the call arrived at this node."""
        return monotonic() - self._queued_at

    def start(self, connection: ClientConnection | None) -> None:
        """Send the call on the connection, or on a new one if it is None."""
        self._started_at = monotonic()
        if connection is None:
            self._owner.connect(self)
        else:
            self.send(connection)

    def send(self, connection: ClientConnection) -> None:
        """Send the request to the endpoint with the remaining time to its deadline."""
        self._connection = connection
        names = self._owner.names
        self.endpoint = self._owner.endpoint
        self.sent_at = monotonic()
        remaining_s = max(0.001, self.context.remaining_s(self.sent_at))
        headers = [
            *self._request.headers,
            (names.expected_endpoint, self.endpoint.endpoint_id.encode()),
            (names.deadline_ms, b"%d" % max(1, int(remaining_s * 1000))),
        ]
        connection.send(
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            self,
            remaining_s + DEADLINE_GRACE_S,
            fields_validated=True,
            tag_field=names.request_id,
            tag=self.request_id,
        )
        self._owner.on_sent(self)

    def on_head(self, status: int, headers: Headers) -> None:
        """Store the status and the headers of the response."""
        self._status = status
        self._headers = headers
        id_field = self._owner.names.request_id
        if self._connection is not None and not any(name == id_field for name, _ in headers):
            self._connection.retire()
        self._owner.on_response_head(self, status, headers)

    def on_data(self, data: bytes) -> None:
        """Buffer a part of the body, or relay it if the body is large or memory is short."""
        if not self._streaming:
            if not self._body.try_append(data):
                self._start_streaming()
            return
        self._relay(data)

    def _start_streaming(self) -> None:
        refusal = check_response(self._owner.names, self.request_id, self._status, self._headers)
        if refusal is not None or self._sink is None:
            self._stop_reading(refusal)
            return
        self._streaming = True
        self._sink.on_head(self._status, end_to_end_headers(self._headers))
        self._relay(self._body.take())

    def _stop_reading(self, refusal: Refusal | None) -> None:
        """End a response that is not forwarded and may have no end; close its connection."""
        self._body.clear()
        if self._connection is not None:
            self._connection.cancel(self)
        if refusal is None:
            self._owner.on_ended(self, completed=False)
            return
        self._owner.record_result(failed=not self.nested_failed)
        self._fail(refusal)

    def _relay(self, data: bytes) -> None:
        self._relay_window.on_sent(len(data), self._connection)
        if self._sink is not None:
            self._sink.on_data(data)

    def credit(self, credit_bytes: int) -> None:
        """Allow `credit_bytes` further bytes of a streamed body."""
        self._relay_window.credit(credit_bytes, self._connection)

    def on_end(self) -> None:
        """Handle the end of a complete response."""
        if self._sink is None:
            # The entry node no longer waits, but the slot was occupied until now.
            self._owner.on_ended(self, completed=True)
            return
        if self._streaming:
            sink, self._sink = self._sink, None
            sink.on_end(self._end(completed=True))
            return
        refusal = check_response(self._owner.names, self.request_id, self._status, self._headers)
        failed = refusal is not None or self._status >= 500
        self._owner.record_result(failed and not self.nested_failed)
        if refusal is not None:
            if self._status == 421:
                self._owner.on_wrong_endpoint()
            self.is_rejected = refusal.outcome is Outcome.NOT_RUN
            self._fail(refusal, completed=self.is_rejected)
            return
        sink, self._sink = self._sink, None
        body = self._body.take()
        feedback = self._end(completed=True)
        sink.on_response(self._status, end_to_end_headers(self._headers), body, feedback)

    def on_failure(self, failure: HttpFailure) -> None:
        """Handle a response that is missing or incomplete."""
        if self._sink is None:
            self._owner.on_ended(self, completed=False)
            return
        if failure.reason is FailureReason.TIMEOUT:
            self._fail(Refusal(Reason.TIMEOUT, Outcome.UNKNOWN, None, failure.detail))
        elif failure.sent:
            refusal = Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, failure.detail)
            self._owner.record_result(failed=True)
            self._owner.on_connection_broken(self, refusal)
        else:
            self.fail(Refusal(Reason.NO_TARGET, Outcome.NOT_RUN, None, failure.detail))

    def fail(self, refusal: Refusal) -> None:
        """End the call without a response."""
        self._fail(refusal)

    def _fail(self, refusal: Refusal, completed: bool = False) -> None:
        sink, self._sink = self._sink, None
        feedback = self._end(completed)
        if sink is None:
            return
        self._owner.on_failed(self, refusal)
        if self._streaming:
            sink.on_failure(refusal, feedback)
        else:
            sink.on_refusal(refusal, feedback)

    def begin_nested(self, nested: NestedCall) -> None:
        """Register a request that the run of this call makes."""
        self._open_nested.add(nested)

    def end_nested(self, nested: NestedCall, usage: UsageByService, failed: bool) -> None:
        """Record the end and the usage of a request that the run of this call made."""
        self._open_nested.discard(nested)
        self._nested_usage = add_usage(self._nested_usage, usage)
        self.nested_failed = self.nested_failed or failed

    def cancel(self) -> None:
        """Cancel the call; a connection on which it is sent is closed."""
        if self._sink is None:
            return
        self._sink = None
        self._owner.on_cancelled(self)
        if self._connection is not None:
            self._connection.cancel(self)
        self._end(completed=False)

    def withdraw(self) -> bool:
        """Cancel the call if it waits in the queue or for a connection; return whether it did."""
        if self._sink is None or self._connection is not None:
            return False
        self.cancel()
        return True

    def _end(self, completed: bool) -> Feedback:
        # A call may stay until a garbage collection, what it has received must not.
        self._request = ENDED_REQUEST
        self._body.clear()
        started_at = self._started_at
        target_s = 0.0 if started_at is None else monotonic() - started_at
        usage = self._nested_usage
        if started_at is not None:
            wait_s = started_at - self._queued_at
            usage = add_usage(usage, {self.context.service: Usage(1.0, target_s, wait_s)})
        self._owner.on_ended(self, completed)
        feedback = Feedback(
            # With 0, the entry node does not retry an error response of this endpoint: a nested
            # request has failed, and not the endpoint itself.
            unused_retries=0 if self.nested_failed else self.context.allowance.remaining,
            target_s=target_s,
            usage=tuple(
                (name, item.calls, item.slot_s, round(item.wait_s, 6))
                for name, item in usage.items()
            ),
            load_report=pack_load(self._owner.load(), self._owner.is_endpoint_leaving),
        )
        if not completed:
            for nested in list(self._open_nested):
                nested.on_parent_aborted()
        return feedback
