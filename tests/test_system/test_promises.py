"""Guards against documented guarantees whose tests were renamed or removed."""

from __future__ import annotations

import importlib
import re
import unittest
from pathlib import Path

PROMISES_PAGE = Path(__file__).resolve().parents[2] / "docs" / "PROMISES.md"
TEST_NAME = re.compile(r"`(test_\w+(?:\.\w+)*\.(\w+)\.(test_\w+))`")
GUARANTEE_COUNT = 12


class PromisesTest(unittest.TestCase):
    def test_every_test_that_is_named_exists(self) -> None:
        """A guarantee whose named tests do not exist is not checked."""
        rows = [
            line for line in PROMISES_PAGE.read_text().splitlines() if re.match(r"\| \d+ \|", line)
        ]
        self.assertEqual(GUARANTEE_COUNT, len(rows))
        for row in rows:
            names = TEST_NAME.findall(row)
            self.assertTrue(names, row)
            for name, case, method in names:
                module = importlib.import_module(name.removesuffix(f".{case}.{method}"))
                self.assertTrue(callable(getattr(getattr(module, case, None), method, None)), name)
