"""Guards against traces that omit log lines of other nodes or state a wrong cause."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from pollenglade_cli.exit_codes import ExitCode
from pollenglade_cli.main import app


def log_line(seconds: str, node: str, event: str = "request", **fields: object) -> str:
    """Return a JSON log line with a prefix like that of a log collector."""
    stamp = f"2026-12-03T10:00:{seconds}Z"
    return "  0.1 " + json.dumps({"timestamp": stamp, "node": node, "event": event, **fields})


class ExplainTest(unittest.TestCase):
    def explain(self, lines: list[str], *options: str) -> tuple[int, str]:
        """Run the command on two files with half of the lines each; return exit code and output."""
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder) / name for name in ("a.log", "b.log")]
            paths[0].write_text("\n".join(lines[::2]))
            paths[1].write_text("\n".join([*lines[1::2], "not a structured line", "{broken"]))
            arguments = ["explain", "r1", *map(str, paths), *options]
            result = CliRunner().invoke(app, arguments)
        return result.exit_code, result.output

    def test_refusal_of_a_nested_call_is_the_cause(self) -> None:
        """The 500 of an endpoint does not show that a nested call was refused."""
        code, output = self.explain(
            [
                log_line("02.5", "n1", request="r1", decision="endpoint-failed", status=500),
                log_line("02.1", "n3", "attempt", request="r1.7", decision="deadline"),
                log_line(
                    "02.2", "n2", request="r1.7", decision="deadline", status=503, service="jury"
                ),
                log_line("02.2", "n2", request="r10", decision="served", status=200),
            ]
        )
        self.assertEqual(code, ExitCode.OK)
        self.assertIn(
            "its call r1.7 to jury failed first: the remaining time was not sufficient", output
        )
        self.assertLess(output.index("n3  attempt"), output.index("n2  request"))
        self.assertNotIn("r10", output)

    def test_lost_response_is_reported_as_unknown(self) -> None:
        """An operator who is told that the request did not run would repeat a payment."""
        _, output = self.explain(
            [
                log_line(
                    "01", "n1", request="r1", decision="target-failed", status=502, detail="reset"
                )
            ]
        )
        self.assertIn("it may have run (reset)", output)

    def test_unknown_key_is_explained_by_the_policy_in_force(self) -> None:
        """The cause is that the policy in force at the node lacks the key."""
        code, output = self.explain(
            [log_line("01", "n1", request="r1", decision="key-unknown", status=401)],
            "--output",
            "json",
        )
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("policy in force", json.loads(output)["cause"])

    def test_unlogged_request_differs_from_left_out_lines(self) -> None:
        """Log lines that were left out must not look like a request that no node received."""
        self.assertEqual(self.explain([])[0], ExitCode.NOT_LOGGED)
        left_out = log_line("01", "n1", "request_lines_left_out", by_reason={"over-rate": 9})
        self.assertEqual(self.explain([left_out])[0], ExitCode.LINES_LEFT_OUT)
