"""Guards against decisions that read a clock, open a socket or draw from a global random source."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import pollenglade_core

FORBIDDEN = frozenset(
    {
        "asyncio",
        "concurrent",
        "datetime",
        "multiprocessing",
        "os",
        "random",
        "secrets",
        "select",
        "selectors",
        "signal",
        "socket",
        "subprocess",
        "threading",
        "time",
        "uuid",
    }
)


def imported_names(source: str) -> set[str]:
    """Return the top-level names of all absolute imports in a module."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            names.add(node.module.split(".")[0])
    return names


class PurityTest(unittest.TestCase):
    def test_core_imports_nothing_forbidden(self) -> None:
        """An impure import would make property tests and golden sessions irreproducible."""
        folder = Path(pollenglade_core.__file__).parent
        modules = sorted(folder.rglob("*.py"))
        self.assertGreater(len(modules), 3)
        for path in modules:
            with self.subTest(path.name):
                self.assertEqual(set(), imported_names(path.read_text()) & FORBIDDEN)

    def test_check_sees_nested_imports(self) -> None:
        """An import inside a function must not escape the check."""
        source = "def f():\n    from time import monotonic\n    import os.path\n"
        self.assertEqual({"time", "os"}, imported_names(source))
