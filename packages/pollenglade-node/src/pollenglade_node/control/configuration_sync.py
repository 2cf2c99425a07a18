"""Updates the configuration of the node to newer versions of the platform or of peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from urllib.parse import parse_qs

import orjson
import structlog

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.configuration_wire import change_from_wire
from pollenglade_core.configuration.configuration_wire import change_to_wire
from pollenglade_core.configuration.configuration_wire import from_wire
from pollenglade_core.configuration.configuration_wire import to_wire
from pollenglade_core.finding import Findings
from pollenglade_core.randomness import RandomSource
from pollenglade_net.address import Address
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.configuration_store import Unreadable
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

from ..supervision import keep_running

POLL_INTERVAL_S = 1.0
"""Interval at which a node that polls the platform for its zone does so.

Together with gossip it bounds the time until a new version is in force.
"""

PULL_TIMEOUT_S = 1.0

log = structlog.get_logger()


class ConfigurationSync:
    """Owns the configuration history; polls the platform for the zone and pulls from peers.

    Until it has a first version, a node polls even if other nodes poll for its zone.
    """

    def __init__(self, store: ConfigurationStore, client: HttpClient, source: RandomSource) -> None:
        self._store = store
        self._client = client
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._poll_task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self.history = ConfigurationHistory()
        self.is_relay: Callable[[], bool] = lambda: True
        self.on_change: Callable[[Configuration], None] = lambda configuration: None
        self.on_platform_contact: Callable[[float], None] = lambda requested_at: None

    @property
    def version(self) -> int:
        """Version that is in force at this node; 0 before the first one."""
        return self.history.current.version

    async def start(self) -> None:
        """Start polling the platform."""
        work = keep_running("polling of the configuration", self._poll_periodically)
        self._poll_task = self._loop.create_task(work)

    async def close(self) -> None:
        """Stop polling and cancel a pull in progress."""
        for task in (self._poll_task, self._pull_task):
            if task is not None:
                task.cancel()
        await asyncio.sleep(0)

    async def _poll_periodically(self) -> None:
        while True:
            if self.version == 0 or self.is_relay():
                await self._refresh()
            await asyncio.sleep(POLL_INTERVAL_S * self._source.uniform(0.9, 1.1))

    async def _refresh(self) -> None:
        previous_version = self.version
        requested_at = monotonic()
        result = await self._store.refresh(self.history)
        if isinstance(result, Configuration):
            self.on_platform_contact(requested_at)
        elif isinstance(result, Unreadable):
            log.error("configuration_unreadable", reason=result.reason)
        self._report_new_version(previous_version)

    def _report_new_version(self, previous_version: int) -> None:
        if self.version > previous_version:
            log.info("configuration_in_force", version=self.version, before=previous_version)
            self.on_change(self.history.current)

    def on_peer_version(self, version: int, control_address: Address) -> None:
        """Pull the configuration from a peer if its version is newer and no pull is running."""
        if version > self.version and (self._pull_task is None or self._pull_task.done()):
            self._pull_task = self._loop.create_task(self._pull_from(control_address))

    async def _pull_from(self, address: Address) -> None:
        previous_version = self.version
        target = f"/v1/configuration?since={previous_version}"
        response = await self._client.request(address, "GET", target, timeout_s=PULL_TIMEOUT_S)
        if not isinstance(response, HttpResponse) or response.status != 200:
            return
        try:
            document = response.json()
        except orjson.JSONDecodeError:
            return
        if isinstance(document, dict):
            self._apply_document(document)
        self._report_new_version(previous_version)

    def _apply_document(self, document: dict[str, object]) -> None:
        if "snapshot" in document:
            snapshot = from_wire(document["snapshot"])
            if not isinstance(snapshot, Findings):
                self.history.replace(snapshot)
            return
        wire_changes, first_version = document.get("changes"), document.get("first_version")
        if not isinstance(wire_changes, list) or not isinstance(first_version, int):
            return
        changes = []
        for wire_change in wire_changes:
            change = change_from_wire(wire_change)
            if isinstance(change, Findings):
                log.error("configuration_from_peer_rejected", findings=str(change))
                return
            changes.append(change)
        self.history.advance(first_version, changes)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle `GET /v1/configuration?since=<version>`.

        The response has the changes since that version, or a snapshot if the history does not
        have all of them.
        """
        query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
        text = query.get("since", ["0"])[0]
        since = int(text) if text.isdigit() else 0
        changes = self.history.changes_since(since)
        if changes is None:
            return json_response(200, {"snapshot": to_wire(self.history.current)})
        wire_changes = [change_to_wire(change) for change in changes]
        return json_response(200, {"first_version": since + 1, "changes": wire_changes})
