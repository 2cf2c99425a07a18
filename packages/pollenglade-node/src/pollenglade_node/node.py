"""The node: creates its components, connects them, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from time import monotonic

import structlog

from pollenglade_core.admission.limit import ConcurrencyLimit
from pollenglade_core.admission.limit import FixedLimit
from pollenglade_core.admission.limit import GradientLimit
from pollenglade_core.admission.limit import NoLimit
from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.source_levels import SourceLevels
from pollenglade_core.calls.call_handles import CallHandles
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.drain import AnnounceLeaving
from pollenglade_core.drain import Drain
from pollenglade_core.drain import DrainAction
from pollenglade_core.drain import DrainState
from pollenglade_core.drain import RefuseNew
from pollenglade_core.drain import RunningCalls
from pollenglade_core.drain import SendDrainOnLinks
from pollenglade_core.drain import StopRequested
from pollenglade_core.membership.member import Member
from pollenglade_core.membership.member import ServiceOffer
from pollenglade_core.membership.membership import GossipMessage
from pollenglade_core.routing.routing import Router
from pollenglade_net.address import Address
from pollenglade_net.async_handler import async_handler
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.connection_pool import ConnectionPool
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_server import HttpServer
from pollenglade_net.link_message import Hello
from pollenglade_net.memory_budget import MemoryBudget
from pollenglade_net.platform_client import PlatformClient
from pollenglade_net.server_limits import ServerLimits

from .claim_service import CLAIM_TOPIC
from .claim_service import ClaimService
from .control.configuration_sync import ConfigurationSync
from .control.control import ControlApi
from .control.control import add_target_route
from .control.metrics import Metrics
from .control.metrics import MetricSources
from .control.status import Status
from .entry.call_counter import CallCounter
from .entry.count_batches import CountBatches
from .entry.entry import Entry
from .membership.fleet import Fleet
from .membership.gossip import Gossip
from .membership.links import Links
from .membership.presence import Presence
from .quota.quota_service import SETTLE_TOPIC
from .quota.quota_service import TOKEN_REQUEST_TOPIC
from .quota.quota_service import QuotaService
from .serving.crash_notices import CRASH_LEDGER_TOPIC
from .serving.crash_notices import CRASH_NOTICES_TOPIC
from .serving.crash_notices import CrashNotices
from .serving.serving import Serving
from .settings import NodeSettings

QUOTA_RELEASE_TIMEOUT_S = 2.0
"""Longest wait for the release of quota slots when the node stops."""

DRAIN_POLL_INTERVAL_S = 0.05
TARGET_EXPIRY_INTERVAL_S = 0.5

MAX_RELAY_CONTACT_AGE_S = 3.0
"""Age of the local zone's latest platform contact from which the other nodes of the zone poll too.

Each of them polls with a probability that follows from `SUBSTITUTE_RELAY_COUNT`.
"""

SUBSTITUTE_RELAY_COUNT = 2.0
"""Average number of nodes that poll in each interval while a zone has no platform contact."""

log = structlog.get_logger()


def _local_member(settings: NodeSettings, incarnation: int) -> Member:
    link_address = settings.advertised_link_address or settings.link_address
    return Member(
        settings.node,
        incarnation,
        settings.zone,
        settings.region,
        Address.parse(link_address).host,
        link_address,
        settings.advertised_control_address or settings.control_address,
    )


class Node:
    """A pollenglade node; call `start`, then `stop_gracefully`, then `close`."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._target_expiry_timer: asyncio.TimerHandle | None = None
        # The start time in milliseconds orders the incarnations of a node. If the clock of the host
        # is set back, an incarnation can occur twice; fencing by epochs and row versions tolerates
        # that.
        incarnation = time.time_ns() // 1_000_000
        self.incarnation = incarnation
        secure_source = random.SystemRandom()
        random_source = random.Random(secure_source.getrandbits(64))
        self._random_source = random_source
        self._target_pool = ConnectionPool(max_idle=512)
        self._peer_client = HttpClient(ConnectionPool(source_host=settings.source_host))
        platform = Address.parse(settings.platform_url.removeprefix("http://"))
        self._platform = PlatformClient(
            platform,
            settings.zone,
            random_source,
            client=HttpClient(ConnectionPool(source_host=settings.source_host)),
        )
        self.ledger = CrashLedger()
        self.serving = Serving(
            f"{settings.node}/{incarnation:x}",
            CallHandles(secure_source),
            self._target_pool,
            self._create_limit,
            random_source,
            self.ledger,
        )
        hello = Hello(settings.node, incarnation, settings.zone)
        memory_budget = MemoryBudget()
        self.links = Links(hello, self.serving, settings.source_host, memory_budget)
        self.gossip = Gossip(_local_member(settings, incarnation), self._peer_client, random_source)
        self.fleet = Fleet(self.gossip)
        self.presence = Presence(self._platform, lambda: self.fleet.local_member, random_source)
        self.quota = QuotaService(
            settings.node,
            incarnation,
            settings.zone,
            self.fleet,
            self.links,
            self._platform,
            random_source,
        )
        self.crash_notices = CrashNotices(
            self.ledger, self.links, self.fleet.nodes_of_service, random_source
        )
        store = ConfigurationStore(self._platform, self._platform, random_source)
        self.configuration = ConfigurationSync(store, self._peer_client, random_source)
        self.claims = ClaimService(
            f"{settings.node}/{incarnation:x}",
            self._platform,
            self.fleet.is_process_alive,
            self.links,
            random_source,
        )
        self.router = Router(settings.zone)
        self.counter = CallCounter()
        self.batches = CountBatches(settings.node, incarnation, self.counter, settings.log_totals_s)
        self.entry = Entry(
            settings.node,
            incarnation,
            self.serving,
            self.router,
            SourceLevels(),
            self.links,
            self.quota,
            self.claims,
            self.counter,
            random_source,
            memory_budget,
        )
        self.metrics = Metrics(settings.node, settings.zone, self._metrics_sources())
        self.status = Status(
            settings,
            incarnation,
            self.serving,
            self.fleet,
            self.quota,
            self.entry,
            self.configuration,
        )
        self._caller_server = HttpServer(
            self.entry.handle, ServerLimits(cancel_on_eof=True), memory_budget
        )
        self._control = ControlApi()
        self._control_server = HttpServer(
            async_handler(self._control.handle), memory_budget=memory_budget
        )
        self._connect_components()

    def _metrics_sources(self) -> MetricSources:
        return MetricSources(
            self.counter,
            self.serving,
            self.quota,
            self.links,
            self.configuration,
            self.fleet,
            lambda: len(self.entry.open_calls),
        )

    def _create_limit(self, slots: int) -> ConcurrencyLimit:
        if self._settings.concurrency_limit == "none":
            return NoLimit()
        if self._settings.concurrency_limit == "fixed":
            return FixedLimit(slots)
        return GradientLimit(slots)

    def _connect_components(self) -> None:
        self.links.query_handler_by_topic[TOKEN_REQUEST_TOPIC] = self.quota.handle_token_request
        self.links.query_handler_by_topic[SETTLE_TOPIC] = self.quota.handle_settlements
        self.links.on_peer_drain = self._on_peer_drain
        self.links.query_handler_by_topic[CRASH_NOTICES_TOPIC] = self.crash_notices.on_query
        self.links.query_handler_by_topic[CLAIM_TOPIC] = self.claims.reply_status
        self.links.query_handler_by_topic[CRASH_LEDGER_TOPIC] = self.crash_notices.reply_with_ledger
        self.serving.notify = self.crash_notices.notify
        self.serving.on_targets_changed = self._on_targets_changed
        self.configuration.on_change = self._on_configuration_changed
        self.configuration.is_relay = self._should_poll_platform
        self.configuration.on_platform_contact = self._on_platform_contact
        self.presence.is_relay = self.fleet.is_platform_poller
        self.presence.is_sweeper = self.fleet.is_sweeper
        self.presence.on_members = self.gossip.merge_announced
        self.presence.on_renewed = self._on_announcement_renewed
        self.gossip.configuration_version = lambda: self.configuration.version
        self.gossip.contact_age_s = lambda: self.quota.leases.zone_contact_age_s(monotonic())
        self.gossip.on_change = self._on_fleet_changed
        self.gossip.on_message = self._on_gossip_message
        self._control.add("POST", "/v1/gossip", self.gossip.serve_gossip)
        self._control.add("POST", "/v1/probe", self.gossip.serve_probe)
        add_target_route(self._control, self.serving)
        self._control.add("GET", "/v1/configuration", self.configuration.serve)
        self._control.add("GET", "/v1/status", self.status.serve_status)
        self._control.add("GET", "/v1/counts", self.batches.serve)
        self._control.add("GET", "/metrics", self.metrics.serve)
        self._control.add("GET", "/health", self.status.serve_health)
        self._control.add("GET", "/ready", self.status.serve_ready)

    def _on_configuration_changed(self, configuration: Configuration) -> None:
        self.entry.configuration = configuration
        self.quota.apply(configuration)
        self.gossip.push()

    def _on_targets_changed(self) -> None:
        now = monotonic()
        previous_services = {offer.service for offer in self.fleet.local_member.offers}
        offers = tuple(
            ServiceOffer(target.service, target.slots)
            for target in self.serving.targets_by_address.values()
            if target.is_ready(now)
        )
        for service in {offer.service for offer in offers} - previous_services:
            self.crash_notices.request_ledgers(service)
        self.fleet.set_offers(offers)
        self.presence.announce_now()
        self._on_fleet_changed()

    def _on_fleet_changed(self) -> None:
        self.links.peers_by_node = self.fleet.peer_addresses()
        self.crash_notices.send_to_new_nodes(self.fleet.record_offers())
        self.router.update(self.fleet.endpoints(), monotonic())

    def _on_peer_drain(self, node: str, incarnation: int) -> None:
        self.fleet.on_peer_drain(node, incarnation)
        self._on_fleet_changed()

    def _on_announcement_renewed(self, requested_at: float) -> None:
        self.quota.leases.on_renewed(requested_at, monotonic())

    def _on_platform_contact(self, requested_at: float) -> None:
        now = monotonic()
        self.quota.leases.on_zone_contact(now - requested_at, now)

    def _on_gossip_message(self, message: GossipMessage, sender: Member | None) -> None:
        now = monotonic()
        if message.zone == self._settings.zone:
            self.quota.leases.on_peer_message(now)
            if message.contact_age_s is not None:
                self.quota.leases.on_zone_contact(message.contact_age_s, now)
        if sender is not None:
            address = Address.parse(sender.control_address)
            self.configuration.on_peer_version(message.configuration_version, address)

    def _should_poll_platform(self) -> bool:
        """Return whether to poll now, for the zone or in place of nodes that cannot do so."""
        if self.fleet.is_platform_poller():
            return True
        age_s = self.quota.leases.zone_contact_age_s(monotonic())
        if age_s is not None and age_s < MAX_RELAY_CONTACT_AGE_S:
            return False
        # The probability keeps the reads of all nodes at a few per second, also in a long outage.
        return self._random_source.random() < SUBSTITUTE_RELAY_COUNT / self.fleet.live_count(
            self._settings.zone
        )

    async def start(self) -> None:
        """Open the ports and join the fleet."""
        caller_address = Address.parse(self._settings.caller_address)
        control_address = Address.parse(self._settings.control_address)
        await self._caller_server.start(caller_address.host, caller_address.port)
        await self.links.start(Address.parse(self._settings.link_address))
        await self._control_server.start(control_address.host, control_address.port)
        await self.configuration.start()
        await self.gossip.start()
        await self.presence.start()
        await self.quota.start()
        self.batches.start()
        self._expire_targets()
        log.info("node_started", incarnation=self.incarnation)

    def _expire_targets(self) -> None:
        self._target_expiry_timer = self._loop.call_later(
            TARGET_EXPIRY_INTERVAL_S, self._expire_targets
        )
        self.serving.expire_targets()

    async def stop_gracefully(self) -> None:
        """Refuse new calls, notify all peers, release the quota slots and wait for running calls.

        Running calls get at most `drain_limit_s` to end; the linger time follows. New calls are
        accepted if their deadline lies before that.
        """
        log.info("node_draining")
        started_at = monotonic()
        drain = Drain(limit_s=self._settings.drain_limit_s)
        drain.handle(RunningCalls(self._running_calls()), started_at)
        self._execute_drain_actions(drain.handle(StopRequested(), started_at))
        self.entry.ends_at = drain.ends_at
        await self.gossip.exchange_with_zone(self._settings.zone)
        await self.quota.release(QUOTA_RELEASE_TIMEOUT_S)
        while drain.state is not DrainState.CLOSED:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            self._execute_drain_actions(
                drain.handle(RunningCalls(self._running_calls()), monotonic())
            )
        log.info("node_drained", seconds=round(monotonic() - started_at, 1))

    def _execute_drain_actions(self, actions: Sequence[DrainAction]) -> None:
        """Carry out drain actions, except those that `close` covers.

        `close` closes the idle connections with the listener, after the linger time, because a
        caller may be about to use one. It also covers `Exit`.
        """
        for action in actions:
            if isinstance(action, RefuseNew):
                self.serving.draining = True
                self._caller_server.drain()
            elif isinstance(action, AnnounceLeaving):
                self.fleet.set_leaving()
                self.presence.announce_now()
                self._on_fleet_changed()
            elif isinstance(action, SendDrainOnLinks):
                self.links.send_drain()

    def _running_calls(self) -> int:
        busy_links = 1 if self.links.is_busy else 0
        return len(self.entry.open_calls) + len(self.serving.calls_by_id) + busy_links

    async def close(self) -> None:
        """Close all components, ports and connections."""
        if self._target_expiry_timer is not None:
            self._target_expiry_timer.cancel()
        self.batches.close()
        self.metrics.close()
        await self.quota.close()
        await self.claims.close()
        await self.presence.close()
        await self.gossip.close()
        await self.configuration.close()
        await self._caller_server.close()
        await self.links.close()
        await self.serving.close()
        await self._control_server.close()
        await self._target_pool.close()
        await self._peer_client.close()
        await self._platform.close()
