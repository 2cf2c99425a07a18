"""Applies evacuations of availability zones at this node and exchanges them with other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

import structlog

from pollenglade_core.dispatch.evacuation import EvacuationChange
from pollenglade_core.dispatch.evacuation import EvacuationRecords
from pollenglade_core.dispatch.evacuation import ZoneRecord
from pollenglade_core.dispatch.evacuation import decode_records
from pollenglade_core.dispatch.peer_view import PeerView

from ..membership.links import Links
from .endpoint_serving import EndpointServing

EVACUATION_TOPIC = "evacuation"

ZONE_CHECK_DELAY_S = 2.0
"""Time in seconds after a change before its zones are compared with the known ones.

A node that has just started reads its rows before it knows the members.
"""

log = structlog.get_logger()


class EvacuationExchange:
    """Merges the records of the store and of peers, and applies them to choice and serving.

    `known_zones` are the zones of the settings. `on_change` is called after each new record, so
    that it is passed on, also if it changes no zone here.
    """

    def __init__(
        self,
        zone: str,
        known_zones: Set[str],
        view: PeerView,
        serving: EndpointServing,
        links: Links,
    ) -> None:
        self._zone = zone
        self._known_zones = known_zones
        self._view = view
        self._serving = serving
        self._links = links
        self._records = EvacuationRecords()
        self._check_timer: asyncio.TimerHandle | None = None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def records(self) -> tuple[ZoneRecord, ...]:
        """All records, as state messages carry them."""
        return tuple(self._records.record_by_zone.values())

    @property
    def active_count(self) -> int:
        """Number of evacuated zones."""
        return len(self._records.active_zones)

    def apply_row(self, zone: str, era: int | None, version: int) -> None:
        """Apply a row of the store that evacuates a zone."""
        self._on_change(self._records.apply_row(zone, era or 0, version), "store")

    def apply_deletion(self, zone: str, era: int | None, version: int) -> None:
        """Apply the deletion of a row of the store."""
        self._on_change(self._records.apply_deletion(zone, era or 0, version), "store")

    def apply_read(self, era: int | None, version: int, version_by_zone: Mapping[str, int]) -> None:
        """Apply the rows of a full read of the store, with the version of each."""
        self._on_change(self._records.apply_read(era or 0, version, version_by_zone), "store")

    def apply_records(self, records: Iterable[ZoneRecord], source: str) -> None:
        """Apply the records of a peer."""
        self._on_change(self._records.merge(records), source)

    def ask(self, node: str) -> None:
        """Query a peer for its records."""
        self._links.query_node(
            node,
            EVACUATION_TOPIC,
            None,
            lambda reply: self.apply_records(decode_records(reply), node),
        )

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply with all records."""
        reply([record.to_wire() for record in self.records])

    def _on_change(self, change: EvacuationChange, source: str) -> None:
        for finding in change.findings:
            log.warning("evacuation_rejected", evacuated=finding.place, reason=finding.text)
        if not change.has_new_records:
            return
        for zone in change.applied:
            log.info("evacuation_applied", evacuated=zone, source=source)
        for zone in change.ended:
            log.info("evacuation_ended", evacuated=zone, source=source)
        if change.applied or change.ended:
            self._apply_to_node()
        self.on_change()

    def _apply_to_node(self) -> None:
        active_zones = self._records.active_zones
        self._view.evacuated_zones = active_zones
        self._serving.set_zone_evacuated(self._zone in active_zones)
        if self._check_timer is None:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(ZONE_CHECK_DELAY_S, self._check_zones)

    def _check_zones(self) -> None:
        self._check_timer = None
        member_zones = self._view.zones
        for finding in self._records.findings(member_zones | self._known_zones):
            log.warning("evacuation_rejected", evacuated=finding.place, reason=finding.text)
        if self._records.are_all_evacuated(member_zones):
            log.error(
                "all_zones_evacuated",
                zones=sorted(member_zones),
                advice="all requests are refused; delete the row of a zone to serve again",
            )

    def close(self) -> None:
        """Cancel the pending check of the zones."""
        if self._check_timer is not None:
            self._check_timer.cancel()
