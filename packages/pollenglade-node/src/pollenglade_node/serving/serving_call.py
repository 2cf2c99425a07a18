"""A call at its serving node, from admission to the end of the response of the target."""

from __future__ import annotations

from collections.abc import Coroutine
from time import monotonic
from typing import Any
from typing import Protocol

from pollenglade_core.admission.admission import AdmissionAction
from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import CallHandles
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.body_buffer import BodyBuffer
from pollenglade_net.client_connection import MAX_IDLE_S
from pollenglade_net.client_connection import ClientConnection
from pollenglade_net.connection_pool import NON_RETRYABLE_MAX_IDLE_S
from pollenglade_net.connection_pool import ConnectionPool
from pollenglade_net.http_message import FailureReason
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.link_message import Feedback

from .relay_window import RelayWindow
from .target import Target

MAX_SINGLE_MESSAGE_BYTES = 64 * 1024
"""Responses up to this size are relayed in one message."""

NOT_RUN_HEADER = b"pollenglade-not-run"


class CancellableCall(Protocol):
    """A nested call, cancelled when its parent call ends."""

    def cancel(self) -> None:
        """Cancel the nested call."""


class CallOwner(Protocol):
    """The part of the serving role that a call uses."""

    handles: CallHandles
    calls_by_handle: dict[str, ServingCall]
    pool: ConnectionPool
    ledger: CrashLedger

    def apply_actions(self, target: Target, actions: list[AdmissionAction]) -> None:
        """Carry out the actions of an admission and schedule its next expiry."""

    def feedback(
        self, target: Target | None, context: CallContext, target_s: float = 0.0
    ) -> Feedback:
        """Return the feedback that the entry node receives with the final message of a call."""

    def remove_call(self, call: ServingCall) -> None:
        """Remove a call that has ended."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a background task."""

    async def report_broken_connection(self, target: Target) -> None:
        """Probe a target whose connection broke; notify other nodes if it crashed."""

    async def send_crash_notices(self, service: str, notices: list[CrashNotice]) -> None:
        """Send crash notices to the other nodes of a service."""


class ServingCall:
    """Relays one call to a target.

    Receives the HTTP response of the target; towards the entry node it is the attempt.
    """

    def __init__(
        self,
        serving: CallOwner,
        target: Target | None,
        context: CallContext,
        request: HttpRequest,
        sink: AttemptSink,
    ) -> None:
        self._serving = serving
        self.target = target
        self.context = context
        self._request = request
        self._sink: AttemptSink | None = sink
        self._connection: ClientConnection | None = None
        self._handle: str | None = None
        self._started_at = 0.0
        self._status = 0
        self._headers: Headers = []
        self._body = BodyBuffer()
        self._discarded_bytes = 0
        self._streaming = False
        self._window = RelayWindow()
        self.nested_calls: set[CancellableCall] = set()

    @property
    def is_started(self) -> bool:
        """Whether the call has been admitted and has not ended."""
        return self._handle is not None

    def start(self) -> None:
        """Send the call to the target."""
        assert self.target is not None
        self._started_at = monotonic()
        self._handle = self._serving.handles.issue(self.context)
        self._serving.calls_by_handle[self._handle] = self
        self._serving.ledger.on_call_started(self.context, str(self.target.address))
        # An idle connection may be dead without notice, so a non-idempotent call takes only a
        # recently used one.
        max_idle_s = MAX_IDLE_S if self.context.idempotent else NON_RETRYABLE_MAX_IDLE_S
        connection = self._serving.pool.acquire(self.target.address, max_idle_s)
        if connection is None:
            self._serving.spawn(self._connect())
            return
        self._send(connection)

    async def _connect(self) -> None:
        assert self.target is not None
        connection = await self._serving.pool.connect(self.target.address)
        if self._sink is None:
            if isinstance(connection, ClientConnection):
                connection.abort()
            return
        if isinstance(connection, HttpFailure):
            self.on_failure(connection)
            return
        self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        assert self.target is not None
        self._connection = connection
        remaining_s = max(0.001, self.context.remaining_s(monotonic()))
        request = self._request
        headers = [
            (b"host", str(self.target.address).encode()),
            *request.headers,
            (b"pollenglade-call", (self._handle or "").encode()),
            (b"pollenglade-call-id", self.context.call_id.encode()),
            (b"pollenglade-organisation", self.context.organisation.encode()),
            (b"pollenglade-deadline-ms", b"%d" % int(remaining_s * 1000)),
        ]
        connection.send(
            request.method,
            request.target,
            headers,
            request.body,
            self,
            remaining_s,
            fields_validated=True,
        )

    def on_head(self, status: int, headers: Headers) -> None:
        """Buffer a small response, or start to stream a large one to the entry node."""
        self._status = status
        self._headers = end_to_end_headers(headers)
        if self._is_shed() and self._connection is not None:
            self._connection.retire()
        length = next((value for key, value in headers if key == b"content-length"), None)
        fits_one_message = length is not None and int(length) <= MAX_SINGLE_MESSAGE_BYTES
        if (
            fits_one_message
            or status in (204, 304)
            or self._request.method == "HEAD"
            or self._is_shed()
        ):
            return
        self._streaming = True
        if self._sink is not None:
            self._sink.on_head(status, self._headers)

    def _is_shed(self) -> bool:
        return self._status == 503 and (NOT_RUN_HEADER, b"true") in self._headers

    def on_data(self, data: bytes) -> None:
        """Buffer or relay a part of the body; that of a shed call is discarded."""
        if self._is_shed():
            self._discard(len(data))
            return
        if not self._streaming:
            self._body.append(data)
            return
        self._window.on_sent(len(data), self._connection)
        if self._sink is not None:
            self._sink.on_data(data)

    def _discard(self, byte_count: int) -> None:
        self._discarded_bytes += byte_count
        if self._discarded_bytes > MAX_SINGLE_MESSAGE_BYTES and self._connection is not None:
            # The body may have no end, and what the response says is known.
            self._connection.cancel(self)
            self.on_end()

    def credit(self, credit_bytes: int) -> None:
        """Allow `credit_bytes` further bytes of a streamed body."""
        self._window.credit(credit_bytes, self._connection)

    def on_end(self) -> None:
        """Report the complete response to the entry node, or that the target shed the call."""
        sink, self._sink = self._sink, None
        if sink is None:
            return
        shed = self._is_shed()
        feedback = self._release(ok=not shed, completed=not shed)
        if shed:
            refusal = Refusal(Reason.TARGET_SHED, Outcome.NOT_RUN, 0.5)
            sink.on_refusal(refusal, feedback)
        elif self._streaming:
            sink.on_end(feedback)
        else:
            sink.on_response(self._status, self._headers, self._body.take(), feedback)

    def on_failure(self, failure: HttpFailure) -> None:
        """Report why there is no complete response.

        After a broken connection the report waits until the target has been probed for a crash.
        """
        if self._sink is None:
            return
        if failure.reason is FailureReason.TIMEOUT:
            self._report_failure(Refusal(Reason.TIMEOUT, Outcome.UNKNOWN, None, failure.detail))
            return
        if failure.sent:
            refusal = Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, failure.detail)
        else:
            refusal = Refusal(Reason.NO_TARGET, Outcome.NOT_RUN, 0.5, failure.detail)
        self._serving.spawn(self._report_failure_after_probe(refusal))

    async def _report_failure_after_probe(self, refusal: Refusal) -> None:
        assert self.target is not None
        await self._serving.report_broken_connection(self.target)
        self._report_failure(refusal)

    def _report_failure(self, refusal: Refusal) -> None:
        sink, self._sink = self._sink, None
        if sink is None:
            return
        streaming = self._streaming
        feedback = self._release(ok=False)
        if streaming:
            sink.on_failure(refusal, feedback)
        else:
            sink.on_refusal(refusal, feedback)

    def refuse(self, refusal: Refusal) -> None:
        """Report the refusal of a call that has not started."""
        sink, self._sink = self._sink, None
        self._serving.remove_call(self)
        if sink is not None:
            sink.on_refusal(refusal, self._serving.feedback(self.target, self.context))

    def cancel(self) -> None:
        """Cancel the call; a target that runs it sees its connection close."""
        if self._sink is None:
            return
        self._sink = None
        if self._connection is not None:
            self._connection.cancel(self)
        target = self.target
        if target is None:
            return
        if self._handle is not None:
            self._release(ok=True, cancelled=True)
            return
        self._serving.remove_call(self)
        self._serving.apply_actions(
            target, target.admission.cancel(self.context.call_id, monotonic())
        )

    def withdraw(self) -> bool:
        """Cancel the call if it waits in the queue or for a connection; return whether it did."""
        if self._sink is None or self._connection is not None:
            return False
        self.cancel()
        return True

    def _release(self, ok: bool, completed: bool = False, cancelled: bool = False) -> Feedback:
        """Release handle, nested calls and admission slot; return feedback for the entry node."""
        assert self.target is not None and self._handle is not None
        now = monotonic()
        target_s = now - self._started_at
        feedback = self._serving.feedback(self.target, self.context, target_s)
        self._serving.handles.revoke(self._handle)
        self._serving.calls_by_handle.pop(self._handle, None)
        self._handle = None
        notices = self._serving.ledger.on_call_ended(self.context.call_id, now, completed)
        if notices:
            self._serving.spawn(self._serving.send_crash_notices(self.context.service, notices))
        for child in list(self.nested_calls):
            child.cancel()
        self._serving.remove_call(self)
        admission = self.target.admission
        if cancelled:
            actions = admission.cancel(self.context.call_id, now)
        else:
            actions = admission.finish(self.context.call_id, now, target_s, ok)
        self._serving.apply_actions(self.target, actions)
        return feedback
