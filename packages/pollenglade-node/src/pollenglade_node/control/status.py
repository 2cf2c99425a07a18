"""Health, readiness and status responses of the control port."""

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

QUOTA_READY_TIMEOUT_S = 10.0
"""Time after which a node is ready even if it could not take its quota slots.

While the platform is unreachable no quota slot can be taken, and calls get quota from other
holders.
"""


class Status:
    """Reports the state of the components of a node; created when the node starts."""

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
        """Handle `GET /v1/status`."""
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
            "members": self._fleet.live_node_count,
            "slots_held": self._quota.leases.held_slots(monotonic()),
            "open_calls": len(self._entry.open_calls),
            "targets": [_target_status(target) for target in targets],
        }
        return json_response(200, document)

    async def serve_health(self, request: HttpRequest) -> HttpResponse:
        """Handle `GET /health`; the status is 200 while the process runs."""
        return json_response(200, {"status": "ok"})

    async def serve_ready(self, request: HttpRequest) -> HttpResponse:
        """Handle `GET /ready`; the status is 503 with what is missing, or 200."""
        missing = []
        if self._configuration.version == 0:
            missing.append("configuration")
        if self._serving.draining:
            missing.append("draining")
        if not self._is_quota_ready():
            missing.append("quota")
        return json_response(503 if missing else 200, {"missing": missing})

    def _is_quota_ready(self) -> bool:
        """Return whether quota permits the next host of a rolling restart to stop.

        Without this condition, the next holder could stop before this node grants quota again.
        """
        now = monotonic()
        if now - self._started_at > QUOTA_READY_TIMEOUT_S:
            return True
        live_nodes = self._fleet.live_nodes(self._settings.zone)
        return self._quota.leases.has_holders_for_preferred_slots(live_nodes, now)


def _target_status(target: Target) -> dict[str, object]:
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
