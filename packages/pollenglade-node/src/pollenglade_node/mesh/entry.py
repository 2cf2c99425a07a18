"""The entry role: requests of clients on this host and of the endpoint beside the node."""

from __future__ import annotations

import random
from collections.abc import Mapping
from hashlib import blake2b
from time import monotonic

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.learnt_trees import LearntTree
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.retry_budget import RetryBudgets
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import TreeCosts
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_core.policy.traffic_policy import TrafficPolicy
from pollenglade_core.policy.weighted_split import WeightedSplit
from pollenglade_core.randomness import jittered
from pollenglade_net.attempt import Attempt
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers

from ..membership.links import Links
from .attempt_result import AttemptResult
from .endpoint_serving import EndpointServing
from .final_answer import FinalAnswer
from .header_names import HeaderNames
from .mesh_call import RETRY_AFTER_S
from .mesh_call import RETRY_LATER_STATUS
from .mesh_call import MeshCall
from .request_log import RequestLog
from .token_desk import TokenDesk

FRAMING_FIELDS = frozenset({b"content-length", b"expect"})
"""Fields that the node writes itself for each hop."""

RANKS = 16
"""Priorities of routes within one priority of organisations."""


class ViewLoad:
    """Load of the services as this node sees it at one moment."""

    def __init__(self, view: PeerView, own_node: str, now: float) -> None:
        self._view = view
        self._own_node = own_node
        self._now = now

    def slots(self, service: str) -> float:
        """Return the slots of all usable endpoints."""
        return self._view.slots(service, self._now)

    def is_known(self, service: str) -> bool:
        """Whether the service has endpoints, usable or not."""
        return self._view.is_known(service)

    def others(self, service: str) -> SlotUse:
        """Return the sum of what the other reachable nodes tell."""
        return self._view.slot_use(service, self._now, self._own_node)

    def failure_rate(self, service: str) -> float:
        """Return the part of the calls that fail or are rejected at the service."""
        return self._view.failure_rate(service, self._now)


class MeshEntry:
    """Finds the route, the organisation and the endpoint of each request."""

    def __init__(
        self,
        names: HeaderNames,
        service: str,
        serving: EndpointServing,
        links: Links,
        view: PeerView,
        tokens: TokenDesk,
        budgets: RetryBudgets,
        ledger: CrashLedger,
        request_log: RequestLog,
        source: random.Random,
    ) -> None:
        self._names = names
        self._caller_service = service.encode()
        self._serving = serving
        self._links = links
        self._view = view
        self._tokens = tokens
        self._budgets = budgets
        self._ledger = ledger
        self._request_log = request_log
        self._source = source
        self._split = WeightedSplit(source)
        self._costs = TreeCosts()
        self._admission = TreeAdmission()
        self._dropped = names.set_by_node | FRAMING_FIELDS
        self._open_calls = 0
        self.is_closing = False
        self.policy: TrafficPolicy | None = None

    @property
    def use_by_service(self) -> Mapping[str, SlotUse]:
        """Slots that the requests of this node occupy and ask for on average."""
        return self._admission.use_by_service(monotonic())

    def learnt_trees(self) -> dict[str, LearntTree]:
        """Return what is known about the trees of routes, by route."""
        return {
            route: LearntTree(residence_s, self._costs.of(route))
            for route in self._costs.routes
            if (residence_s := self._admission.residence_s(route)) is not None
        }

    def restore_trees(self, trees: Mapping[str, LearntTree]) -> None:
        """Take what other nodes have learnt; own knowledge goes first."""
        for route, tree in trees.items():
            self._costs.restore(route, tree.usage)
            self._admission.restore(route, tree.residence_s)

    @property
    def open_requests(self) -> int:
        """Requests that wait for their answer."""
        return self._open_calls

    @property
    def is_busy(self) -> bool:
        """Whether requests wait for their answer."""
        return self._open_calls > 0

    def handle(self, exchange: Exchange) -> None:
        """Take one whole request."""
        now = monotonic()
        policy = self.policy
        request = exchange.request
        request_id = (request.header(self._names.request_id) or b"").decode("latin-1")
        if policy is None:
            self._refuse(exchange, request_id, 503, Reason.NOT_CONFIGURED)
            return
        if not request_id:
            self._refuse(exchange, request_id, 400, Reason.BAD_REQUEST)
            return
        host = (request.header(b"host") or b"").decode("latin-1").partition(":")[0].lower()
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = policy.match(host, path)
        if route is None:
            self._refuse(exchange, request_id, 404, Reason.SERVICE_UNKNOWN)
            return
        organisation: Organisation | None = None
        if policy.needs_keys and not route.public:
            keys = request.header_values(self._names.key)
            organisation = policy.organisation_of(keys[0]) if len(keys) == 1 else None
            if organisation is None:
                self._refuse(exchange, request_id, 401, Reason.KEY_UNKNOWN)
                return
        call = self._new_call(exchange, request_id, route, organisation, now)
        call.policy_version = policy.version
        self._open_calls += 1
        if call.parent is not None:
            call.parent.begin_nested(call)
        self._admit(call, now)

    def _new_call(
        self,
        exchange: Exchange,
        request_id: str,
        route: Route,
        organisation: Organisation | None,
        now: float,
    ) -> MeshCall:
        request = exchange.request
        stated = (request.header(self._names.deadline_ms) or b"").strip()
        time_s = route.timeout_s
        if stated.isdigit():
            time_s = min(time_s, int(stated[:12]) / 1000)
        parent_id, separator, _ = request_id.rpartition(".")
        parent = self._serving.running_call(parent_id.encode("latin-1")) if separator else None
        nested = parent is not None or (organisation is None and bool(separator))
        objective_at = now + min(time_s, route.objective_s)
        rank = route.priority * (RANKS + 1)
        if organisation is not None and organisation.priority is not None:
            # The priority of the organisation goes before that of the route.
            rank = organisation.priority * RANKS + route.priority
        if parent is not None:
            rank, objective_at = parent.context.rank, parent.context.objective_at
        return MeshCall(
            self,
            exchange,
            self._forwarded(request, organisation),
            request_id,
            route,
            self._split.pick(route),
            organisation,
            rank,
            now + time_s,
            objective_at,
            self._fingerprint(request),
            parent,
            nested,
        )

    def _forwarded(self, request: HttpRequest, organisation: Organisation | None) -> HttpRequest:
        dropped = self._dropped
        headers: Headers = [
            item for item in end_to_end_headers(request.headers) if item[0] not in dropped
        ]
        headers.append((self._names.caller_service, self._caller_service))
        if organisation is not None:
            headers.append((self._names.organisation, organisation.name.encode()))
        return HttpRequest(request.method, request.target, headers, request.body)

    def _fingerprint(self, request: HttpRequest) -> str:
        digest = blake2b(request.method.encode(), digest_size=12)
        for part in (request.target, self._caller_service, request.body):
            digest.update(b"\0")
            digest.update(part)
        return digest.hexdigest()

    def _admit(self, call: MeshCall, now: float) -> None:
        if self.is_closing and not call.nested:
            # It could be cut off at the end; requests that run may still make calls.
            call.refuse(Refusal(Reason.DRAINING, Outcome.NOT_RUN, None, "the node stops"))
            return
        if call.nested and self._serving.is_given_up(call.caller_id):
            call.refuse_given_up()
            return
        refusal = self._ledger.check(call.context, now, self._source)
        if refusal is not None:
            call.refuse(refusal)
            return
        self._budgets.on_request(call.service, now)
        if call.organisation is None:
            self._start_if_room(call)
            return
        call.abandon_wait = self._tokens.acquire(
            call.organisation.name,
            call.route.priority,
            lambda granted: self._on_token(call, granted),
        )

    def _start_if_room(self, call: MeshCall) -> None:
        # After the token: what an organisation asks beyond its rate is no demand for slots.
        refusal = self._load_refusal(call, monotonic())
        if refusal is not None:
            call.refuse(refusal)
            return
        self._start(call)

    def _load_refusal(self, call: MeshCall, now: float) -> Refusal | None:
        if call.nested:
            return None
        route = call.route
        load = ViewLoad(self._view, self._links.hello.node, now)
        usage = self._costs.of(route.name)
        refusal = self._admission.check(
            route.name, route.priority, usage, load, self._source.random(), now
        )
        if refusal is None:
            return None
        return Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, refusal.retry_after_s, str(refusal))

    def _on_token(self, call: MeshCall, granted: bool) -> None:
        if call.is_done:
            if granted and call.organisation is not None:
                self._tokens.give_back(call.organisation.name)
            return
        if granted:
            call.has_token = True
            self._start_if_room(call)
            return
        name = call.organisation.name if call.organisation is not None else ""
        delay_s = jittered(self._tokens.retry_after_s(name, call.route.objective_s), self._source)
        detail = self._tokens.describe(name)
        call.refuse(Refusal(Reason.OVER_RATE, Outcome.NOT_RUN, delay_s, detail))

    def _start(self, call: MeshCall) -> None:
        if not call.nested:
            route = call.route
            usage = self._costs.of(route.name)
            self._admission.begin(call.request_id, route.name, route.priority, usage, monotonic())
        call.start()

    def choose(self, call: MeshCall) -> Peer | None:
        """Return the endpoint for the next attempt of a call."""
        now = monotonic()
        if call.allowed is None:
            return self._view.choose(call.service, now, call.excluded)
        others = self._view.by_node.keys() - call.allowed
        return self._view.choose(call.service, now, others)

    def send(
        self, peer: Peer, context: CallContext, request: HttpRequest, sink: AttemptResult
    ) -> Attempt | None:
        """Send an attempt to the node of an endpoint."""
        return self._links.send(peer.node, context, request, sink)

    def may_repeat(self, call: MeshCall) -> bool:
        """Debit the retry budget of every service that a repeat would reach."""
        calls = {name: item.calls for name, item in self._costs.of(call.route.name).items()}
        calls[call.service] = max(1.0, calls.get(call.service, 1.0))
        return self._budgets.take(calls, monotonic())

    def retry_after_s(self) -> float:
        """Return a delay with jitter for a refusal without a measured queue."""
        return jittered(RETRY_AFTER_S, self._source)

    def on_final(self, call: MeshCall, final: FinalAnswer) -> None:
        """Settle quota and costs, and log how a request ended."""
        self._open_calls -= 1
        if call.has_token and not final.ran and call.organisation is not None:
            self._tokens.give_back(call.organisation.name)
        if not call.nested:
            self._admission.end(call.request_id, monotonic())
        if final.usage and final.status < 400:
            self._costs.learn(call.route.name, final.usage)
            residence_s = monotonic() - call.started_at
            self._admission.learn(call.route.name, residence_s, final.usage)
        if call.parent is not None:
            call.parent.end_nested(call, final.usage, failed=not 0 < final.status < 400)
        self._request_log.on_final(call, final)

    def _refuse(self, exchange: Exchange, request_id: str, status: int, reason: Reason) -> None:
        version = -1 if self.policy is None else self.policy.version
        self._request_log.on_rejected(request_id, status, reason.value, version)
        headers: Headers = []
        if status in RETRY_LATER_STATUS:
            headers.append((b"retry-after", b"%.3f" % self.retry_after_s()))
        exchange.respond(status, headers, b"")
