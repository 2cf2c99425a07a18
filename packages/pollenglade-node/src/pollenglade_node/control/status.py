"""Health, readiness and status of a node on its control port."""

from __future__ import annotations

from time import monotonic

from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

from ..entry.entry import Entry
from ..membership.fleet import Fleet
from ..quota.quota_service import QuotaService
from ..serving.serving import Serving
from ..serving.target import Target
from ..settings import NodeSettings
from .configuration_sync import ConfigurationSync

QUOTA_SETTLE_LIMIT_S = 10.0
"""Time after which a node is ready although it could not claim its slots.

With the platform down no slot can be claimed, and calls get quota from other holders.
"""


class Status:
    """Reads the parts of a node; created when the node starts."""

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        serving: Serving,
        fleet: Fleet,
        quota: QuotaService,
        entry: Entry,
        configuration: ConfigurationSync,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._serving = serving
        self._fleet = fleet
        self._quota = quota
        self._entry = entry
        self._configuration = configuration
        self._started_at = monotonic()

    async def serve_status(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/status`."""
        current = self._configuration.history.current
        targets = self._serving.targets_by_address.values()
        document = {
            "node": self._settings.node,
            "incarnation": self._incarnation,
            "zone": self._settings.zone,
            "region": self._settings.region,
            "draining": self._serving.draining,
            "configuration_version": current.version,
            "configuration_digest": current.digest(),
            "members": self._fleet.size,
            "slots_held": self._quota.leases.held_slots(monotonic()),
            "open_calls": len(self._entry.open_calls),
            "targets": [_target(target) for target in targets],
        }
        return json_response(200, document)

    async def serve_health(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /health`; the process runs."""
        return json_response(200, {"status": "ok"})

    async def serve_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /ready` with 503 and what is missing, or with 200."""
        missing = []
        if self._configuration.version == 0:
            missing.append("configuration")
        if self._serving.draining:
            missing.append("draining")
        if not self._has_quota():
            missing.append("quota")
        return json_response(503 if missing else 200, {"missing": missing})

    def _has_quota(self) -> bool:
        """Return whether the next host of a rolling restart may stop as far as quota goes.

        Without this the next holder could leave before this node grants again.
        """
        now = monotonic()
        if now - self._started_at > QUOTA_SETTLE_LIMIT_S:
            return True
        live = self._fleet.live_nodes(self._settings.zone)
        return self._quota.leases.is_settled(live, now)


def _target(target: Target) -> dict[str, object]:
    level = target.admission.level
    return {
        "service": target.service,
        "address": str(target.address),
        "state": target.state.value,
        "slots": target.slots,
        "in_flight": target.admission.in_flight,
        "waiting": target.admission.waiting,
        "level": level.importance.name.lower(),
        "level_fraction": round(level.fraction, 3),
    }
