"""One call at the entry node: attempts, retries and the response to the caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from time import monotonic
from typing import TYPE_CHECKING

from pollenglade_core.admission.admission_level import AdmissionLevel
from pollenglade_core.admission.quarantine import suspect_runner
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.routing.endpoint import Route
from pollenglade_net.attempt import Attempt
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .refusal_response import respond_refusal

if TYPE_CHECKING:
    from .entry import Entry

MAX_REROUTES = 3
"""Attempts that a serving node refused before it sent anything; they reach no target."""

OUTCOME_RAN = (b"pollenglade-outcome", b"ran")

REROUTED_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.OVERLOADED,
        Reason.QUEUE_DELAY,
        Reason.TARGET_SHED,
        Reason.LINK_FAILED,
    }
)
"""Reasons of a not-run refusal for which another node may have room."""


@dataclass(slots=True)
class _Collected:
    """A streamed response that is needed as a whole."""

    status: int
    headers: Headers
    parts: list[bytes] = field(default_factory=list)


class EntryCall:
    """Sink of the attempts of one call."""

    def __init__(
        self, entry: Entry, exchange: Exchange, context: CallContext, request: HttpRequest
    ) -> None:
        self._entry = entry
        self._exchange = exchange
        self.context = context
        self.request = request
        self.started_at = monotonic()
        self.is_open = True
        self.keeps_running = False
        self.abandon_wait: Callable[[], None] | None = None
        self.on_closed: Callable[[int | None], None] = lambda unspent: None
        self.on_result: Callable[[int, Headers, bytes, Refusal | None], None] | None = None
        self._attempt: Attempt | None = None
        self._route: Route | None = None
        self._attempt_started_at = 0.0
        self._target_s = 0.0
        self._status = 0
        self._lent = 0
        self._reroutes = 0
        self._excluded: set[str] = set()
        self._collected: _Collected | None = None
        self._uncredited = 0
        self._may_have_run = False

    def run(self) -> None:
        """Send the first attempt."""
        self._entry.budget_of(self.context.organisation).on_call()
        self._send()

    def _send(self) -> None:
        now = monotonic()
        context = self.context
        if context.remaining_s(now) <= 0.0:
            self.finish_refused(Refusal(Reason.DEADLINE, detail="the deadline has passed"))
            return
        route = self._pick(now)
        if isinstance(route, Refusal):
            self.finish_refused(route)
            return
        node = route.node
        if self._entry.levels.refuses(
            node, context.service, context.importance, now, self._entry.source
        ):
            detail = "the service refuses calls of this importance at present"
            delay_s = self._entry.retry_after_s()
            self.finish_refused(Refusal(Reason.OVERLOADED, retry_after_s=delay_s, detail=detail))
            return
        self._start_attempt(route, now)

    def _pick(self, now: float) -> Route | Refusal:
        context = self.context
        excluded = frozenset(self._excluded)
        if self._entry.is_suspect(context, now):
            # All entry nodes send a suspected call to the same node, which runs one at a time.
            nodes = self._entry.router.usable_nodes(context.service, now) - excluded
            runner = suspect_runner(context.fingerprint, nodes)
            if runner is not None:
                others = self._entry.router.usable_nodes(context.service, now) - {runner}
                excluded = excluded | others
        return self._entry.router.pick(context.service, now, excluded, self._entry.source)

    def _start_attempt(self, route: Route, now: float) -> None:
        node = route.node
        self._route = route
        self._attempt_started_at = now
        self._entry.router.on_start(route)
        # One attempt stays here, because a lost response takes the lent share with it. The last one
        # travels on, so that the node nearest to a failing target has it.
        allowance = self.context.allowance
        self._lent = allowance.remaining - 1 if allowance.remaining > 1 else allowance.remaining
        allowance.remaining -= self._lent
        attempt_context = self.context.with_allowance(RetryAllowance(self._lent))
        sent = self._entry.dispatcher.send(node, attempt_context, self.request, self)
        if not self.is_open or self._route is not route:
            return
        if sent is None:
            delay_s = self._entry.retry_after_s()
            refusal = Refusal(Reason.LINK_FAILED, Outcome.NOT_RUN, delay_s, f"no link to {node}")
            self._on_not_run(refusal, Feedback(self._lent))
            return
        self._attempt = sent

    def _end_attempt(self, feedback: Feedback) -> Route:
        route = self._route
        assert route is not None
        self._route = None
        self._attempt = None
        self.context.allowance.give_back(feedback.unspent, self._lent)
        self._target_s += feedback.target_s
        level = AdmissionLevel(
            Importance(min(max(feedback.level, 0), max(Importance))), feedback.level_fraction
        )
        self._entry.levels.learn(
            route.node, self.context.service, level, monotonic(), self._entry.source
        )
        return route

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Take a whole response."""
        now = monotonic()
        route = self._end_attempt(feedback)
        self._entry.router.on_finish(route, now, now - self._attempt_started_at, status < 500)
        self.finish(status, headers, body)

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the head of a streamed response."""
        if self.on_result is not None:
            self._collected = _Collected(status, headers)
            return
        self._status = status
        self._exchange.on_drained = self._on_drained
        self._exchange.start(status, [*headers, OUTCOME_RAN])

    def on_data(self, data: bytes) -> None:
        """Take a part of the body of a streamed response."""
        if self._collected is not None:
            self._collected.parts.append(data)
            if self._attempt is not None:
                self._attempt.credit(len(data))
            return
        self._exchange.write(data)
        self._uncredited += len(data)
        if not self._exchange.is_congested:
            self._on_drained()

    def _on_drained(self) -> None:
        count, self._uncredited = self._uncredited, 0
        if count and self._attempt is not None:
            self._attempt.credit(count)

    def on_end(self, feedback: Feedback) -> None:
        """Take the end of a streamed response."""
        now = monotonic()
        route = self._end_attempt(feedback)
        self._entry.router.on_finish(route, now, now - self._attempt_started_at, True)
        collected, self._collected = self._collected, None
        if collected is not None:
            self.finish(collected.status, collected.headers, b"".join(collected.parts))
            return
        self._count_ran(self._status)
        self._close(self.context.allowance.remaining)
        self._exchange.end()

    def on_failure(self, refusal: Refusal, feedback: Feedback) -> None:
        """Take the reason why a streamed response broke off."""
        route = self._end_attempt(feedback)
        now = monotonic()
        self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        if self._collected is not None:
            self._collected = None
            self.finish_refused(refusal)
            return
        self._count(Outcome.UNKNOWN, refusal.reason)
        self._close(None)
        self._exchange.abort()

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Take the reason why an attempt has no response."""
        if refusal.outcome is Outcome.NOT_RUN:
            self._on_not_run(refusal, feedback)
        else:
            self._on_unknown(refusal, feedback)

    def _on_not_run(self, refusal: Refusal, feedback: Feedback) -> None:
        now = monotonic()
        route = self._end_attempt(feedback)
        if refusal.reason is Reason.LINK_FAILED:
            self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        else:
            self._entry.router.on_refusal(route, now, refusal.reason)
        self._excluded.add(route.node)
        if refusal.reason in REROUTED_REASONS and self._reroutes < MAX_REROUTES:
            self._reroutes += 1
            if self._may_send_again(refusal):
                self._resend(refusal)
                return
        self.finish_refused(refusal)

    def _may_send_again(self, refusal: Refusal) -> bool:
        if refusal.reason is not Reason.TARGET_SHED:
            return True
        # The target has seen the call, so that a further attempt counts as a retry.
        return self._take_retry()

    def _on_unknown(self, refusal: Refusal, feedback: Feedback) -> None:
        route = self._end_attempt(feedback)
        now = monotonic()
        self._entry.router.on_failure(route, now, now - self._attempt_started_at)
        self._excluded.add(route.node)
        self._may_have_run = True
        repeatable = self.context.idempotent and refusal.reason is not Reason.TIMEOUT
        if refusal.reason is Reason.TARGET_FAILED:
            repeatable = repeatable and self.context.crash_count == 0
            self.context.crash_count += 1
        if repeatable and self._take_retry():
            self._resend(refusal)
            return
        self.finish_refused(refusal)

    def _take_retry(self) -> bool:
        budget = self._entry.budget_of(self.context.organisation)
        return budget.take() and self.context.allowance.take()

    def _resend(self, refusal: Refusal) -> None:
        self.context.call_id = self._entry.next_call_id()
        now = monotonic()
        available = self._pick(now)
        if isinstance(available, Refusal):
            # The reason of the attempt says more than the lack of a further node.
            self.finish_refused(refusal)
            return
        self._start_attempt(available, now)

    def finish(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer with the response of a target."""
        if not self.is_open:
            return
        if self.on_result is not None:
            callback, self.on_result = self.on_result, None
            callback(status, headers, body, None)
            return
        self._count_ran(status)
        self._close(self.context.allowance.remaining)
        self._exchange.respond(status, [*headers, OUTCOME_RAN], body)

    def finish_refused(self, refusal: Refusal) -> None:
        """Answer at once with a refusal."""
        if not self.is_open:
            return
        if self._may_have_run and refusal.outcome is Outcome.NOT_RUN:
            # The refusal is about the last attempt; an earlier one had reached a target.
            refusal = replace(refusal, outcome=Outcome.UNKNOWN)
        if self.on_result is not None:
            callback, self.on_result = self.on_result, None
            callback(0, [], b"", refusal)
            return
        if refusal.retry_after_s is None and refusal.status in (502, 503, 504):
            refusal = Refusal(
                refusal.reason, refusal.outcome, self._entry.retry_after_s(), refusal.detail
            )
        self._count(refusal.outcome, refusal.reason)
        self._close(self.context.allowance.remaining)
        respond_refusal(self._exchange, refusal)

    def cancel(self) -> None:
        """Give the call up; the caller has gone or the call above has ended.

        A claimed call goes on, so that a repeat finds its outcome on record.
        """
        if not self.is_open or self.keeps_running:
            return
        if self._route is not None:
            self._entry.router.on_cancel(self._route)
        if self._attempt is not None:
            self._attempt.cancel()
        if self.abandon_wait is not None:
            self.abandon_wait()
        self._count(Outcome.UNKNOWN, Reason.CANCELLED)
        self._close(None)

    def _count_ran(self, status: int) -> None:
        elapsed_s = monotonic() - self.started_at
        self._entry.counter.ran(self.context, status, elapsed_s, self._target_s)

    def _count(self, outcome: Outcome, reason: Reason) -> None:
        elapsed_s = monotonic() - self.started_at
        self._entry.counter.failed(self.context, outcome, reason, elapsed_s)

    def _close(self, unspent: int | None) -> None:
        self.is_open = False
        self._entry.open_calls.discard(self)
        self.on_closed(unspent)
