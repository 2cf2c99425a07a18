"""The entry role: accepts requests of clients and of the local endpoint."""

from __future__ import annotations

import random
from collections.abc import Mapping
from hashlib import blake2b
from itertools import islice
from time import monotonic
from typing import Any

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.stop_window import StopWindow
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.dispatch.peer_view import Peer
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.placement import Placement
from pollenglade_core.dispatch.retry_budget import ServiceRetryBudgets
from pollenglade_core.dispatch.route_trees import RouteTrees
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.policy.traffic_policy import Route
from pollenglade_core.policy.traffic_policy import TrafficPolicy
from pollenglade_core.policy.traffic_policy import allowed_regions
from pollenglade_core.policy.weighted_split import WeightedSplit
from pollenglade_core.randomness import jittered
from pollenglade_net.attempt import Attempt
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import end_to_end_headers

from ..membership.links import Links
from .attempt_result_sink import AttemptResultSink
from .endpoint_serving import EndpointServing
from .header_names import HeaderNames
from .mesh_call import DEFAULT_RETRY_AFTER_S
from .mesh_call import NODE_STOPS
from .mesh_call import RETRY_AFTER_STATUSES
from .mesh_call import MeshCall
from .request_log import RequestLog
from .request_result import RequestResult
from .token_broker import TokenBroker

FRAMING_FIELDS = frozenset({b"content-length", b"expect"})
"""Header fields that the node generates for each hop instead of forwarding them."""

ROUTE_PRIORITY_COUNT = 16
"""Number of route priorities within one organisation priority."""


class PeerViewLoad:
    """Load of the services at one moment, read from the peer view of this node."""

    def __init__(self, view: PeerView, policy: TrafficPolicy | None, now: float) -> None:
        self._view = view
        self._policy = policy
        self._now = now

    def slots(self, service: str) -> float:
        """Return the number of slots of all usable endpoints."""
        return self._view.slots(service, self._now)

    def exists(self, service: str) -> bool:
        """Whether the service has endpoints or the policy names it.

        A node that was restarted while its zone is cut off knows no endpoint of another zone.
        """
        is_named = self._policy is not None and service in self._policy.services_by_name
        return is_named or self._view.has_endpoints(service)

    def slot_use_of_others(self, service: str) -> SlotUse:
        """Return the total slot use that the other reachable nodes report."""
        return self._view.slot_use(service, self._now)

    def failure_rate(self, service: str) -> float:
        """Return the fraction of the calls at the service that fail or are rejected."""
        return self._view.failure_rate(service, self._now)


class MeshEntry:
    """Routes each request, identifies its organisation, admits or refuses it, and places it."""

    def __init__(
        self,
        names: HeaderNames,
        service: str,
        serving: EndpointServing,
        links: Links,
        view: PeerView,
        token_broker: TokenBroker,
        retry_budgets: ServiceRetryBudgets,
        crash_ledger: CrashLedger,
        request_log: RequestLog,
        random_source: random.Random,
    ) -> None:
        self._names = names
        self._caller_service = service.encode()
        self._serving = serving
        self._links = links
        self._view = view
        self._token_broker = token_broker
        self._retry_budgets = retry_budgets
        self._crash_ledger = crash_ledger
        self._request_log = request_log
        self._random_source = random_source
        self._weighted_split = WeightedSplit(random_source)
        self._tree_admission = TreeAdmission()
        self.trees = RouteTrees(self._tree_admission)
        self._dropped_fields = names.not_forwarded | FRAMING_FIELDS
        self._open_calls: set[MeshCall] = set()
        self._stop_window: StopWindow | None = None
        self.policy: TrafficPolicy | None = None

    @property
    def use_by_service(self) -> Mapping[str, SlotUse]:
        """Average slots that the requests of this node occupy and demand, by service."""
        return self._tree_admission.use_by_service(monotonic())

    def apply_policy(self, policy: TrafficPolicy) -> None:
        """Handle further requests by a policy, and forget what no longer applies under it."""
        self.policy = policy
        self.trees.apply_policy(policy)

    @property
    def open_request_count(self) -> int:
        """Number of requests without a response so far."""
        return len(self._open_calls)

    @property
    def is_busy(self) -> bool:
        """Whether requests are waiting for their response."""
        return bool(self._open_calls)

    def stop_accepting(self, window: StopWindow) -> None:
        """Accept only requests that the window of a stop permits."""
        self._stop_window = window

    def describe_open_requests(self, limit: int) -> list[dict[str, Any]]:
        """Return id, stage and age in seconds of up to `limit` requests without a response."""
        now = monotonic()
        return [
            {
                "request_id": call.request_id,
                "stage": call.stage.value,
                "age_s": round(now - call.started_at, 3),
            }
            for call in islice(self._open_calls, limit)
        ]

    def end_open_requests(self) -> None:
        """Respond to all open requests, as the process is about to end."""
        for call in list(self._open_calls):
            call.on_node_stops()

    def _accepts_while_stopping(self, call: MeshCall, window: StopWindow, now: float) -> bool:
        if call.parent is None:
            return window.accepts(now, self.trees.residence_s(call.tree_key))
        return window.accepts_nested(now, call.deadline)

    def handle(self, exchange: Exchange) -> None:
        """Handle one complete request."""
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
        host = (request.header(b"host") or b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = policy.match(host, path)
        if route is None:
            self._refuse(exchange, request_id, 404, Reason.SERVICE_UNKNOWN)
            return
        organisation: Organisation | None = None
        if policy.requires_keys and not route.public:
            keys = request.header_values(self._names.key)
            organisation = policy.organisation_for_key(keys[0]) if len(keys) == 1 else None
            if organisation is None:
                self._refuse(exchange, request_id, 401, Reason.KEY_UNKNOWN)
                return
        call = self._new_call(exchange, request_id, route, organisation, now)
        call.policy_version = policy.version
        self._open_calls.add(call)
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
        fingerprint = self._fingerprint(request)
        deadline_value = (request.header(self._names.deadline_ms) or b"").strip()
        time_limit_s = route.timeout_s
        if deadline_value.isdigit():
            time_limit_s = min(time_limit_s, int(deadline_value[:12]) / 1000)
        parent_id, separator, _ = request_id.rpartition(".")
        parent = self._serving.running_call(parent_id.encode("latin-1")) if separator else None
        # The parent may run at another node or may have ended. Without an organisation, as on
        # public routes, the id alone therefore marks a request as nested.
        nested = parent is not None or (organisation is None and bool(separator))
        objective_at = now + min(time_limit_s, route.objective_s)
        # Requests with a lower rank start first. Without a priority of the organisation, the rank
        # is that for an organisation with the same priority as the route.
        rank = route.priority * (ROUTE_PRIORITY_COUNT + 1)
        if organisation is not None and organisation.priority is not None:
            # The priority of the organisation takes precedence over that of the route.
            rank = organisation.priority * ROUTE_PRIORITY_COUNT + route.priority
        if parent is not None:
            rank, objective_at = parent.context.rank, parent.context.objective_at
        return MeshCall(
            self,
            exchange,
            self._forwarded_request(request, organisation),
            request_id,
            route,
            Placement(
                self._view,
                self._weighted_split.pick(route),
                allowed_regions(route, organisation),
            ),
            organisation,
            rank,
            now + time_limit_s,
            objective_at,
            fingerprint,
            parent,
            nested,
        )

    def _forwarded_request(
        self, request: HttpRequest, organisation: Organisation | None
    ) -> HttpRequest:
        dropped_fields = self._dropped_fields
        headers: Headers = [
            item for item in end_to_end_headers(request.headers) if item[0] not in dropped_fields
        ]
        headers.append((self._names.caller_service, self._caller_service))
        if organisation is not None:
            headers.append((self._names.organisation, organisation.name.encode()))
        # The forwarded request alone holds the body, which may take much memory.
        body, request.body = request.body, b""
        return HttpRequest(request.method, request.target, headers, body)

    def _fingerprint(self, request: HttpRequest) -> str:
        digest = blake2b(request.method.encode(), digest_size=12)
        for component in (request.target, self._caller_service, request.body):
            digest.update(b"\0")
            digest.update(component)
        return digest.hexdigest()

    def _admit(self, call: MeshCall, now: float) -> None:
        window = self._stop_window
        if window is not None and not self._accepts_while_stopping(call, window, now):
            call.refuse(NODE_STOPS)
            return
        if call.nested and self._serving.is_run_aborted(call.declared_parent_id):
            call.refuse_parent_aborted()
            return
        refusal = self._crash_ledger.check(call.context, now, self._random_source)
        if refusal is not None:
            call.refuse(refusal)
            return
        self._retry_budgets.on_request(call.service, now)
        if call.organisation is None:
            self._start_if_admitted(call)
            return
        call.abandon_wait = self._token_broker.acquire(
            call.organisation.name,
            call.route.priority,
            lambda granted: self._on_token(call, granted),
        )

    def _start_if_admitted(self, call: MeshCall) -> None:
        # Checked after the token: requests beyond an organisation's rate are no demand for slots.
        refusal = self._refusal_for_load(call, monotonic())
        if refusal is not None:
            call.refuse(refusal)
            return
        self._start(call)

    def _refusal_for_load(self, call: MeshCall, now: float) -> Refusal | None:
        if call.nested:
            return None
        route = call.route
        load = PeerViewLoad(self._view, self.policy, now)
        usage = self.trees.usage(call.tree_key)
        refusal = self._tree_admission.check(
            call.tree_key,
            route.priority,
            usage,
            load,
            self._random_source.random(),
            now,
            route.objective_s,
        )
        if refusal is None:
            return None
        return Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, refusal.retry_after_s, str(refusal))

    def _on_token(self, call: MeshCall, granted: bool) -> None:
        if call.is_done:
            if granted and call.organisation is not None:
                self._token_broker.give_back(call.organisation.name)
            return
        if granted:
            call.has_token = True
            self._start_if_admitted(call)
            return
        name = call.organisation.name if call.organisation is not None else ""
        delay_s = jittered(
            self._token_broker.retry_after_s(name, call.route.objective_s), self._random_source
        )
        detail = self._token_broker.describe(name)
        call.refuse(Refusal(Reason.OVER_RATE, Outcome.NOT_RUN, delay_s, detail))

    def _start(self, call: MeshCall) -> None:
        if not call.nested:
            usage = self.trees.usage(call.tree_key)
            self._tree_admission.begin(
                call.request_id, call.tree_key, call.route.priority, usage, monotonic()
            )
        call.start()

    def choose_endpoint(self, call: MeshCall) -> Peer | None:
        """Return the peer whose endpoint gets the next attempt of a call, or None."""
        now = monotonic()
        if call.allowed_nodes is None:
            return call.placement.choose(now, call.excluded_nodes)
        return call.placement.choose_among(call.allowed_nodes, now)

    def send(
        self, peer: Peer, context: CallContext, request: HttpRequest, sink: AttemptResultSink
    ) -> Attempt | None:
        """Send an attempt to the node of an endpoint; None if the node is unknown."""
        return self._links.send(peer.node, context, request, sink)

    def debit_retry_budget(self, call: MeshCall) -> bool:
        """Debit the retry budgets of all services that a retry would reach.

        Returns False and debits nothing if one of the budgets is too low.
        """
        calls = {name: item.calls for name, item in self.trees.usage(call.tree_key).items()}
        calls[call.service] = max(1.0, calls.get(call.service, 1.0))
        return self._retry_budgets.try_debit(calls, monotonic())

    def retry_after_s(self) -> float:
        """Return a jittered delay in seconds for a refusal without a measured queue."""
        return jittered(DEFAULT_RETRY_AFTER_S, self._random_source)

    def on_finished(self, call: MeshCall, result: RequestResult) -> None:
        """Return an unused token, update the learnt costs, and log the result of a request."""
        self._open_calls.discard(call)
        if call.has_token and not result.ran and call.organisation is not None:
            self._token_broker.give_back(call.organisation.name)
        if not call.nested:
            self._tree_admission.end(call.request_id, monotonic())
        if result.usage and result.status < 400:
            self.trees.learn(call.tree_key, monotonic() - call.started_at, result.usage)
        if call.parent is not None:
            call.parent.end_nested(call, result.usage, failed=not 0 < result.status < 400)
        self._request_log.on_finished(call, result)

    def _refuse(self, exchange: Exchange, request_id: str, status: int, reason: Reason) -> None:
        version = -1 if self.policy is None else self.policy.version
        self._request_log.on_refused_early(request_id, status, reason.value, version)
        headers: Headers = []
        if status in RETRY_AFTER_STATUSES:
            headers.append((b"retry-after", b"%.3f" % self.retry_after_s()))
        exchange.respond(status, headers, b"")
