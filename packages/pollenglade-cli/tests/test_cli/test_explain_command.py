"""Guards against a story that misses lines of other nodes or names a wrong cause."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_cli.main import app


def line(at: str, node: str, event: str = "request", **fields: object) -> str:
    """Return a log line with a prefix as a log collector adds it."""
    stamp = f"2026-12-03T10:00:{at}Z"
    return "  0.1 " + json.dumps({"timestamp": stamp, "node": node, "event": event, **fields})


class ExplainTest(unittest.TestCase):
    def explain(self, lines: list[str], *options: str) -> tuple[int, str]:
        """Run the command on two files that share the lines."""
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder) / name for name in ("a.log", "b.log")]
            paths[0].write_text("\n".join(lines[::2]))
            paths[1].write_text("\n".join([*lines[1::2], "no line of ours", "{broken"]))
            arguments = ["explain", "r1", *map(str, paths), *options]
            result = CliRunner().invoke(app, arguments)
        return result.exit_code, result.output

    def test_a_refusal_at_the_end_of_the_chain_is_the_cause(self) -> None:
        """A 500 of an endpoint says nothing about the call below it that was refused."""
        code, output = self.explain(
            [
                line("02.5", "n1", request="r1", decision="endpoint-failed", status=500),
                line("02.1", "n3", "attempt", request="r1.7", decision="deadline"),
                line("02.2", "n2", request="r1.7", decision="deadline", status=503, service="jury"),
                line("02.2", "n2", request="r10", decision="served", status=200),
            ]
        )
        self.assertEqual(code, ExitCode.OK)
        self.assertIn(
            "its call r1.7 to jury failed first: the remaining time was not sufficient", output
        )
        self.assertLess(output.index("n3  attempt"), output.index("n2  request"))
        self.assertNotIn("r10", output)

    def test_a_lost_answer_is_told_as_unknown(self) -> None:
        """An operator who reads `not run` repeats a payment."""
        _, output = self.explain(
            [line("01", "n1", request="r1", decision="target-failed", status=502, detail="reset")]
        )
        self.assertIn("it may have run (reset)", output)

    def test_a_withdrawn_key(self) -> None:
        """The reason is the policy of that node, not the key's owner."""
        code, output = self.explain(
            [line("01", "n1", request="r1", decision="key-unknown", status=401)], "--output", "json"
        )
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("policy in force", json.loads(output)["cause"])

    def test_missing_lines_are_told_apart_from_left_out_ones(self) -> None:
        """Silence of a bounded log must not look like a request that never came."""
        self.assertEqual(self.explain([])[0], ExitCode.NOT_LOGGED)
        left_out = line("01", "n1", "request_lines_left_out", by_reason={"over-rate": 9})
        self.assertEqual(self.explain([left_out])[0], ExitCode.LINES_LEFT_OUT)
