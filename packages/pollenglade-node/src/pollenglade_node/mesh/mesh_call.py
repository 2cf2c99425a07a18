"""One request of a client or an endpoint, from its route to its final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Protocol

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import STATUS_BY_REASON
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.dispatch.peer_view import FAILED_S
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_net.attempt import Attempt
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .attempt_result import AttemptResult
from .endpoint_call import EndpointCall
from .final_answer import SERVED
from .final_answer import FinalAnswer
from .stage import Stage

MAX_PLACEMENTS = 4
"""Endpoints that are asked in turn while each gives the request back unsent."""

RETRY_AFTER_S = 0.5
"""Delay in seconds that a refusal without a measured queue asks for, before jitter."""

MAX_SHEDS = 6
"""Rejections by endpoints after which a request is refused; where half of them are rejected, 98 of
100 have been taken by then."""

MIN_TRY_S = 0.02
"""Time in seconds that must be left for another attempt."""

GIVEN_UP = Refusal(Reason.CANCELLED, detail="the run that made the request was given up")


RETRY_LATER_STATUS = frozenset({429, 503})


class MeshCallOwner(Protocol):
    """The entry role as seen from one request."""

    def choose(self, call: MeshCall) -> Peer | None:
        """Return the endpoint for the next attempt."""

    def send(
        self, peer: Peer, context: CallContext, request: HttpRequest, sink: AttemptResult
    ) -> Attempt | None:
        """Send an attempt; None where the node is not known."""

    def may_repeat(self, call: MeshCall) -> bool:
        """Debit the retry budget for another attempt."""

    def retry_after_s(self) -> float:
        """Return a delay with jitter for a refusal."""

    def on_final(self, call: MeshCall, final: FinalAnswer) -> None:
        """Take the end of a call for quota, learning and log."""


class MeshCall:
    """Tries endpoints in turn until one answers, the request may not be repeated, or time is up."""

    def __init__(
        self,
        owner: MeshCallOwner,
        exchange: Exchange,
        request: HttpRequest,
        request_id: str,
        route: Route,
        service: str,
        organisation: Organisation | None,
        rank: int,
        deadline: float,
        objective_at: float,
        fingerprint: str,
        parent: EndpointCall | None,
        nested: bool,
    ) -> None:
        self._owner = owner
        self._exchange = exchange
        self._request = request
        self.request_id = request_id
        self.route = route
        self.service = service
        self.organisation = organisation
        self.rank = rank
        self.deadline = deadline
        self.objective_at = objective_at
        self.fingerprint = fingerprint
        self.parent = parent
        self.nested = nested
        self.started_at = monotonic()
        self.excluded: set[str] = set()
        self.allowed: set[str] | None = None
        self.shed_by: set[str] = set()
        self.sheds = 0
        self.current: AttemptResult | None = None
        self.attempts = 0
        self.placements = 0
        self.abandon_wait: Callable[[], None] | None = None
        self._attempt: Attempt | None = None
        self._may_have_run = False
        self._held: tuple[int, Headers, bytes] | None = None
        self.is_done = False
        self.has_token = False
        self.policy_version = -1
        self._streaming = False
        self._owed_credit = 0
        self._timer: asyncio.TimerHandle | None = None
        self._last_refusal = Refusal(Reason.NO_TARGET)
        self.context = self._new_context()
        exchange.on_cancel = self._on_client_gone

    @property
    def stage(self) -> Stage:
        """What holds the work of this request at the moment."""
        if self._streaming:
            return Stage.STREAMING
        return Stage.TOKEN if self.current is None else Stage.PLACED

    @property
    def caller_id(self) -> bytes:
        """Id of the request whose run made this one, as its own id names it."""
        return self.request_id.rpartition(".")[0].encode("latin-1")

    @property
    def parent_id(self) -> str | None:
        """Id of the request whose run made this one."""
        return None if self.parent is None else self.parent.request_id.decode("latin-1")

    @property
    def endpoint_node(self) -> str:
        """Node of the latest attempt."""
        return self.current.peer.node if self.current is not None else ""

    def start(self) -> None:
        """Make the first attempt."""
        delay_s = max(0.0, self.deadline - monotonic())
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timeout)
        self._place()

    def _place(self) -> None:
        peer = self._owner.choose(self)
        if peer is None:
            self._finish_refused(self._last_refusal)
            return
        self.placements += 1
        self.attempts += 1
        result = AttemptResult(self, peer)
        self.current = result
        attempt = self._owner.send(peer, self._attempt_context(), self._request, result)
        if attempt is None:
            self.on_refusal(Refusal(Reason.LINK_FAILED), Feedback())
        elif self.current is result:
            self._attempt = attempt

    def _new_context(self) -> CallContext:
        level = Importance.CRITICAL - self.route.priority
        return CallContext(
            call_id=self.request_id,
            organisation=self.organisation.name if self.organisation is not None else "",
            profile="",
            service=self.service,
            importance=Importance(max(0, min(Importance.CRITICAL, level))),
            deadline=self.deadline,
            allowance=RetryAllowance(self._attempts_left()),
            depth=2 if self.nested else 1,
            idempotent=self.route.repeatable,
            fingerprint=self.fingerprint,
            objective_at=self.objective_at,
            nested=self.nested,
            rank=self.rank,
        )

    def _attempts_left(self) -> int:
        left = self.route.max_attempts - self.attempts if self.route.repeatable else 0
        return max(0, left)

    def _attempt_context(self) -> CallContext:
        context = self.context
        if self.placements > 1:
            # A node knows a call by its id, and an earlier attempt may still be there.
            context.call_id = f"{self.request_id}#{self.placements}"
        return context.with_allowance(RetryAllowance(self._attempts_left()))

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Pass a whole response on, or repeat one in which the endpoint itself failed."""
        assert self.current is not None
        failed = status >= 500
        if failed and feedback.unspent > 0:
            self.current.peer.note_result(True, monotonic())
            self._held = (status, headers, body)
            if self._repeat():
                return
        elif not failed:
            self.current.peer.note_result(False, monotonic())
        self._end()
        reason = "endpoint-failed" if failed else SERVED
        self._owner.on_final(self, FinalAnswer(status, reason, ran=True, usage=usage_of(feedback)))
        self._exchange.respond(status, headers, body)

    def on_head(self, status: int, headers: Headers) -> None:
        """Start to pass a large response on."""
        self._streaming = True
        self._exchange.on_drained = self._on_drained
        self._exchange.start(status, headers)

    def on_data(self, data: bytes) -> None:
        """Pass a part of a large response on."""
        self._exchange.write(data)
        if self._attempt is not None and not self._exchange.is_congested:
            self._attempt.credit(len(data))
        else:
            self._owed_credit += len(data)

    def _on_drained(self) -> None:
        owed, self._owed_credit = self._owed_credit, 0
        if self._attempt is not None and owed:
            self._attempt.credit(owed)

    def on_end(self, feedback: Feedback) -> None:
        """End a large response."""
        self._end()
        self._owner.on_final(self, FinalAnswer(200, SERVED, ran=True, usage=usage_of(feedback)))
        self._exchange.end()

    def on_stream_failure(self, refusal: Refusal) -> None:
        """Break the client's connection, so that a part does not look like the whole."""
        self._end()
        self._owner.on_final(self, FinalAnswer(0, refusal.reason.value, ran=True))
        self._exchange.abort()

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Place the request elsewhere if it has not run; repeat it if it may be repeated."""
        assert self.current is not None
        peer = self.current.peer
        self._last_refusal = refusal
        if refusal.reason is Reason.LINK_FAILED:
            peer.avoid_until = monotonic() + FAILED_S
        if refusal.outcome is Outcome.NOT_RUN:
            self._on_not_run(refusal, peer)
            return
        self._may_have_run = True
        peer.note_result(True, monotonic())
        if self._repeat():
            return
        status = 504 if refusal.reason is Reason.TIMEOUT else 502
        self._answer(status, refusal, ran=True)

    def _on_not_run(self, refusal: Refusal, peer: Peer) -> None:
        self.attempts -= 1
        if refusal.reason is Reason.TARGET_SHED:
            self._on_shed(refusal, peer)
            return
        if refusal.reason in (Reason.NO_TARGET, Reason.DRAINING):
            # The node tells its new state to all peers; until it arrives, nothing more is sent.
            peer.ready = False
        final = refusal.reason in (Reason.DEADLINE, Reason.QUARANTINED, Reason.BAD_REQUEST)
        if final or self.placements >= MAX_PLACEMENTS:
            self._finish_refused(refusal)
            return
        self.excluded.add(peer.node)
        self._place()

    def _on_shed(self, refusal: Refusal, peer: Peer) -> None:
        """Send a rejected request again, to as many endpoints as the route allows.

        A rejection is an arrival for the retry budget, but no run.
        """
        peer.note_result(True, monotonic())
        self.sheds += 1
        self.shed_by.add(peer.node)
        late = self.deadline - monotonic() < MIN_TRY_S
        if late or self.sheds >= MAX_SHEDS or not self._owner.may_repeat(self):
            self._finish_refused(refusal)
            return
        if len(self.shed_by) >= self.route.max_attempts:
            self.allowed = self.shed_by
        else:
            self.excluded.add(peer.node)
        self._place()

    def _repeat(self) -> bool:
        assert self.current is not None
        if not self.route.repeatable or self.attempts >= self.route.max_attempts:
            return False
        if self.deadline - monotonic() < MIN_TRY_S or not self._owner.may_repeat(self):
            return False
        self._may_have_run = True
        self.excluded.add(self.current.peer.node)
        self._place()
        return True

    def _finish_refused(self, refusal: Refusal) -> None:
        if self._may_have_run:
            self._answer(502, refusal, ran=True)
        else:
            self._answer(503, refusal, ran=False)

    def refuse(self, refusal: Refusal) -> None:
        """Answer a request for which no attempt was made."""
        self._answer(STATUS_BY_REASON[refusal.reason], refusal, ran=False)

    def refuse_given_up(self) -> None:
        """Answer a request of a run that was given up before the request came."""
        self._answer(503, GIVEN_UP, ran=False)

    def _answer(self, status: int, refusal: Refusal, ran: bool) -> None:
        self._end()
        if self._held is not None:
            # The failure that an endpoint answered tells the client more than one of the node.
            status, headers, body = self._held
            self._owner.on_final(self, FinalAnswer(status, "endpoint-failed", ran=True))
            self._exchange.respond(status, headers, body)
            return
        self._owner.on_final(self, FinalAnswer(status, refusal.reason.value, ran, refusal.detail))
        headers = []
        if status in RETRY_LATER_STATUS:
            delay_s = refusal.retry_after_s or self._owner.retry_after_s()
            headers.append((b"retry-after", b"%.3f" % delay_s))
        self._exchange.respond(status, headers, b"")

    def _on_timeout(self) -> None:
        self._end()
        if self._streaming:
            if self._attempt is not None:
                self._attempt.cancel()
            self._owner.on_final(self, FinalAnswer(0, Reason.TIMEOUT.value, ran=True))
            self._exchange.abort()
            return
        # The endpoint stops by itself at the deadline, which keeps its connection usable.
        self._owner.on_final(self, FinalAnswer(504, Reason.TIMEOUT.value, ran=True))
        self._exchange.respond(504, [], b"")

    def _on_client_gone(self) -> None:
        if self.is_done:
            return
        self._end()
        self._release()
        ran = self.stage is not Stage.TOKEN
        final = FinalAnswer(0, Reason.CANCELLED.value, ran, detail=self.stage.value)
        self._owner.on_final(self, final)

    def abandon(self) -> None:
        """Answer at once; the run that made this request was given up."""
        if self.is_done:
            return
        self._release()
        if self._streaming:
            self.on_stream_failure(GIVEN_UP)
            return
        self._answer(502, GIVEN_UP, ran=True)

    def _release(self) -> None:
        """Give up whatever works or waits for this request."""
        if self.abandon_wait is not None:
            self.abandon_wait()
        if self._attempt is not None:
            self._attempt.cancel()

    def _end(self) -> None:
        self.is_done = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def usage_of(feedback: Feedback) -> dict[str, Usage]:
    """Return the usage by service that came with a result."""
    return {
        service: Usage(calls, slot_s, wait_s) for service, calls, slot_s, wait_s in feedback.usage
    }
