"""One request at the endpoint of this host, from the queue to the end of the response."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.dispatch.tree_cost import UsageByService
from pollenglade_core.dispatch.tree_cost import add_usage
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.client_connection import ClientConnection
from pollenglade_net.http_message import FailureReason
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.link_message import Feedback

from ..serving.relay_window import RelayWindow
from .header_names import HeaderNames
from .response_check import check_response
from .stage import Stage

WHOLE_RESPONSE_BYTES = 256 * 1024
"""A response up to this size is held until it is whole, so that a broken one can be repeated."""

DEADLINE_GRACE_S = 0.3
"""Time in seconds past the deadline in which the endpoint may answer by itself, which keeps the
connection usable."""


class EndpointCallOwner(Protocol):
    """The serving role as seen from one call."""

    @property
    def names(self) -> HeaderNames:
        """Names of header fields."""

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint beside this node."""

    def load(self) -> tuple[float, ...]:
        """Return running, waiting, limit, expected seconds and failure rate."""

    def connect(self, call: EndpointCall) -> None:
        """Open a connection for a call that was started."""

    def note_result(self, failed: bool) -> None:
        """Learn whether the endpoint itself failed a request."""

    def on_ended(self, call: EndpointCall, completed: bool) -> None:
        """Free what a call holds."""

    def on_broken(self, call: EndpointCall, refusal: Refusal) -> None:
        """Find out whether the endpoint crashed, then fail the call."""

    def on_refused(self, call: EndpointCall, refusal: Refusal) -> None:
        """Take a call that ends without a response."""

    def on_wrong_endpoint(self) -> None:
        """Take the notice that another endpoint has the address."""

    def on_cancelled(self, call: EndpointCall) -> None:
        """Take a call that the entry node gives up."""


class NestedCall(Protocol):
    """A request that the run of a call has made."""

    def abandon(self) -> None:
        """Give the request up, because nobody waits for the run that made it."""


class EndpointCall:
    """Relays one call to the endpoint; sink of its response and attempt for the entry node."""

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
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self._streaming = False
        self._window = RelayWindow()
        self._nested_usage: UsageByService = {}
        self.nested_failed = False
        self._open_nested: set[NestedCall] = set()

    @property
    def is_open(self) -> bool:
        """Whether the entry node waits for a result."""
        return self._sink is not None

    @property
    def is_started(self) -> bool:
        """Whether the call left the queue."""
        return self._started_at is not None

    @property
    def stage(self) -> Stage:
        """What holds the work of this call at the moment."""
        if self._streaming:
            return Stage.STREAMING
        if self._connection is not None:
            return Stage.RUNNING
        return Stage.CONNECTING if self.is_started else Stage.QUEUED

    @property
    def age_s(self) -> float:
        """Time in seconds since the call came to this node."""
        return monotonic() - self._queued_at

    def start(self, connection: ClientConnection | None) -> None:
        """Send the call, on a connection that is still to be opened where there is none."""
        self._started_at = monotonic()
        if connection is None:
            self._owner.connect(self)
        else:
            self.send(connection)

    def send(self, connection: ClientConnection) -> None:
        """Send the request to the endpoint."""
        self._connection = connection
        names = self._owner.names
        remaining_s = max(0.001, self.context.remaining_s(monotonic()))
        headers = [
            *self._request.headers,
            (names.expected_endpoint, self._owner.endpoint_id.encode()),
            (names.deadline_ms, b"%d" % max(1, int(remaining_s * 1000))),
        ]
        connection.send(
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            self,
            remaining_s + DEADLINE_GRACE_S,
            validated=True,
            tag_field=names.request_id,
            tag=self.request_id,
        )

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the head of the response."""
        self._status = status
        self._headers = headers

    def on_data(self, data: bytes) -> None:
        """Take a part of the body; a large body is passed on before it is whole."""
        if not self._streaming:
            self._parts.append(data)
            self._held_bytes += len(data)
            if self._held_bytes > WHOLE_RESPONSE_BYTES:
                self._start_streaming()
            return
        self._relay(data)

    def _start_streaming(self) -> None:
        fault = check_response(self._owner.names, self.request_id, self._status, self._headers)
        if fault is not None or self._sink is None:
            return
        self._streaming = True
        self._sink.on_head(self._status, end_to_end_headers(self._headers))
        parts, self._parts = self._parts, []
        for part in parts:
            self._relay(part)

    def _relay(self, data: bytes) -> None:
        self._window.sent(len(data), self._connection)
        if self._sink is not None:
            self._sink.on_data(data)

    def credit(self, count: int) -> None:
        """Allow `count` further bytes of a streamed body."""
        self._window.credit(count, self._connection)

    def on_end(self) -> None:
        """Take the end of a whole response."""
        if self._sink is None:
            # The entry node does not wait any more; the slot is free only now.
            self._owner.on_ended(self, completed=True)
            return
        if self._streaming:
            sink, self._sink = self._sink, None
            sink.on_end(self._end(completed=True))
            return
        refusal = check_response(self._owner.names, self.request_id, self._status, self._headers)
        failed = refusal is not None or self._status >= 500
        self._owner.note_result(failed and not self.nested_failed)
        if refusal is not None:
            if self._status == 421:
                self._owner.on_wrong_endpoint()
            self._fail(refusal, completed=refusal.outcome is Outcome.NOT_RUN)
            return
        sink, self._sink = self._sink, None
        feedback = self._end(completed=True)
        sink.on_response(
            self._status, end_to_end_headers(self._headers), b"".join(self._parts), feedback
        )

    def on_failure(self, failure: HttpFailure) -> None:
        """Take the reason why there is no whole response."""
        if self._sink is None:
            self._owner.on_ended(self, completed=False)
            return
        if failure.reason is FailureReason.TIMEOUT:
            self._fail(Refusal(Reason.TIMEOUT, Outcome.UNKNOWN, None, failure.detail))
        elif failure.sent:
            refusal = Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, failure.detail)
            self._owner.note_result(failed=True)
            self._owner.on_broken(self, refusal)
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
        self._owner.on_refused(self, refusal)
        if self._streaming:
            sink.on_failure(refusal, feedback)
        else:
            sink.on_refusal(refusal, feedback)

    def begin_nested(self, nested: NestedCall) -> None:
        """Take a call that the run of this call makes."""
        self._open_nested.add(nested)

    def end_nested(self, nested: NestedCall, usage: UsageByService, failed: bool) -> None:
        """Take the end and the usage of a call that the run of this call made."""
        self._open_nested.discard(nested)
        self._nested_usage = add_usage(self._nested_usage, usage)
        self.nested_failed = self.nested_failed or failed

    def cancel(self) -> None:
        """Give the call up; the endpoint sees its connection close."""
        if self._sink is None:
            return
        self._sink = None
        self._owner.on_cancelled(self)
        if self._connection is not None:
            self._connection.cancel(self)
        self._end(completed=False)

    def _end(self, completed: bool) -> Feedback:
        started_at = self._started_at
        target_s = 0.0 if started_at is None else monotonic() - started_at
        usage = self._nested_usage
        if started_at is not None:
            wait_s = started_at - self._queued_at
            usage = add_usage(usage, {self.context.service: Usage(1.0, target_s, wait_s)})
        self._owner.on_ended(self, completed)
        feedback = Feedback(
            unspent=0 if self.nested_failed else self.context.allowance.remaining,
            target_s=target_s,
            usage=tuple(
                (name, item.calls, item.slot_s, round(item.wait_s, 6))
                for name, item in usage.items()
            ),
            load=self._owner.load(),
        )
        if not completed:
            for nested in list(self._open_nested):
                nested.abandon()
        return feedback
