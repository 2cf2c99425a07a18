"""Guards against a demo that passes although calls fail, are mixed up or processes remain."""

from __future__ import annotations

import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pollenglade_core.configuration.keys import parse_key
from pollenglade_emulator import demo
from pollenglade_emulator.deployments import SALAIRES
from pollenglade_emulator.fleet import start_fleet
from pollenglade_emulator.load import LoadGenerator
from pollenglade_emulator.load import LoadSettings
from pollenglade_emulator.processes import Processes

PLAIN_NODE = "support.plain_node"
SMALL_DEPLOYMENT = SALAIRES.compact(1, 1).scaled(0.005)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_tree_runs_once_per_request_and_without_keys(self) -> None:
        """Lost or duplicated nested calls would falsify the counts of wasted work and retries."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        async with Processes(PLAIN_NODE) as processes:
            fleet = await start_fleet(processes, [SMALL_DEPLOYMENT], Path(folder.name))
            keys = fleet.keys_by_deployment[SMALL_DEPLOYMENT.name]
            settings = LoadSettings(
                SMALL_DEPLOYMENT, fleet.caller_addresses(), keys, duration_s=3.0
            )
            records = (await LoadGenerator(settings).run()).records
            executions = fleet.executions()
            codes = await processes.stop_all()
        self.assertTrue(records)
        self.assertEqual({0}, set(codes.values()))
        self.assertTrue(all(record.status == 200 and not record.wrong for record in records))
        for record in records:
            tree = SMALL_DEPLOYMENT.calls_by_route(SMALL_DEPLOYMENT.routes_by_name[record.route])
            ran = [e.path.split("/")[1] for e in executions if e.request_id == record.request_id]
            self.assertEqual(sorted(tree.elements()), sorted(ran))
        secrets = [parsed.secret for key in keys.values() if (parsed := parse_key(key))]
        self.assertEqual(len(keys), len(secrets))
        sent = "\n".join(f"{e.path} {e.headers}" for e in executions)
        self.assertTrue(all(secret not in sent for secret in secrets))

    async def test_demo_fails_where_a_process_fails(self) -> None:
        """An exit code of 0 must mean that every process stopped gracefully."""
        for environment, expected in (({}, 0), ({"PLAIN_NODE_EXIT_CODE": "3"}, 1)):
            output = io.StringIO()
            with (
                mock.patch.dict(os.environ, environment),
                mock.patch.object(demo, "demo_deployments", return_value=[SMALL_DEPLOYMENT]),
                contextlib.redirect_stdout(output),
            ):
                self.assertEqual(expected, await demo.run_demo(2.0, PLAIN_NODE), output.getvalue())
            self.assertIn("added ms", output.getvalue())
