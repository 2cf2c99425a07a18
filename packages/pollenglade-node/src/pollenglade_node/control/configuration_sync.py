"""Keeps the configuration of the node at the newest version that it can learn of."""

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

POLL_INTERVAL_S = 1.0
"""Interval at which a relay reads the platform; with gossip it bounds the time until in force."""

PULL_TIMEOUT_S = 1.0

log = structlog.get_logger()


class ConfigurationSync:
    """Owner of the configuration history; polls the platform as a relay and pulls from peers."""

    def __init__(self, store: ConfigurationStore, client: HttpClient, source: RandomSource) -> None:
        self._store = store
        self._client = client
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._pull: asyncio.Task[None] | None = None
        self.history = ConfigurationHistory()
        self.is_relay: Callable[[], bool] = lambda: True
        self.on_change: Callable[[Configuration], None] = lambda configuration: None
        self.on_platform_contact: Callable[[float], None] = lambda requested_at: None

    @property
    def version(self) -> int:
        """Version in force at this node; 0 before the first."""
        return self.history.current.version

    async def start(self) -> None:
        """Start to poll."""
        self._task = self._loop.create_task(self._poll())

    async def close(self) -> None:
        """Stop polling."""
        for task in (self._task, self._pull):
            if task is not None:
                task.cancel()
        await asyncio.sleep(0)

    async def _poll(self) -> None:
        while True:
            if self.version == 0 or self.is_relay():
                await self._refresh()
            await asyncio.sleep(POLL_INTERVAL_S * self._source.uniform(0.9, 1.1))

    async def _refresh(self) -> None:
        before = self.version
        requested_at = monotonic()
        result = await self._store.refresh(self.history)
        if isinstance(result, Configuration):
            self.on_platform_contact(requested_at)
        elif isinstance(result, Unreadable):
            log.error("configuration_unreadable", reason=result.reason)
        self._announce(before)

    def _announce(self, before: int) -> None:
        if self.version > before:
            log.info("configuration_in_force", version=self.version, before=before)
            self.on_change(self.history.current)

    def on_peer_version(self, version: int, control_address: Address) -> None:
        """Pull from a peer that has a newer version."""
        if version > self.version and (self._pull is None or self._pull.done()):
            self._pull = self._loop.create_task(self._pull_from(control_address))

    async def _pull_from(self, address: Address) -> None:
        before = self.version
        target = f"/v1/configuration?since={before}"
        response = await self._client.request(address, "GET", target, timeout_s=PULL_TIMEOUT_S)
        if not isinstance(response, HttpResponse) or response.status != 200:
            return
        try:
            document = response.json()
        except orjson.JSONDecodeError:
            return
        if isinstance(document, dict):
            self._take(document)
        self._announce(before)

    def _take(self, document: dict[str, object]) -> None:
        if "snapshot" in document:
            snapshot = from_wire(document["snapshot"])
            if not isinstance(snapshot, Findings):
                self.history.replace(snapshot)
            return
        wires, first = document.get("changes"), document.get("first_version")
        if not isinstance(wires, list) or not isinstance(first, int):
            return
        changes = []
        for wire in wires:
            change = change_from_wire(wire)
            if isinstance(change, Findings):
                log.error("configuration_from_peer_rejected", findings=str(change))
                return
            changes.append(change)
        self.history.advance(first, changes)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/configuration?since=<version>` with changes or a snapshot."""
        query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
        text = query.get("since", ["0"])[0]
        since = int(text) if text.isdigit() else 0
        changes = self.history.changes_since(since)
        if changes is None:
            return json_response(200, {"snapshot": to_wire(self.history.current)})
        wires = [change_to_wire(change) for change in changes]
        return json_response(200, {"first_version": since + 1, "changes": wires})
