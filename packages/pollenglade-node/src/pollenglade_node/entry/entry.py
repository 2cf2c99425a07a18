"""The entry role: authenticates requests of callers and targets and runs them as calls."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from time import monotonic
from typing import Protocol

from pollenglade_core.admission.source_levels import SourceLevels
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import NestedCall
from pollenglade_core.calls.call_handles import derive_nested_call
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import OrganisationRetryBudget
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.quota.quota_messages import Account
from pollenglade_core.randomness import RandomSource
from pollenglade_core.randomness import jittered
from pollenglade_core.routing.routing import Router
from pollenglade_net.attempt import Attempt
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers
from pollenglade_net.memory_budget import MemoryBudget

from ..serving.serving import Serving
from ..serving.serving_call import CancellableCall
from .authentication import AUTHORIZATION_HEADER
from .authentication import CALL_HANDLE_HEADER
from .authentication import KEY_EXPOSED_REFUSAL
from .authentication import Authenticator
from .authentication import contains_published_key
from .call_counter import CallCounter
from .entry_call import EntryCall
from .refusal_response import send_refusal

RETRY_AFTER_S = 0.5

NODE_STOPS = Refusal(
    Reason.DRAINING,
    retry_after_s=RETRY_AFTER_S,
    detail="the node may stop before the deadline of the call; send it to another node",
)

RESERVED_HEADER_PREFIX = b"pollenglade-"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


class Dispatcher(Protocol):
    """Sends attempts to serving nodes."""

    def send(
        self, node: str, context: CallContext, request: HttpRequest, sink: AttemptSink
    ) -> Attempt | None:
        """Send an attempt to `node`; return None if the node is unreachable."""


class Quota(Protocol):
    """Spends rate tokens of organisations."""

    def spend(
        self, account: Account, done: Callable[[Refusal | None], None]
    ) -> Callable[[], None] | None:
        """Spend one token; call `done` with None once it is spent, or with the refusal.

        Return a function that abandons the wait, or None if the call does not wait.
        """


class CallClaimer(Protocol):
    """Ensures that a non-idempotent call runs at most once."""

    def claim_and_run(self, call: EntryCall, idempotency_key: bytes) -> None:
        """Claim the call, then run it or answer it from the recorded claim."""


@dataclass(frozen=True, slots=True)
class ServicePath:
    """A request target split into the service and the path at that service.

    `target` is the request target to send: path and query.
    """

    service: str
    path: str
    target: bytes


def parse_service_path(target: bytes) -> ServicePath | None:
    """Split a request target of the form `/<service>/<path>?<query>`.

    Return None if the service is missing or a character is not ASCII.
    """
    path, question_mark, query = target.partition(b"?")
    segments = path.split(b"/", 2)
    if len(segments) < 2 or segments[0] or not segments[1]:
        return None
    remaining_path = b"/" + (segments[2] if len(segments) > 2 else b"")
    try:
        return ServicePath(
            segments[1].decode("ascii"),
            remaining_path.decode("ascii"),
            remaining_path + question_mark + query,
        )
    except UnicodeDecodeError:
        return None


def request_fingerprint(organisation: str, service: str, request: HttpRequest) -> str:
    """Return a hash that is equal for requests that ask for the same work.

    It covers organisation, service, method, target and body, but no headers.
    """
    digest = hashlib.blake2b(digest_size=16)
    for value in (
        organisation.encode(),
        service.encode(),
        request.method.encode(),
        request.target,
        request.body,
    ):
        digest.update(len(value).to_bytes(8, "big"))
        digest.update(value)
    return digest.hexdigest()


class Entry:
    """Accepts the requests at this node and owns their open calls.

    `ends_at` is the earliest time, in seconds on the monotonic clock, at which the process may end
    although calls are open; calls with a later deadline are refused.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        serving: Serving,
        router: Router,
        levels: SourceLevels,
        dispatcher: Dispatcher,
        quota: Quota,
        claims: CallClaimer,
        counter: CallCounter,
        source: RandomSource,
        memory_budget: MemoryBudget,
    ) -> None:
        self.node = node
        self.serving = serving
        self.router = router
        self.levels = levels
        self.dispatcher = dispatcher
        self.counter = counter
        self.source = source
        self.memory_budget = memory_budget
        self.configuration = Configuration()
        self.ends_at = inf
        self.open_calls: set[EntryCall] = set()
        self._call_id_prefix = f"{node}.{incarnation:x}."
        self._last_call_number = 1
        self._quota = quota
        self._claims = claims
        self._authenticator = Authenticator()
        self._retry_budgets_by_organisation: dict[str, OrganisationRetryBudget] = {}

    def next_call_id(self) -> str:
        """Return a call id that is unique in the fleet."""
        self._last_call_number += 1
        return f"{self._call_id_prefix}{self._last_call_number:x}"

    def retry_budget(self, organisation: str) -> OrganisationRetryBudget:
        """Return the retry budget of an organisation at this node."""
        budget = self._retry_budgets_by_organisation.get(organisation)
        if budget is None:
            budget = self._retry_budgets_by_organisation[organisation] = OrganisationRetryBudget()
        return budget

    def retry_after_s(self) -> float:
        """Return a jittered retry delay for a refusal, in seconds."""
        return jittered(RETRY_AFTER_S, self.source)

    def is_suspect(self, context: CallContext, now: float) -> bool:
        """Return whether a call with this fingerprint was in flight when a target crashed."""
        return context.crash_count > 0 or self.serving.ledger.crashes(context.fingerprint, now) > 0

    def handle(self, exchange: Exchange) -> None:
        """Handle a request from a caller or from a target on this host."""
        request = exchange.request
        service_path = parse_service_path(request.target)
        if service_path is None:
            detail = "write the target as /<service>/<path>"
            self._refuse_request(exchange, Refusal(Reason.BAD_REQUEST, detail=detail))
            return
        handles = request.header_values(CALL_HANDLE_HEADER)
        if handles:
            self._handle_nested(exchange, service_path, handles)
        else:
            self._handle_root(exchange, service_path)

    def _handle_root(self, exchange: Exchange, service_path: ServicePath) -> None:
        request = exchange.request
        configuration = self.configuration
        if configuration.version == 0:
            detail = "this node has no configuration yet"
            refusal = Refusal(Reason.NOT_CONFIGURED, retry_after_s=1.0, detail=detail)
            self._refuse_request(exchange, refusal)
            return
        identity = self._authenticator.authenticate(request, configuration)
        if isinstance(identity, Refusal):
            self._refuse_request(exchange, identity)
            return
        profile = configuration.profile_of_service(service_path.service)
        if profile is None:
            self._refuse_request(exchange, _service_unknown_refusal(service_path.service))
            return
        contract = profile.organisations_by_id.get(identity.organisation)
        if contract is None:
            detail = f"profile {profile.name} has no contract for this organisation"
            self._refuse_request(exchange, Refusal(Reason.NO_CONTRACT, detail=detail))
            return
        rule = profile.rule_for(request.method, service_path.path)
        forwarded = _forwarded_request(request, service_path)
        context = CallContext(
            call_id=self.next_call_id(),
            organisation=identity.organisation,
            profile=profile.name,
            service=service_path.service,
            importance=rule.importance,
            deadline=monotonic() + rule.deadline_ms / 1000,
            allowance=RetryAllowance(rule.extra_attempts),
            weight=contract.weight,
            idempotent=bool(rule.idempotent),
            fingerprint=request_fingerprint(identity.organisation, service_path.service, forwarded),
        )
        if context.deadline > self.ends_at:
            self._refuse_request(exchange, NODE_STOPS)
            return
        call = self._open_call(exchange, context, forwarded)
        call.abandon_wait = self._quota.spend(
            Account(profile.name, identity.organisation),
            lambda refusal: self._on_quota_decision(call, refusal),
        )

    def _on_quota_decision(self, call: EntryCall, refusal: Refusal | None) -> None:
        if not call.is_open:
            return
        if refusal is not None:
            call.finish_refused(refusal)
            return
        self._start_call(call)

    def _handle_nested(
        self, exchange: Exchange, service_path: ServicePath, handles: list[bytes]
    ) -> None:
        request = exchange.request
        if len(handles) > 1 or request.header(AUTHORIZATION_HEADER) is not None:
            detail = "send either a key or one call handle"
            self._refuse_request(exchange, Refusal(Reason.BAD_REQUEST, detail=detail))
            return
        if contains_published_key(request, self.configuration):
            self._refuse_request(exchange, KEY_EXPOSED_REFUSAL)
            return
        handle = handles[0].decode("ascii", "replace")
        parent_call = self.serving.calls_by_handle.get(handle)
        parent_context = self.serving.handles.resolve(handle, monotonic())
        if isinstance(parent_context, Refusal) or parent_call is None:
            refusal = parent_context if isinstance(parent_context, Refusal) else None
            self._refuse_request(exchange, refusal or Refusal(Reason.HANDLE_UNKNOWN))
            return
        profile = self.configuration.profile_of_service(service_path.service)
        if profile is None:
            self._refuse_request(exchange, _service_unknown_refusal(service_path.service))
            return
        forwarded = _forwarded_request(request, service_path)
        fingerprint = request_fingerprint(
            parent_context.organisation, service_path.service, forwarded
        )
        rule = profile.rule_for(request.method, service_path.path)
        nested_call = derive_nested_call(
            parent_context,
            self.next_call_id(),
            service_path.service,
            rule,
            monotonic(),
            concurrent=len(parent_call.nested_calls) + 1,
            fingerprint=fingerprint,
        )
        if isinstance(nested_call, Refusal):
            self._refuse_request(exchange, nested_call)
            return
        if nested_call.context.deadline > self.ends_at:
            nested_call.return_unspent(parent_context, nested_call.context.allowance.remaining)
            self._refuse_request(exchange, NODE_STOPS)
            return
        call = self._open_call(exchange, nested_call.context, forwarded)
        _attach_nested_call(call, nested_call, parent_context, parent_call.nested_calls)
        self._start_call(call)

    def _open_call(
        self, exchange: Exchange, context: CallContext, request: HttpRequest
    ) -> EntryCall:
        call = EntryCall(self, exchange, context, request)
        self.open_calls.add(call)
        exchange.on_cancel = call.cancel
        return call

    def _start_call(self, call: EntryCall) -> None:
        if call.context.idempotent:
            call.run()
            return
        keys = call.request.header_values(IDEMPOTENCY_KEY_HEADER)
        if len(keys) != 1 or not keys[0]:
            detail = "this request needs one Idempotency-Key header, so that it runs at most once"
            call.finish_refused(Refusal(Reason.IDEMPOTENCY_KEY_MISSING, detail=detail))
            return
        self._claims.claim_and_run(call, keys[0])

    def _refuse_request(self, exchange: Exchange, refusal: Refusal) -> None:
        self.counter.count_refusal(refusal.reason)
        send_refusal(exchange, refusal)


def _attach_nested_call(
    call: EntryCall,
    nested_call: NestedCall,
    parent_context: CallContext,
    siblings: set[CancellableCall],
) -> None:
    siblings.add(call)

    def on_closed(unspent_retries: int | None) -> None:
        siblings.discard(call)
        if unspent_retries is not None:
            nested_call.return_unspent(parent_context, unspent_retries)

    call.on_closed = on_closed


def _forwarded_request(request: HttpRequest, service_path: ServicePath) -> HttpRequest:
    headers = [
        item
        for item in end_to_end_headers(request.headers)
        if item[0] not in (AUTHORIZATION_HEADER, b"host", b"content-length", b"expect")
        and not item[0].startswith(RESERVED_HEADER_PREFIX)
    ]
    return HttpRequest(request.method, service_path.target, headers, request.body)


def _service_unknown_refusal(service: str) -> Refusal:
    return Refusal(Reason.SERVICE_UNKNOWN, detail=f"no profile lists the service {service}")
