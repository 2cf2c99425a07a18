"""Guards against commands that report a wrong result of a change or a check to scripts."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import threading
import time
import unittest
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from unittest import mock

from typer.testing import CliRunner

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_cli.main import app
from pollenglade_core.configuration.configuration_head import Head
from pollenglade_core.configuration.configuration_head import head_from_wire
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.keys import parse_key
from pollenglade_emulator.platform_faults import PlatformFaults
from pollenglade_emulator.platform_standin import PlatformStandIn
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_server import HttpServer
from pollenglade_net.platform_api import Row

PROFILE = """
name = "residencies"
services = ["{service}"]
zones = {{{zones}}}
[organisations.acme]
rate_per_s = {rate}
burst = 20
"""


class StandInFleet:
    """A platform and nodes that report the published configuration, or fixed values instead."""

    def __init__(self) -> None:
        self.platform = PlatformStandIn()
        self.overrides_by_node: dict[str, dict[str, Any]] = {}
        self._servers: list[HttpServer] = []

    async def start(self) -> str:
        """Start the platform and return its address."""
        return str(await self.platform.start())

    async def add_node(self, name: str, zone: str, age_s: float | None = None) -> None:
        """Start a node and announce it; `age_s` is the age of the announcement in seconds."""

        async def respond(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, [], json.dumps(self._status(name, zone)).encode())

        server = HttpServer(async_handler(respond))
        self._servers.append(server)
        value: dict[str, Any] = {
            "control_address": f"127.0.0.1:{await server.start('127.0.0.1', 0)}",
            "announced_at": None if age_s is None else time.time() - age_s,
        }
        row = Row(f"nodes/{zone}/{name}", 1, value, "x")
        self.platform.rows_by_name[row.name] = row

    def _status(self, name: str, zone: str) -> dict[str, Any]:
        history = ConfigurationHistory()
        row = self.platform.rows_by_name.get("configuration/head")
        head = head_from_wire(row.value) if row else None
        if isinstance(head, Head):
            history.advance(1, head.changes)
        status = {
            "node": name,
            "zone": zone,
            "configuration_version": history.current.version,
            "configuration_digest": history.digest(),
        }
        return status | self.overrides_by_node.get(name, {})

    async def close(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            await server.close()
        await self.platform.close()


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        # Each command runs its own event loop, so the servers run in another thread.
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.fleet = StandInFleet()
        variables = {
            "POLLENGLADE_PLATFORM_URL": "http://" + self.run_on_server_loop(self.fleet.start())
        }
        variables |= {"POLLENGLADE_WAIT": "0", "POLLENGLADE_OUTPUT": "json"}
        patch = mock.patch.dict(os.environ, variables, clear=True)
        patch.start()
        self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "profile.toml"
        self.write_profile()

    def tearDown(self) -> None:
        self.run_on_server_loop(self.fleet.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def run_on_server_loop(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the event loop of the servers and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(10)

    def write_profile(self, service: str = "fees", rate: int = 10, zones: str = "east = 1") -> None:
        """Write the profile file."""
        self.file.write_text(PROFILE.format(service=service, rate=rate, zones=zones))

    def run_json(self, *arguments: str, code: ExitCode = ExitCode.OK) -> Any:
        """Run a command, check its exit code and return its JSON output."""
        result = CliRunner().invoke(app, list(arguments))
        self.assertEqual(code, result.exit_code, result.output)
        return json.loads(result.output)

    def test_dry_runs_and_conflicting_changes_have_no_effect(self) -> None:
        """A dry run must change nothing; a repeated publish and a stale revision must conflict."""
        file = str(self.file)
        self.run_on_server_loop(self.fleet.add_node("n1", "east"))
        self.run_json("profile", "publish", file, "--dry-run")
        self.run_json("profile", "change", file, code=ExitCode.NOT_PUBLISHED)
        self.assertEqual(1, self.run_json("profile", "publish", file)["version"])
        other = self.run_json("profile", "publish", file, code=ExitCode.CONFLICT)["other"]
        self.assertEqual(("publish", 1), (other["action"], other["revision"]))
        self.write_profile(rate=15)
        expected = ["~ organisations.acme.rate_per_s: 10 -> 15"]
        for flags in (["--dry-run"], []):
            changed = self.run_json("profile", "change", file, *flags)
            self.assertEqual(expected, changed["difference"])
        stale = ("profile", "change", file, "--expected-revision", "1")
        self.run_json(*stale, code=ExitCode.CONFLICT)
        self.run_json(*stale, "--dry-run", code=ExitCode.CONFLICT)
        shown = self.run_json("profile", "show", "residencies")
        self.assertEqual((2, 15), (shown["revision"], shown["organisations"]["acme"]["rate_per_s"]))
        self.run_json("profile", "withdraw", "residencies")
        self.assertEqual([], self.run_json("profile", "list")["profiles"])

    def test_invalid_profile_is_not_published(self) -> None:
        """An invalid profile must be rejected with all findings before it reaches the platform."""
        self.write_profile(service="Fees!", rate=0)
        found = self.run_json("profile", "publish", str(self.file), code=ExitCode.INVALID)
        places = [item["place"] for item in found["findings"]]
        self.assertEqual(["services[0]", "organisations.acme.rate_per_s"], places)

    def test_secret_is_neither_stored_nor_listed(self) -> None:
        """Anyone with access to the platform could read a secret that is stored or listed."""
        self.run_on_server_loop(self.fleet.add_node("n1", "east"))
        published = self.run_json("key", "publish", "acme")
        key = parse_key(published["key"])
        assert key is not None
        listed = json.dumps(self.run_json("key", "list"))
        self.assertIn(key.id, listed)
        stored = repr(self.fleet.platform.rows_by_name) + listed
        self.assertNotIn(key.secret, stored)
        self.run_json("key", "withdraw", key.id)
        self.run_json("key", "withdraw", key.id, code=ExitCode.NOT_PUBLISHED)

    def test_withdrawal_names_zones_that_have_not_confirmed(self) -> None:
        """The report must name the zones in which a withdrawn key may still be accepted."""
        for name, zone in (("n1", "east"), ("n2", "east"), ("n3", "west")):
            self.run_on_server_loop(self.fleet.add_node(name, zone))
        self.fleet.overrides_by_node["n2"] = {"configuration_version": 0}
        key_id = self.run_json("key", "publish", "acme")["key_id"]
        result = self.run_json("key", "withdraw", key_id, code=ExitCode.NOT_CONFIRMED)
        self.assertEqual(["west"], result["confirmed_zones"])
        self.assertEqual(["east"], result["unconfirmed_zones"])
        self.assertEqual(["n2"], [node["node"] for node in result["unconfirmed_nodes"]])

    def test_verify_finds_nodes_that_differ_or_are_silent(self) -> None:
        """A node with the published version but different content must be reported."""
        self.run_json("profile", "publish", str(self.file))
        self.run_json("monitor", "verify", code=ExitCode.NODES_DIFFER)
        for name in ("n1", "n2", "n3"):
            self.run_on_server_loop(self.fleet.add_node(name, "east"))
        self.assertEqual([], self.run_json("monitor", "verify")["findings"])
        self.fleet.overrides_by_node["n1"] = {"configuration_digest": "00"}
        self.fleet.overrides_by_node["n2"] = {"configuration_version": "not a number"}
        ahead = {"configuration_version": 7, "configuration_digest": "00"}
        self.fleet.overrides_by_node["n3"] = ahead
        found = self.run_json("monitor", "verify", code=ExitCode.NODES_DIFFER)["findings"]
        states = {item["node"]: item["state"] for item in found}
        self.assertEqual({"n1": "differs", "n2": "silent", "n3": "differs"}, states)
        self.assertEqual({"east": 3}, self.run_json("status")["nodes_by_zone"])

    def test_stale_nodes_are_listed_and_a_zone_without_nodes_is_a_finding(self) -> None:
        """A zone that is cut off from the platform stops renewing its announcements.

        It must then be reported, and must not count as having confirmed a withdrawal.
        """
        self.write_profile(zones="east = 1, west = 1")
        self.run_on_server_loop(self.fleet.add_node("n1", "east"))
        self.run_on_server_loop(self.fleet.add_node("n2", "east", age_s=61.0))
        self.run_on_server_loop(self.fleet.add_node("n3", "west", age_s=20.0))
        tombstone = Row("nodes/east/n0", 9, {"tombstone": True}, "x")
        self.fleet.platform.rows_by_name[tombstone.name] = tombstone
        self.run_json("profile", "publish", str(self.file))
        verified = self.run_json("monitor", "verify")
        self.assertEqual((2, ["east/n2"]), (verified["nodes"], verified["ended"]))
        self.run_on_server_loop(self.fleet.add_node("n3", "west", age_s=61.0))
        self.fleet.overrides_by_node["n3"] = {"configuration_version": 0}
        found = self.run_json("monitor", "verify", code=ExitCode.NODES_DIFFER)["findings"]
        self.assertEqual([("west", "absent")], [(f["zone"], f["state"]) for f in found])
        self.assertEqual({"east": 1}, self.run_json("status")["nodes_by_zone"])
        key_id = self.run_json("key", "publish", "acme")["key_id"]
        result = self.run_json("key", "withdraw", key_id, code=ExitCode.NOT_CONFIRMED)
        self.assertEqual(["west"], result["unconfirmed_zones"])

    def test_outage_has_its_own_exit_code(self) -> None:
        """Scripts must be able to tell an outage and an unknown result from a rejected change."""
        self.fleet.platform.faults = PlatformFaults(down=True)
        for command in (["status"], ["key", "publish", "acme"], ["monitor", "verify"]):
            self.run_json(*command, code=ExitCode.PLATFORM_UNAVAILABLE)
        self.fleet.platform.faults = PlatformFaults(lose_next_answers=2)
        self.assertEqual(1, self.run_json("profile", "publish", str(self.file))["version"])
