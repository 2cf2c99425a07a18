"""One request of a client or an endpoint, from its route to its response."""

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
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.placement import Placement
from pollenglade_core.dispatch.route_trees import tree_key
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_net.attempt import Attempt
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .attempt_result_sink import AttemptResultSink
from .endpoint_call import ENDED_REQUEST
from .endpoint_call import EndpointCall
from .request_result import SERVED
from .request_result import RequestResult
from .stage import Stage

MAX_PLACEMENTS = 4
"""Number of placements after which a request that did not run is refused instead of placed again;
`MAX_SHEDS` applies to shed requests instead."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry delay in seconds of a refusal without a measured queue, before jitter."""

MAX_SHEDS = 6
"""Number of times that endpoints shed a request before it is refused; if endpoints shed half of the
attempts, 98 of 100 requests are accepted before this limit."""

MIN_ATTEMPT_S = 0.02
"""Time in seconds that must remain before the deadline for another attempt."""

NODE_STOPS = Refusal(Reason.DRAINING, detail="the node stops")

PARENT_ABORTED = Refusal(Reason.CANCELLED, detail="the run that made the request was given up")

RETRY_AFTER_STATUSES = frozenset({429, 503})
"""Statuses of refusals that get a Retry-After header."""


class MeshCallOwner(Protocol):
    """Interface of the entry role that a request uses."""

    def choose_endpoint(self, call: MeshCall) -> Peer | None:
        """Return the peer whose endpoint gets the next attempt, or None."""

    def send(
        self, peer: Peer, context: CallContext, request: HttpRequest, sink: AttemptResultSink
    ) -> Attempt | None:
        """Send an attempt to the node of an endpoint; None if the node is unknown."""

    def debit_retry_budget(self, call: MeshCall) -> bool:
        """Debit the retry budget for another attempt; False if it is too low."""

    def retry_after_s(self) -> float:
        """Return a jittered delay in seconds for a refusal."""

    def on_finished(self, call: MeshCall, result: RequestResult) -> None:
        """Handle the result of a request for quota, learnt costs and log."""


class MeshCall:
    """Tries endpoints in turn until one responds, no retry is allowed, or the request times out.

    A placement is the choice of an endpoint to which the request is sent; `placements` counts all
    of them. `attempts` counts only the placements after which the request may have run: a refusal
    without a run, for example by an endpoint that sheds the request, decrements it.

    The id of a nested request is the id of its parent request, a dot and a suffix (`parent.n`). The
    call id of placement `n` from the second on is the request id with the suffix `#n`.
    """

    def __init__(
        self,
        owner: MeshCallOwner,
        exchange: Exchange,
        request: HttpRequest,
        request_id: str,
        route: Route,
        placement: Placement,
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
        self.placement = placement
        self.service = placement.service
        self.tree_key = tree_key(route.name, placement.service)
        self.organisation = organisation
        self.rank = rank
        self.deadline = deadline
        self.objective_at = objective_at
        self.fingerprint = fingerprint
        self.parent = parent
        self.nested = nested
        self.started_at = monotonic()
        self.excluded_nodes: set[str] = set()
        self.allowed_nodes: set[str] | None = None
        self.shed_by_nodes: set[str] = set()
        self.shed_count = 0
        self.current_sink: AttemptResultSink | None = None
        self.attempts = 0
        self.placements = 0
        self.abandon_wait: Callable[[], None] | None = None
        self._attempt: Attempt | None = None
        self._may_have_run = False
        self._failed_response: tuple[int, Headers, bytes] | None = None
        self.is_done = False
        self.has_token = False
        self.policy_version = -1
        self._streaming = False
        self._deferred_credit_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._last_refusal = no_target_refusal(placement.regions)
        self.context = self._new_context()
        exchange.on_cancel = self._on_client_disconnected

    @property
    def stage(self) -> Stage:
        """How far the request has progressed."""
        if self._streaming:
            return Stage.STREAMING
        return Stage.TOKEN if self.current_sink is None else Stage.PLACED

    @property
    def declared_parent_id(self) -> bytes:
        """Id of the parent request according to the prefix of this request's id."""
        return self.request_id.rpartition(".")[0].encode("latin-1")

    @property
    def parent_id(self) -> str | None:
        """Id of the parent request if it runs at the local endpoint, else None."""
        return None if self.parent is None else self.parent.request_id.decode("latin-1")

    @property
    def serving_node(self) -> str:
        """Node of the latest attempt; empty before the first."""
        return self.current_sink.peer.node if self.current_sink is not None else ""

    def start(self) -> None:
        """Make the first attempt."""
        delay_s = self.deadline - monotonic()
        if delay_s <= 0.0:
            self._finish_refused(Refusal(Reason.DEADLINE, detail="the deadline has passed"))
            return
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timeout)
        self._place()

    def _place(self) -> None:
        peer = self._owner.choose_endpoint(self)
        if peer is None:
            self._finish_refused(self._last_refusal)
            return
        self.placements += 1
        self.attempts += 1
        sink = AttemptResultSink(self, peer)
        self.current_sink = sink
        attempt = self._owner.send(peer, self._attempt_context(peer), self._request, sink)
        if attempt is None:
            self.on_refusal(Refusal(Reason.LINK_FAILED), Feedback())
        elif self.current_sink is sink:
            self._attempt = attempt

    def _new_context(self) -> CallContext:
        # Priority 0 is the most important.
        importance_value = Importance.CRITICAL - self.route.priority
        return CallContext(
            call_id=self.request_id,
            organisation=self.organisation.name if self.organisation is not None else "",
            profile="",
            service=self.service,
            importance=Importance(max(0, min(Importance.CRITICAL, importance_value))),
            deadline=self.deadline,
            allowance=RetryAllowance(self._remaining_attempts()),
            depth=2 if self.nested else 1,
            idempotent=self.route.repeatable,
            fingerprint=self.fingerprint,
            objective_at=self.objective_at,
            nested=self.nested,
            rank=self.rank,
        )

    def _remaining_attempts(self) -> int:
        remaining = self.route.max_attempts - self.attempts if self.route.repeatable else 0
        return max(0, remaining)

    def _attempt_context(self, peer: Peer) -> CallContext:
        context = self.context
        context.may_wait = self.placement.may_wait(peer, monotonic())
        if self.placements > 1:
            # Call ids are unique at a serving node, where an earlier attempt may still be open.
            context.call_id = f"{self.request_id}#{self.placements}"
        return context.with_allowance(RetryAllowance(self._remaining_attempts()))

    def on_response(self, status: int, headers: Headers, body: bytes, feedback: Feedback) -> None:
        """Forward a complete response, or retry after one in which the endpoint itself failed."""
        assert self.current_sink is not None
        failed = status >= 500
        if failed and feedback.unused_retries > 0:
            self.current_sink.peer.record_result(True, monotonic())
            self._failed_response = (status, headers, body)
            if self._retry():
                return
        elif not failed:
            self.current_sink.peer.record_result(False, monotonic())
        self._mark_done()
        reason = "endpoint-failed" if failed else SERVED
        self._owner.on_finished(
            self, RequestResult(status, reason, ran=True, usage=usage_of(feedback))
        )
        self._exchange.respond(status, headers, body)

    def on_head(self, status: int, headers: Headers) -> None:
        """Start forwarding a streamed response."""
        self._streaming = True
        self._exchange.on_drained = self._on_drained
        self._exchange.start_response(status, headers)

    def on_data(self, data: bytes) -> None:
        """Forward a chunk of a streamed response."""
        self._exchange.write_chunk(data)
        if self._attempt is not None and not self._exchange.is_write_buffer_full:
            self._attempt.credit(len(data))
        else:
            self._deferred_credit_bytes += len(data)

    def _on_drained(self) -> None:
        deferred_bytes, self._deferred_credit_bytes = self._deferred_credit_bytes, 0
        if self._attempt is not None and deferred_bytes:
            self._attempt.credit(deferred_bytes)

    def on_end(self, feedback: Feedback) -> None:
        """Complete a streamed response."""
        self._mark_done()
        self._owner.on_finished(
            self, RequestResult(200, SERVED, ran=True, usage=usage_of(feedback))
        )
        self._exchange.end_response()

    def on_stream_failure(self, refusal: Refusal) -> None:
        """Abort the client's connection, so that a partial response does not appear complete."""
        self._mark_done()
        self._owner.on_finished(self, RequestResult(0, refusal.reason.value, ran=True))
        self._exchange.abort()

    def on_refusal(self, refusal: Refusal, feedback: Feedback) -> None:
        """Place the request elsewhere if it has not run; otherwise retry it if that is allowed."""
        assert self.current_sink is not None
        peer = self.current_sink.peer
        self._last_refusal = refusal
        if refusal.reason is Reason.LINK_FAILED:
            peer.on_link_failed(monotonic())
        if refusal.outcome is Outcome.NOT_RUN:
            self._on_not_run(refusal, peer)
            return
        self._may_have_run = True
        peer.record_result(True, monotonic())
        if self._retry():
            return
        status = 504 if refusal.reason is Reason.TIMEOUT else 502
        self._respond(status, refusal, ran=True)

    def _on_not_run(self, refusal: Refusal, peer: Peer) -> None:
        self.attempts -= 1
        if refusal.reason is Reason.NO_FREE_SLOT:
            self.placement.on_declined(peer)
            self._place()
            return
        if refusal.reason is Reason.TARGET_SHED:
            self._on_shed(refusal, peer)
            return
        if refusal.reason in (Reason.NO_TARGET, Reason.DRAINING):
            # The node sends its new state to all peers; until that arrives, it gets no attempts.
            peer.ready = False
        is_final = refusal.reason in (Reason.DEADLINE, Reason.QUARANTINED, Reason.BAD_REQUEST)
        if is_final or self.placements - len(self.placement.declined_by) >= MAX_PLACEMENTS:
            self._finish_refused(refusal)
            return
        self.excluded_nodes.add(peer.node)
        self._place()

    def _on_shed(self, refusal: Refusal, peer: Peer) -> None:
        """Place a shed request again, at no more distinct endpoints than the route allows.

        A shed request did not run. The retry budget is debited for the new placement, but it does
        not count as one of the attempts of the route.
        """
        peer.record_result(True, monotonic())
        self.shed_count += 1
        self.shed_by_nodes.add(peer.node)
        is_late = self.deadline - monotonic() < MIN_ATTEMPT_S
        if is_late or self.shed_count >= MAX_SHEDS or not self._owner.debit_retry_budget(self):
            self._finish_refused(refusal)
            return
        if len(self.shed_by_nodes) >= self.route.max_attempts:
            self.allowed_nodes = self.shed_by_nodes
        else:
            self.excluded_nodes.add(peer.node)
        self._place()

    def _retry(self) -> bool:
        assert self.current_sink is not None
        if not self.route.repeatable or self.attempts >= self.route.max_attempts:
            return False
        if self.deadline - monotonic() < MIN_ATTEMPT_S or not self._owner.debit_retry_budget(self):
            return False
        self._may_have_run = True
        self.excluded_nodes.add(self.current_sink.peer.node)
        self._place()
        return True

    def _finish_refused(self, refusal: Refusal) -> None:
        if self._may_have_run:
            self._respond(502, refusal, ran=True)
        else:
            self._respond(503, refusal, ran=False)

    def refuse(self, refusal: Refusal) -> None:
        """Respond to a request for which no attempt was made."""
        self._respond(STATUS_BY_REASON[refusal.reason], refusal, ran=False)

    def refuse_parent_aborted(self) -> None:
        """Respond to a request that arrived after the run that made it was aborted."""
        self._respond(503, PARENT_ABORTED, ran=False)

    def _respond(self, status: int, refusal: Refusal, ran: bool) -> None:
        self._mark_done()
        if self._failed_response is not None:
            # An error response of an endpoint is more specific than one generated by the node.
            status, headers, body = self._failed_response
            self._owner.on_finished(self, RequestResult(status, "endpoint-failed", ran=True))
            self._exchange.respond(status, headers, body)
            return
        self._owner.on_finished(
            self, RequestResult(status, refusal.reason.value, ran, refusal.detail)
        )
        headers = []
        if status in RETRY_AFTER_STATUSES:
            delay_s = refusal.retry_after_s or self._owner.retry_after_s()
            headers.append((b"retry-after", b"%.3f" % delay_s))
        self._exchange.respond(status, headers, b"")

    def _on_timeout(self) -> None:
        self._mark_done()
        if self._streaming:
            if self._attempt is not None:
                self._attempt.cancel()
            self._owner.on_finished(self, RequestResult(0, Reason.TIMEOUT.value, ran=True))
            self._exchange.abort()
            return
        if self._withdraw():
            refusal = Refusal(Reason.TIMEOUT, detail="the deadline passed before the request ran")
            self._respond(503, refusal, ran=False)
            return
        # The attempt is not cancelled, because the endpoint ends it at its deadline and the
        # connection stays reusable.
        self._owner.on_finished(self, RequestResult(504, Reason.TIMEOUT.value, ran=True))
        self._exchange.respond(504, [], b"")

    def _on_client_disconnected(self) -> None:
        if self.is_done:
            return
        self._mark_done()
        self._cancel_pending_work()
        ran = self.stage is not Stage.TOKEN
        result = RequestResult(0, Reason.CANCELLED.value, ran, detail=self.stage.value)
        self._owner.on_finished(self, result)

    def on_parent_aborted(self) -> None:
        """Cancel the request and respond at once, because the run that made it was aborted."""
        self._give_up(PARENT_ABORTED)

    def on_node_stops(self) -> None:
        """Cancel the request and respond at once, because the process is about to end."""
        self._give_up(NODE_STOPS)

    def _give_up(self, refusal: Refusal) -> None:
        if self.is_done:
            return
        if self._withdraw():
            self._respond(503, refusal, ran=False)
            return
        self._cancel_pending_work()
        if self._streaming:
            self.on_stream_failure(refusal)
            return
        self._respond(502, refusal, ran=True)

    def _withdraw(self) -> bool:
        """Give the request up if it is certain that no endpoint runs it or ever will.

        Returns whether that is certain. Proof is that no attempt was made, or that the current one
        has not been sent and that each earlier one was refused as not run by its serving node.
        """
        if self._may_have_run or self._streaming:
            return False
        if self.current_sink is None:
            if self.abandon_wait is not None:
                self.abandon_wait()
            return True
        return self._attempt is not None and self._attempt.withdraw()

    def _cancel_pending_work(self) -> None:
        """Abandon the wait for a token and cancel the current attempt."""
        if self.abandon_wait is not None:
            self.abandon_wait()
        if self._attempt is not None:
            self._attempt.cancel()

    def _mark_done(self) -> None:
        self.is_done = True
        self._request = ENDED_REQUEST
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def no_target_refusal(regions: frozenset[str] | None) -> Refusal:
    """Return the refusal of a request without a usable endpoint; it names the allowed regions."""
    if regions is None:
        return Refusal(Reason.NO_TARGET)
    names = ", ".join(sorted(regions)) or "none, as those of route and organisation differ"
    return Refusal(Reason.NO_TARGET, detail=f"no usable endpoint in the allowed regions: {names}")


def usage_of(feedback: Feedback) -> dict[str, Usage]:
    """Return the usage by service from the feedback of a result."""
    return {
        service: Usage(calls, slot_s, wait_s) for service, calls, slot_s, wait_s in feedback.usage
    }
