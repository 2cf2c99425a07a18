"""The entry role: turns requests of callers and targets into governed calls."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol

from pollenglade_core.admission.source_levels import SourceLevels
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import NestedCall
from pollenglade_core.calls.call_handles import nested
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance
from pollenglade_core.calls.retry import RetryBudget
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

from ..serving.serving import Serving
from ..serving.serving_call import Child
from .authentication import AUTHORIZATION
from .authentication import CALL_HANDLE
from .authentication import KEY_EXPOSED
from .authentication import Authenticator
from .authentication import holds_published_key
from .call_counter import CallCounter
from .entry_call import EntryCall
from .refusal_response import respond_refusal

RETRY_AFTER_S = 0.5
RESERVED_PREFIX = b"pollenglade-"
IDEMPOTENCY_KEY = b"idempotency-key"


class Dispatcher(Protocol):
    """Sends one attempt to the node of a target."""

    def send(
        self, node: str, context: CallContext, request: HttpRequest, sink: AttemptSink
    ) -> Attempt | None:
        """Send an attempt; return None where the node cannot be reached."""


class Quota(Protocol):
    """Spends tokens of an organisation."""

    def spend(
        self, account: Account, done: Callable[[Refusal | None], None]
    ) -> Callable[[], None] | None:
        """Call `done` with None once a token is spent, or with the refusal.

        Return a function that abandons the wait, or None where the call does not wait.
        """


class ClaimStore(Protocol):
    """Makes sure that a non-idempotent call runs at most once."""

    def begin(self, call: EntryCall, idempotency_key: bytes) -> None:
        """Claim the call, then let it run or answer it."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request with the service that its path names."""

    service: str
    path: str
    target: bytes


def split_target(target: bytes) -> ServiceRequest | None:
    """Return the service and the target at the service, or None where the path names none."""
    path, mark, query = target.partition(b"?")
    parts = path.split(b"/", 2)
    if len(parts) < 2 or parts[0] or not parts[1]:
        return None
    rest = b"/" + (parts[2] if len(parts) > 2 else b"")
    try:
        return ServiceRequest(parts[1].decode("ascii"), rest.decode("ascii"), rest + mark + query)
    except UnicodeDecodeError:
        return None


def fingerprint_of(organisation: str, service: str, request: HttpRequest) -> str:
    """Return a hash of what makes two calls the same work."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        organisation.encode(),
        service.encode(),
        request.method.encode(),
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Entry:
    """Owns the calls that entered at this node."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        serving: Serving,
        router: Router,
        levels: SourceLevels,
        dispatcher: Dispatcher,
        quota: Quota,
        claims: ClaimStore,
        counter: CallCounter,
        source: RandomSource,
    ) -> None:
        self.node = node
        self.serving = serving
        self.router = router
        self.levels = levels
        self.dispatcher = dispatcher
        self.counter = counter
        self.source = source
        self.configuration = Configuration()
        self.open_calls: set[EntryCall] = set()
        self._prefix = f"{node}.{incarnation:x}."
        self._next_id = 1
        self._quota = quota
        self._claims = claims
        self._authenticator = Authenticator()
        self._budgets_by_organisation: dict[str, RetryBudget] = {}

    def next_call_id(self) -> str:
        """Return an id that no other call in the fleet has."""
        self._next_id += 1
        return f"{self._prefix}{self._next_id:x}"

    def budget_of(self, organisation: str) -> RetryBudget:
        """Return the retry budget of an organisation at this node."""
        budget = self._budgets_by_organisation.get(organisation)
        if budget is None:
            budget = self._budgets_by_organisation[organisation] = RetryBudget()
        return budget

    def retry_after_s(self) -> float:
        """Return a delay with jitter for a refusal."""
        return jittered(RETRY_AFTER_S, self.source)

    def is_suspect(self, context: CallContext, now: float) -> bool:
        """Return whether a call like this was in flight at a crash of its target."""
        return context.crash_count > 0 or self.serving.ledger.crashes(context.fingerprint, now) > 0

    def handle(self, exchange: Exchange) -> None:
        """Take a request from a caller or from a target of this host."""
        request = exchange.request
        route = split_target(request.target)
        if route is None:
            detail = "write the target as /<service>/<path>"
            self._refuse(exchange, Refusal(Reason.BAD_REQUEST, detail=detail))
            return
        handles = request.header_values(CALL_HANDLE)
        if handles:
            self._handle_nested(exchange, route, handles)
        else:
            self._handle_root(exchange, route)

    def _handle_root(self, exchange: Exchange, route: ServiceRequest) -> None:
        request = exchange.request
        configuration = self.configuration
        if configuration.version == 0:
            detail = "this node has no configuration yet"
            refusal = Refusal(Reason.NOT_CONFIGURED, retry_after_s=1.0, detail=detail)
            self._refuse(exchange, refusal)
            return
        identity = self._authenticator.authenticate(request, configuration)
        if isinstance(identity, Refusal):
            self._refuse(exchange, identity)
            return
        profile = configuration.profile_of_service(route.service)
        if profile is None:
            self._refuse(exchange, _unknown_service(route.service))
            return
        contract = profile.organisations_by_id.get(identity.organisation)
        if contract is None:
            detail = f"profile {profile.name} has no contract for this organisation"
            self._refuse(exchange, Refusal(Reason.NO_CONTRACT, detail=detail))
            return
        rule = profile.rule_for(request.method, route.path)
        forwarded = _forwarded(request, route)
        context = CallContext(
            call_id=self.next_call_id(),
            organisation=identity.organisation,
            profile=profile.name,
            service=route.service,
            importance=rule.importance,
            deadline=monotonic() + rule.deadline_ms / 1000,
            allowance=RetryAllowance(rule.extra_attempts),
            weight=contract.weight,
            idempotent=bool(rule.idempotent),
            fingerprint=fingerprint_of(identity.organisation, route.service, forwarded),
        )
        call = self._open(exchange, context, forwarded)
        call.abandon_wait = self._quota.spend(
            Account(profile.name, identity.organisation),
            lambda refusal: self._on_quota(call, refusal),
        )

    def _on_quota(self, call: EntryCall, refusal: Refusal | None) -> None:
        if not call.is_open:
            return
        if refusal is not None:
            call.finish_refused(refusal)
            return
        self._admit(call)

    def _handle_nested(
        self, exchange: Exchange, route: ServiceRequest, handles: list[bytes]
    ) -> None:
        request = exchange.request
        if len(handles) > 1 or request.header(AUTHORIZATION) is not None:
            detail = "send either a key or one call handle"
            self._refuse(exchange, Refusal(Reason.BAD_REQUEST, detail=detail))
            return
        if holds_published_key(request, self.configuration):
            self._refuse(exchange, KEY_EXPOSED)
            return
        handle = handles[0].decode("ascii", "replace")
        parent = self.serving.calls_by_handle.get(handle)
        resolved = self.serving.handles.resolve(handle, monotonic())
        if isinstance(resolved, Refusal) or parent is None:
            refusal = resolved if isinstance(resolved, Refusal) else None
            self._refuse(exchange, refusal or Refusal(Reason.HANDLE_UNKNOWN))
            return
        profile = self.configuration.profile_of_service(route.service)
        if profile is None:
            self._refuse(exchange, _unknown_service(route.service))
            return
        forwarded = _forwarded(request, route)
        fingerprint = fingerprint_of(resolved.organisation, route.service, forwarded)
        rule = profile.rule_for(request.method, route.path)
        child = nested(
            resolved,
            self.next_call_id(),
            route.service,
            rule,
            monotonic(),
            concurrent=len(parent.children) + 1,
            fingerprint=fingerprint,
        )
        if isinstance(child, Refusal):
            self._refuse(exchange, child)
            return
        call = self._open(exchange, child.context, forwarded)
        _attach(call, child, resolved, parent.children)
        self._admit(call)

    def _open(self, exchange: Exchange, context: CallContext, request: HttpRequest) -> EntryCall:
        call = EntryCall(self, exchange, context, request)
        self.open_calls.add(call)
        exchange.on_cancel = call.cancel
        return call

    def _admit(self, call: EntryCall) -> None:
        if call.context.idempotent:
            call.run()
            return
        keys = call.request.header_values(IDEMPOTENCY_KEY)
        if len(keys) != 1 or not keys[0]:
            detail = "this request needs one Idempotency-Key header, so that it runs at most once"
            call.finish_refused(Refusal(Reason.IDEMPOTENCY_KEY_MISSING, detail=detail))
            return
        self._claims.begin(call, keys[0])

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        self.counter.refused(refusal.reason)
        respond_refusal(exchange, refusal)

    def cancel_all(self) -> None:
        """Give all open calls up."""
        for call in list(self.open_calls):
            call.cancel()


def _attach(call: EntryCall, child: NestedCall, parent: CallContext, siblings: set[Child]) -> None:
    siblings.add(call)

    def on_closed(unspent: int | None) -> None:
        siblings.discard(call)
        if unspent is not None:
            child.give_back(parent, unspent)

    call.on_closed = on_closed


def _forwarded(request: HttpRequest, route: ServiceRequest) -> HttpRequest:
    headers = [
        item
        for item in end_to_end_headers(request.headers)
        if item[0] not in (AUTHORIZATION, b"host", b"content-length", b"expect")
        and not item[0].startswith(RESERVED_PREFIX)
    ]
    return HttpRequest(request.method, route.target, headers, request.body)


def _unknown_service(service: str) -> Refusal:
    return Refusal(Reason.SERVICE_UNKNOWN, detail=f"no profile lists the service {service}")
