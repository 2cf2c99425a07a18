"""A mesh node: creates and connects its components."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from math import inf
from time import monotonic

import structlog

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.admission.stop_window import StopWindow
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.retry_budget import ServiceRetryBudgets
from pollenglade_core.policy.source_checks import SourceChecks
from pollenglade_core.policy.traffic_policy import TrafficPolicy
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_server import HttpServer
from pollenglade_net.link_message import Hello
from pollenglade_net.memory_budget import MemoryBudget
from pollenglade_net.server_limits import ServerLimits

from ..membership.links import Links
from ..serving.crash_notices import CRASH_LEDGER_TOPIC
from ..serving.crash_notices import CRASH_NOTICES_TOPIC
from ..serving.crash_notices import CrashNotices
from .catch_up import MEMBERS_TOPIC
from .catch_up import CatchUp
from .departure_exchange import DEPARTURE_TOPIC
from .departure_exchange import DepartureExchange
from .endpoint_serving import EndpointServing
from .entry import MeshEntry
from .evacuation_exchange import EVACUATION_TOPIC
from .evacuation_exchange import EvacuationExchange
from .header_names import HeaderNames
from .loop_delay import LoopDelay
from .mesh_metrics import LatencyHistogram
from .mesh_settings import MeshSettings
from .node_state import MeshMember
from .node_state import NodeState
from .peer_exchange import STATE_TOPIC
from .peer_exchange import PeerExchange
from .policy_exchange import POLICY_TOPIC
from .policy_exchange import PolicyDecoder
from .policy_exchange import PolicyExchange
from .request_log import RequestLog
from .token_broker import LOAN_TOPIC
from .token_broker import TokenBroker
from .tree_exchange import TREES_TOPIC
from .tree_exchange import TreeExchange

DRAIN_LINGER_S = 2.3
"""Time in seconds after SIGTERM in which clients detect that the node is not ready; requests on
kept-alive connections are served until then."""

EARLY_REQUEST_S = 2.8
"""Time in seconds after SIGTERM until which requests of local runs are accepted whatever their
deadline is. What was sent in the first 3 s may be broken off in the last sixth of the grace period.
"""

MAX_LINGER_FRACTION = 0.5
"""Largest fraction of the time for a stop in which new requests are accepted; the rest is left to
finish them."""

MAX_STOP_MARGIN_S = 0.15
"""Longest time in seconds before the end of the grace period at which remaining work is cancelled.

It covers the time until the process handles SIGTERM, and the responses to what is cancelled.
"""

STOP_MARGIN_FRACTION = 1 / 20
"""Largest fraction of the grace period that this may be; work that has not ended by its last sixth
may be cut off, what ends earlier may not."""

RESPONSES_FRACTION = 2 / 3
"""Fraction of this margin in which the responses to cancelled work leave the process."""

DIVISION_DELAY_S = 0.1
"""Time in seconds in which changes of the members are collected before limits are divided anew.

With hundreds of nodes and organisations one division takes some 30 ms.
"""

CLEARANCE_S = 2.0
"""Time in seconds after a crash in which requests that were in flight elsewhere complete and are
cleared of it."""

MAX_LOGGED_REQUESTS = 8
"""Requests that the log names when the end of the process interrupts them."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Time in seconds between checks for running work during the drain."""

log = structlog.get_logger()


def work_limit_s(stop_limit_s: float) -> float:
    """Return the time in seconds after which a stop that may take `stop_limit_s` ends all work."""
    return stop_limit_s - min(MAX_STOP_MARGIN_S, STOP_MARGIN_FRACTION * stop_limit_s)


class MeshNode:
    """One node of the mesh; call `start`, then `stop_gracefully`, then `close`.

    `on_quarantined` is called with the crashes for which a fingerprint is refused from now on.
    """

    def __init__(self, settings: MeshSettings, names: HeaderNames, decode: PolicyDecoder) -> None:
        self._settings = settings
        random_source = random.Random(random.SystemRandom().getrandbits(64))
        # Orders the starts of one node, except where the wall clock steps back between them.
        incarnation = time.time_ns() // 1_000_000
        self.member = MeshMember(
            settings.node,
            settings.zone,
            settings.service,
            str(settings.link_address),
            incarnation,
        )
        self._crash_ledger = CrashLedger()
        self.request_log = RequestLog()
        self._loop_delay = LoopDelay()
        self.memory_budget = MemoryBudget(settings.memory_budget_bytes)
        self.serving = EndpointServing(
            f"{settings.node}/{incarnation:x}",
            settings.service,
            settings.endpoint_address,
            names,
            self._crash_ledger,
            random_source,
            self.request_log,
            self.memory_budget,
        )
        hello = Hello(settings.node, incarnation, settings.zone)
        self._links = Links(
            hello,
            self.serving,
            memory_budget=self.memory_budget,
            max_accepted_links=settings.max_accepted_links,
        )
        self.view = PeerView(settings.zone, random_source, settings.region_by_zone)
        self.view.add(settings.node, settings.zone, settings.service)
        self._local_peer = self.view.peer_by_node[settings.node]
        self.peers = PeerExchange(
            self.member, self._links, self.view, self._current_state, random_source
        )
        self.policy = PolicyExchange(
            decode, self._links, lambda: self.peers.other_nodes, random_source
        )
        self.source_checks = SourceChecks(random_source)
        self._retry_budgets = ServiceRetryBudgets(
            settings.retries, monotonic(), restarted=not settings.first_start
        )
        self._token_broker = TokenBroker(
            settings.node, self._links, settings.allowance, settings.first_start, random_source
        )
        # Every node may be the entry node of a request and checks it for quarantine, so all nodes
        # get the notices.
        self._crash_notices = CrashNotices(
            self._crash_ledger, self._links, lambda service: self.peers.nodes, random_source
        )
        self._entry = MeshEntry(
            names,
            settings.service,
            self.serving,
            self._links,
            self.view,
            self._token_broker,
            self._retry_budgets,
            self._crash_ledger,
            self.request_log,
            random_source,
        )
        self.trees = TreeExchange(self._entry.trees, self._links)
        self.evacuation = EvacuationExchange(
            settings.zone,
            frozenset(settings.region_by_zone),
            self.view,
            self.serving,
            self._links,
        )
        self._catch_up = CatchUp(self.peers, self._links, self._crash_notices, self.evacuation)
        self.departures = DepartureExchange(self.view, self._links, self.serving)
        self._limits = ServerLimits(
            cancel_on_eof=True, max_connections=settings.max_caller_connections
        )
        self._server = HttpServer(self._handle, self._limits, self.memory_budget)
        self._tasks: set[asyncio.Task[None]] = set()
        self._division_timer: asyncio.TimerHandle | None = None
        self.on_quarantined: Callable[[list[CrashNotice]], None] = lambda notices: None
        self._register_callbacks()

    def _register_callbacks(self) -> None:
        topics = self._links.query_handler_by_topic
        topics[STATE_TOPIC] = self.peers.on_query
        topics[POLICY_TOPIC] = self.policy.on_query
        topics[EVACUATION_TOPIC] = self.evacuation.on_query
        topics[DEPARTURE_TOPIC] = self.departures.on_query
        topics[TREES_TOPIC] = self.trees.on_query
        topics[LOAN_TOPIC] = self._token_broker.on_query
        topics[CRASH_NOTICES_TOPIC] = self._crash_notices.on_query
        topics[CRASH_LEDGER_TOPIC] = self._crash_notices.reply_with_ledger
        topics[MEMBERS_TOPIC] = self._catch_up.on_query
        self.policy.on_change = self._on_policy_changed
        # What a peer knows arrives before its policy, without which no request is accepted.
        self.policy.on_ask_peer = self._catch_up.ask
        self.evacuation.on_change = self._on_evacuation_changed
        self.peers.on_evacuations = self.evacuation.apply_records
        self.peers.on_members_changed = self._on_members_changed
        self.peers.on_peer_state = self._on_peer_state
        self.peers.on_endpoint_state = self.departures.on_peer_state
        self.peers.on_source_age = self._on_source_age
        self.serving.on_endpoint_changed = self._on_endpoint_changed
        self.serving.on_crash = self._on_crash
        self._links.on_peer_disconnected = self.peers.on_disconnected
        self._links.on_peer_suspected = self.peers.on_suspected
        self._links.on_peer_replaced = self.peers.on_replaced
        self._token_broker.is_alive = self.peers.is_alive

    @property
    def is_ready(self) -> bool:
        """Whether the node has a policy and is not draining, so that clients may send requests.

        The local endpoint need not be ready.
        """
        return self.policy.current is not None and not self.serving.is_draining

    def _current_state(self) -> NodeState:
        return NodeState(
            self.member,
            self.serving.is_available,
            self.serving.endpoint,
            self.serving.load(),
            self.policy.version,
            self._entry.use_by_service,
            self.serving.is_endpoint_leaving,
            self.evacuation.records,
            self.source_checks.age_s(monotonic()),
        )

    def _on_evacuation_changed(self) -> None:
        self._refresh_local_peer()
        self.peers.push_to_some()

    def _on_policy_changed(self, policy: TrafficPolicy) -> None:
        if self._entry.policy is None:
            self.departures.limit_wait()
        self._entry.apply_policy(policy)
        limits = policy.limits
        self._limits.head_bytes = limits.head_bytes
        self._limits.body_bytes = limits.body_bytes
        self._limits.head_timeout_s = limits.head_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self._token_broker.apply(policy.organisations_by_name.values(), self.peers.nodes)
        self.peers.push_to_some()
        unknown_regions = policy.regions - set(self._settings.region_by_zone.values())
        if unknown_regions:
            log.warning("regions_unknown", regions=sorted(unknown_regions), version=policy.version)
        rules = policy.services_by_name.get(self._settings.service)
        if rules is not None:
            self.serving.set_warm_up_rules(rules.warm_up)
            self._spawn_endpoint_discovery(rules.health_path)

    def _spawn_endpoint_discovery(self, health_path: str) -> None:
        task = asyncio.get_running_loop().create_task(self.serving.discover_endpoint(health_path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_members_changed(self) -> None:
        self._retry_budgets.set_node_count(len(self.peers.nodes))
        self.source_checks.set_node_count(len(self.peers.nodes))
        if self._division_timer is None:
            loop = asyncio.get_running_loop()
            self._division_timer = loop.call_later(DIVISION_DELAY_S, self._divide_limits)

    def _divide_limits(self) -> None:
        self._division_timer = None
        if self.policy.current is not None:
            organisations = self.policy.current.organisations_by_name.values()
            self._token_broker.apply(organisations, self.peers.nodes)

    def _on_peer_state(self, node: str, policy_version: int) -> None:
        if self.policy.current is None:
            self._catch_up.ask(node, has_policy=policy_version >= 0)
        self.policy.on_peer_version(node, policy_version)
        self.trees.on_peer_seen(node)

    def _on_source_age(self, age_s: float) -> None:
        self.source_checks.record(monotonic() - age_s)

    def on_source_checked(self, began_at: float) -> None:
        """Record a check of the policy source and tell some peers, which then make none."""
        self.source_checks.on_success(began_at)
        self.peers.push_to_some()

    def _on_endpoint_changed(self) -> None:
        self._refresh_local_peer()
        if self.serving.is_endpoint_leaving:
            self.peers.push_now()
            self.departures.on_leaving(self.serving.endpoint)
        else:
            self.peers.push()

    def _on_crash(self, notices: list[CrashNotice]) -> None:
        task = asyncio.get_running_loop().create_task(self._report_crash(notices))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_crash(self, notices: list[CrashNotice]) -> None:
        fingerprints = {notice.fingerprint for notice in notices if not notice.cleared}
        await asyncio.gather(
            self._crash_notices.notify(self._settings.service, notices),
            asyncio.sleep(CLEARANCE_S),
        )
        now = monotonic()
        for fingerprint in sorted(fingerprints):
            kept = self._crash_ledger.quarantine_notices(fingerprint, now)
            if kept:
                log.warning("request_quarantined", fingerprint=fingerprint, crashes=len(kept))
                self.on_quarantined(kept)

    def restore_quarantine(self, notices: list[CrashNotice]) -> None:
        """Apply the notices for which a former process of some node refused a fingerprint."""
        self._crash_ledger.apply_notices(notices, monotonic())

    def _handle(self, exchange: Exchange) -> None:
        self._refresh_local_peer()
        self._entry.handle(exchange)

    def _refresh_local_peer(self) -> None:
        now = monotonic()
        serving = self.serving
        self._local_peer.apply_state(
            serving.endpoint, serving.is_available, serving.is_endpoint_leaving, now
        )
        self._local_peer.apply_load_report(serving.load(), now)

    def describe_limit(self, organisation: str) -> str:
        """Return the tokens, share and holders of an organisation's limit at this node, as text."""
        return self._token_broker.describe(organisation)

    def answers(self) -> dict[tuple[int, str], int]:
        """Return the number of responses by status and reason."""
        return dict(self.request_log.answers)

    def cancelled_attempts(self) -> dict[str, int]:
        """Return the number of cancelled attempts at this node, by stage."""
        return {stage.value: n for stage, n in self.request_log.cancelled_by_stage.items()}

    def endpoint_requests(self) -> int:
        """Return the number of requests that were sent to the local endpoint."""
        return self.serving.sent_count

    def declined_attempts(self) -> int:
        """Return the number of attempts at this node that found no free slot."""
        return self.serving.declined_count

    def latency(self) -> LatencyHistogram:
        """Return the durations of requests by decision."""
        return self.request_log.latency

    def gauges(self) -> dict[str, float]:
        """Return the current value of each gauge by name."""
        load = self.serving.load()
        now = monotonic()
        return {
            "members": len(self.peers.nodes),
            "members_unreachable": len(self.peers.silent_nodes()),
            "zones_evacuated": self.evacuation.active_count,
            "endpoints_usable": sum(
                self.view.is_usable(peer, now) for peer in self.view.peer_by_node.values()
            ),
            "policy_version": self.policy.version,
            "requests_open": self._entry.open_request_count,
            "loop_delay_seconds": self._loop_delay.longest_s,
            "endpoint_running": load.running,
            "endpoint_waiting": load.waiting,
            "endpoint_limit": load.limit,
            "endpoint_expected_seconds": load.expected_s,
            "endpoint_pace": 1.0 if load.pace is None else load.pace,
            "endpoint_failure_rate": load.failure_rate,
            "endpoint_rate_limit": inf if load.rate_limit is None else load.rate_limit,
        }

    async def start(self) -> None:
        """Open the listening ports and join the mesh."""
        settings = self._settings
        await self._server.start(settings.caller_address.host, settings.caller_address.port)
        await self._links.start(settings.link_address)
        self.departures.start(restarted=not settings.first_start)
        self.peers.start()
        self._loop_delay.start()
        log.info("node_started", incarnation=self.member.incarnation, service=settings.service)

    async def stop_gracefully(self, requested_at: float | None = None) -> None:
        """Drain the node; return when no work is running or the grace period is about to end.

        The grace period begins at `requested_at`, in seconds on the monotonic clock, or now.
        """
        started_at = monotonic() if requested_at is None else requested_at
        log.info("node_draining", delay_s=round(monotonic() - started_at, 3))
        self.serving.is_draining = True
        self._server.drain()
        self._on_endpoint_changed()
        limit_s = work_limit_s(self._settings.stop_limit_s)
        linger_s = min(DRAIN_LINGER_S, limit_s * MAX_LINGER_FRACTION)
        early_s = min(EARLY_REQUEST_S, limit_s * MAX_LINGER_FRACTION)
        self._entry.stop_accepting(
            StopWindow(started_at + linger_s, started_at + early_s, started_at + limit_s)
        )
        await asyncio.sleep(started_at + linger_s - monotonic())
        self.serving.give_back_waiting()
        await self._finish_work(started_at + limit_s)
        if self._entry.is_busy:
            log.warning(
                "requests_interrupted",
                open=self._entry.open_request_count,
                first=self._entry.describe_open_requests(MAX_LOGGED_REQUESTS),
            )
            self._entry.end_open_requests()
        # Runs whose requests have been ended respond next, to callers of this and other nodes.
        responses_s = RESPONSES_FRACTION * (self._settings.stop_limit_s - limit_s)
        await self._finish_work(started_at + limit_s + responses_s)
        log.info("node_drained", seconds=round(monotonic() - started_at, 1))

    async def _finish_work(self, until: float) -> None:
        """Wait until no work is left, up to a time in seconds on the monotonic clock."""
        while self._has_unfinished_work() and (remaining_s := until - monotonic()) > 0.0:
            await asyncio.sleep(min(DRAIN_POLL_INTERVAL_S, remaining_s))

    def _has_unfinished_work(self) -> bool:
        """Whether requests or calls are running, or responses to them have not been read yet."""
        return (
            self._entry.is_busy
            or self.serving.is_busy
            or self._server.has_unsent_output
            or self._links.has_unsent_output
        )

    async def close(self) -> None:
        """Close all ports and connections, and cancel background tasks."""
        self._loop_delay.close()
        if self._division_timer is not None:
            self._division_timer.cancel()
        self.departures.close()
        self.peers.close()
        self.policy.close()
        self.evacuation.close()
        await self._server.close()
        await self.serving.close()
        await self._links.close()
        for task in self._tasks:
            task.cancel()
