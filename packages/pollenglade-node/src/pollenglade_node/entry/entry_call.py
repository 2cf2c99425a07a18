"""A call at its entry node: attempts, retries and the response to the caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from time import monotonic
from typing import TYPE_CHECKING

from pollenglade_core.admission.admission_level import AdmissionLevel
from pollenglade_core.admission.quarantine import node_for_suspected_call
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.routing.endpoint import ChosenEndpoint
from pollenglade_net.attempt import Attempt
from pollenglade_net.body_buffer import ReservedBodyBuffer
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_client import MAX_RESPONSE_BYTES
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .refusal_response import send_refusal

if TYPE_CHECKING:
    from .entry import Entry

MAX_REROUTES = 3
"""Attempts that a call may send to another node after a not-run refusal.

Such a refusal comes before anything is sent to a target, so the next attempt uses no retry
allowance. Only after the target itself shed the call does the next attempt count as a retry too.
"""

OUTCOME_RAN_HEADER = (b"pollenglade-outcome", b"ran")

REROUTABLE_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.OVERLOADED,
        Reason.QUEUE_DELAY,
        Reason.TARGET_SHED,
        Reason.LINK_FAILED,
    }
)
"""Reasons of not-run refusals for which another node may still accept the call."""


@dataclass(slots=True)
class _BufferedResponse:
    """A streamed response that is buffered, because its result is needed as a whole."""

    status: int
    headers: Headers
    body: ReservedBodyBuffer


class EntryCall:
    """Runs one call and receives the results of its attempts.

    If `on_result` is set, it receives the result once in place of the caller. If
    `ignores_cancellation` is set, the call goes on after its caller disconnects. `on_closed`
    receives the unspent retries, or None if they are unknown.
    """

    def __init__(
        self, entry: Entry, exchange: Exchange, context: CallContext, request: HttpRequest
    ) -> None:
        self._entry = entry
        self._exchange = exchange
        self.context = context
        self.request = request
        self.started_at = monotonic()
        self.is_open = True
        self.ignores_cancellation = False
        self.abandon_wait: Callable[[], None] | None = None
        self.on_closed: Callable[[int | None], None] = lambda unspent_retries: None
        self.on_result: Callable[[int, Headers, bytes, Refusal | None], None] | None = None
        self._attempt: Attempt | None = None
        self._route: ChosenEndpoint | None = None
        self._attempt_started_at = 0.0
        self._target_s = 0.0
        self._status = 0
        self._lent_retries = 0
        self._reroute_count = 0
        self._excluded_nodes: set[str] = set()
        self._buffered_response: _BufferedResponse | None = None
        self._uncredited_bytes = 0
        self._may_have_run = False

    def run(self) -> None:
        """Send the first attempt."""
        self._entry.retry_budget(self.context.organisation).on_call()
        self._send()

    def _send(self) -> None:
        now = monotonic()
        context = self.context
        if context.remaining_s(now) <= 0.0:
            self.finish_refused(Refusal(Reason.DEADLINE, detail="the deadline has passed"))
            return
        route = self._pick_route(now)
        if isinstance(route, Refusal):
            self.finish_refused(route)
            return
        node = route.node
        if self._entry.levels.should_refuse(
            node, context.service, context.importance, now, self._entry.source
        ):
            detail = "the service refuses calls of this importance at present"
            delay_s = self._entry.retry_after_s()
            self.finish_refused(Refusal(Reason.OVERLOADED, retry_after_s=delay_s, detail=detail))
            return
        self._start_attempt(route, now)

    def _pick_route(self, now: float) -> ChosenEndpoint | Refusal:
        context = self.context
        excluded_nodes = frozenset(self._excluded_nodes)
        if self._entry.is_suspect(context, now):
            # All entry nodes send a suspected call to the same node, which runs one at a time.
            nodes = self._entry.router.usable_nodes(context.service, now) - excluded_nodes
            runner = node_for_suspected_call(context.fingerprint, nodes)
            if runner is not None:
                other_nodes = self._entry.router.usable_nodes(context.service, now) - {runner}
                excluded_nodes = excluded_nodes | other_nodes
        return self._entry.router.pick(context.service, now, excluded_nodes, self._entry.source)

    def _start_attempt(self, route: ChosenEndpoint, now: float) -> None:
        node = route.node
        self._route = route
        self._attempt_started_at = now
        self._entry.router.on_start(route)
        # Keep one retry at this node, because a lost response loses the retries lent to that
        # attempt. The last retry is lent, so that the node nearest to a failing target can use it.
        allowance = self.context.allowance
        self._lent_retries = (
            allowance.remaining - 1 if allowance.remaining > 1 else allowance.remaining
        )
        allowance.remaining -= self._lent_retries
        attempt_context = self.context.with_allowance(RetryAllowance(self._lent_retries))
        sent = self._entry.dispatcher.send(node, attempt_context, self.request, self)
        if not self.is_open or self._route is not route:
            return
        if sent is None:
            delay_s = self._entry.retry_after_s()
            refusal = Refusal(Reason.LINK_FAILED, Outcome.NOT_RUN, delay_s, f"no link to {node}")
            self._on_not_run_refusal(refusal, Feedback(self._lent_retries))
            return
        self._attempt = sent

    def _end_attempt(self, feedback: Feedback) -> ChosenEndpoint:
        route = self._route
        assert route is not None
        self._route = None
        self._attempt = None
        self.context.allowance.return_unspent(feedback.unused_retries, self._lent_retries)
        self._target_s += feedback.target_s
        level = AdmissionLevel(
            Importance(min(max(feedback.admission_level, 0), max(Importance))),
            feedback.level_fraction,
        )
        self._entry.levels.learn(
            route.node, self.context.service, level, monotonic(), self._entry.source
        )
        return route

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Finish the call with a complete response."""
        now = monotonic()
        route = self._end_attempt(feedback)
        self._entry.router.on_finish(route, now, now - self._attempt_started_at, status < 500)
        self.finish(status, headers, body)

    def on_head(self, status: int, headers: Headers) -> None:
        """Start a streamed response to the caller, or buffer it for `on_result`."""
        if self.on_result is not None:
            body = ReservedBodyBuffer(self._entry.memory_budget, MAX_RESPONSE_BYTES)
            self._buffered_response = _BufferedResponse(status, headers, body)
            return
        self._status = status
        self._exchange.on_drained = self._on_drained
        self._exchange.start_response(status, [*headers, OUTCOME_RAN_HEADER])

    def on_data(self, data: bytes) -> None:
        """Forward or buffer a chunk of a streamed body and credit its bytes to the sender.

        Bytes that are forwarded to a congested caller are credited once its connection drains.
        """
        if self._buffered_response is not None:
            self._buffer(self._buffered_response.body, data)
            return
        self._exchange.write_chunk(data)
        self._uncredited_bytes += len(data)
        if not self._exchange.is_write_buffer_full:
            self._on_drained()

    def _buffer(self, body: ReservedBodyBuffer, data: bytes) -> None:
        """Buffer a part of a body; give the attempt up if the body is too large or has no end."""
        if body.try_append(data):
            if self._attempt is not None:
                self._attempt.credit(len(data))
            return
        if self._attempt is not None:
            self._attempt.cancel()
        detail = f"no memory for more than {len(body)} bytes of the response"
        self.on_failure(Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, detail), Feedback())

    def _on_drained(self) -> None:
        byte_count, self._uncredited_bytes = self._uncredited_bytes, 0
        if byte_count and self._attempt is not None:
            self._attempt.credit(byte_count)

    def on_end(self, feedback: Feedback) -> None:
        """Complete a streamed response."""
        now = monotonic()
        route = self._end_attempt(feedback)
        self._entry.router.on_finish(route, now, now - self._attempt_started_at, True)
        buffered, self._buffered_response = self._buffered_response, None
        if buffered is not None:
            self.finish(buffered.status, buffered.headers, buffered.body.take())
            return
        self._count_response(self._status)
        self._close(self.context.allowance.remaining)
        self._exchange.end_response()

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        """Abort a streamed response that ended early; refuse the call if it was only buffered."""
        route = self._end_attempt(feedback)
        now = monotonic()
        self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        if self._buffered_response is not None:
            self._drop_buffered_response()
            self.finish_refused(refusal)
            return
        self._count_failure(Outcome.UNKNOWN, refusal.reason)
        self._close(None)
        self._exchange.abort()

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Handle an attempt without a response: send another attempt or refuse the call."""
        if refusal.outcome is Outcome.NOT_RUN:
            self._on_not_run_refusal(refusal, feedback)
        else:
            self._on_unknown_outcome(refusal, feedback)

    def _on_not_run_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        now = monotonic()
        route = self._end_attempt(feedback)
        if refusal.reason is Reason.LINK_FAILED:
            self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        else:
            self._entry.router.on_refusal(route, now, refusal.reason)
        self._excluded_nodes.add(route.node)
        if refusal.reason in REROUTABLE_REASONS and self._reroute_count < MAX_REROUTES:
            self._reroute_count += 1
            if self._may_reroute(refusal):
                self._send_to_another_node(refusal)
                return
        self.finish_refused(refusal)

    def _may_reroute(self, refusal: Refusal) -> bool:
        if refusal.reason is not Reason.TARGET_SHED:
            return True
        # The target received the call, so another attempt counts as a retry.
        return self._debit_retry()

    def _on_unknown_outcome(self, refusal: Refusal, feedback: Feedback) -> None:
        route = self._end_attempt(feedback)
        now = monotonic()
        self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        self._excluded_nodes.add(route.node)
        self._may_have_run = True
        is_retryable = self.context.idempotent and refusal.reason is not Reason.TIMEOUT
        if refusal.reason is Reason.TARGET_FAILED:
            is_retryable = is_retryable and self.context.crash_count == 0
            self.context.crash_count += 1
        if is_retryable and self._debit_retry():
            self._send_to_another_node(refusal)
            return
        self.finish_refused(refusal)

    def _debit_retry(self) -> bool:
        budget = self._entry.retry_budget(self.context.organisation)
        return budget.try_debit() and self.context.allowance.try_debit()

    def _send_to_another_node(self, refusal: Refusal) -> None:
        self.context.call_id = self._entry.next_call_id()
        now = monotonic()
        route = self._pick_route(now)
        if isinstance(route, Refusal):
            # Why the attempt failed is more informative than that no other node is available.
            self.finish_refused(refusal)
            return
        self._start_attempt(route, now)

    def finish(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the caller with the response of a target, or pass it to `on_result`."""
        if not self.is_open:
            return
        if self.on_result is not None:
            callback, self.on_result = self.on_result, None
            callback(status, headers, body, None)
            return
        self._count_response(status)
        self._close(self.context.allowance.remaining)
        self._exchange.respond(status, [*headers, OUTCOME_RAN_HEADER], body)

    def finish_refused(self, refusal: Refusal) -> None:
        """Answer the caller with a refusal, or pass it to `on_result`."""
        if not self.is_open:
            return
        if self._may_have_run and refusal.outcome is Outcome.NOT_RUN:
            # The refusal describes the last attempt, but an earlier attempt reached a target.
            refusal = replace(refusal, outcome=Outcome.UNKNOWN)
        if self.on_result is not None:
            callback, self.on_result = self.on_result, None
            callback(0, [], b"", refusal)
            return
        if refusal.retry_after_s is None and refusal.status in (502, 503, 504):
            refusal = Refusal(
                refusal.reason, refusal.outcome, self._entry.retry_after_s(), refusal.detail
            )
        self._count_failure(refusal.outcome, refusal.reason)
        self._close(self.context.allowance.remaining)
        send_refusal(self._exchange, refusal)

    def cancel(self) -> None:
        """Cancel the call because its caller disconnected or its parent call ended.

        A claimed call goes on, so that a repeat by the caller finds the recorded outcome.
        """
        if not self.is_open or self.ignores_cancellation:
            return
        if self._route is not None:
            self._entry.router.on_cancel(self._route)
        if self._attempt is not None:
            self._attempt.cancel()
        if self.abandon_wait is not None:
            self.abandon_wait()
        self._count_failure(Outcome.UNKNOWN, Reason.CANCELLED)
        self._close(None)

    def _count_response(self, status: int) -> None:
        elapsed_s = monotonic() - self.started_at
        self._entry.counter.count_response(self.context, status, elapsed_s, self._target_s)

    def _count_failure(self, outcome: Outcome, reason: Reason) -> None:
        elapsed_s = monotonic() - self.started_at
        self._entry.counter.count_failure(self.context, outcome, reason, elapsed_s)

    def _drop_buffered_response(self) -> None:
        if self._buffered_response is not None:
            self._buffered_response.body.clear()
            self._buffered_response = None

    def _close(self, unspent_retries: int | None) -> None:
        self._drop_buffered_response()
        self.is_open = False
        self._entry.open_calls.discard(self)
        self.on_closed(unspent_retries)
