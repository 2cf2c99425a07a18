"""Guards against a promise whose tests were renamed or removed."""

from __future__ import annotations

import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parents[2] / "docs" / "PROMISES.md"
TEST_NAME = re.compile(r"`(test_\w+(?:\.\w+)*\.(\w+)\.(test_\w+))`")
GUARANTEES = 12


class PromisesTest(unittest.TestCase):
    def test_every_test_that_is_named_exists(self) -> None:
        """A page that names missing tests promises what nobody checks."""
        rows = [line for line in PAGE.read_text().splitlines() if re.match(r"\| \d+ \|", line)]
        self.assertEqual(GUARANTEES, len(rows))
        for row in rows:
            names = TEST_NAME.findall(row)
            self.assertTrue(names, row)
            for name, case, method in names:
                module = importlib.import_module(name.removesuffix(f".{case}.{method}"))
                self.assertTrue(callable(getattr(getattr(module, case, None), method, None)), name)
