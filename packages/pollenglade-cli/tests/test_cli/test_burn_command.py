"""Guards against burn reports that hide missing data or omit calls."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from xml.etree import ElementTree

from typer.testing import CliRunner

from pollenglade_cli.burn_command import app
from pollenglade_cli.burn_sources import BatchSources
from pollenglade_cli.burn_sources import CountDocument
from pollenglade_cli.burn_sources import read_nodes
from pollenglade_cli.exit_codes import ExitCode
from pollenglade_core.calls.call_counts import CallCounts
from pollenglade_core.calls.outcome import Outcome
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_server import HttpServer


def batches_document(organisation: str = "alder", lost_sequence: int = 2) -> str:
    """Return a document with three batches of 40 calls, 10 of them bad, without the lost batch."""
    counts = CallCounts("n1", 7)
    for number in range(3):
        for call in range(40):
            counts.count_call(organisation, "fees", "p", Outcome.RAN, good=call >= 10)
        counts.close_batch(1_000.0 + number * 10)
    batches = [batch for batch in counts.batches_since(0) if batch.sequence != lost_sequence]
    return CountDocument(batches=batches).model_dump_json()


class BurnCommandTest(unittest.TestCase):
    def run_burn(self, content: str, *options: str) -> tuple[int, str]:
        """Run the command with the same file given twice; return its exit code and output."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "counts.json"
            path.write_text(content)
            result = CliRunner().invoke(app, ["burn", str(path), str(path), *options])
        return result.exit_code, result.output

    def test_json_counts_each_batch_once_and_reports_gaps(self) -> None:
        """A batch that is counted twice or an undetected gap yields a wrong burn rate."""
        code, output = self.run_burn(batches_document(), "--output", "json")
        data = json.loads(output)
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual({(80, 20)}, {(item["calls"], item["bad"]) for item in data["burns"]})
        self.assertEqual({"n1/7": [2]}, data["missing_batches"])
        self.assertEqual(["page", "ticket"], [item["severity"] for item in data["alerts"]])

    def test_unreadable_source_fails_the_command(self) -> None:
        """A script that takes a partial report for a complete one would miss an alert."""
        impossible = batches_document().replace('"bad":10', '"bad":99')
        for content in ("{", '{"calls": []}', impossible):
            with self.subTest(content[:20]):
                self.assertEqual(ExitCode.UNREADABLE, self.run_burn(content)[0])

    def test_page_is_well_formed_and_self_contained(self) -> None:
        """An organisation name that is not escaped would run as a script in the browser."""
        code, output = self.run_burn(batches_document("<script>"), "--output", "html")
        page = output.removeprefix("<!DOCTYPE html>").replace('<meta charset="utf-8">', "")
        root = ElementTree.fromstring(page)
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(4, len(root.findall(".//svg/rect")))
        self.assertEqual([], root.findall(".//script"))
        self.assertNotIn("http", output)


class ReadNodesTest(unittest.IsolatedAsyncioTestCase):
    async def test_unreachable_nodes_are_reported(self) -> None:
        """A node that does not respond must not look like a node without calls."""

        async def respond(request: HttpRequest) -> HttpResponse:
            self.assertEqual(b"/v1/counts", request.target)
            return HttpResponse(200, [], batches_document().encode())

        server = HttpServer(async_handler(respond))
        address = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
        sources = BatchSources()
        try:
            await read_nodes([address, "127.0.0.1:1", "x"], sources, timeout_s=5.0)
        finally:
            await server.close()
        self.assertEqual(2, len(sources.batches))
        self.assertEqual({"127.0.0.1:1", "x"}, set(sources.problem_by_source))
