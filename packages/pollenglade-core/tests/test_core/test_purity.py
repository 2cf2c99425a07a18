"""Guards against core modules that use a clock, a socket or a global random source."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import pollenglade_core

FORBIDDEN_MODULES = frozenset(
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
        """A forbidden import would make property tests and golden sessions irreproducible."""
        folder = Path(pollenglade_core.__file__).parent
        modules = sorted(folder.rglob("*.py"))
        self.assertGreater(len(modules), 3)
        for path in modules:
            with self.subTest(path.name):
                self.assertEqual(set(), imported_names(path.read_text()) & FORBIDDEN_MODULES)

    def test_check_detects_nested_imports(self) -> None:
        """The check must detect imports inside functions too."""
        source = "def f():\n    from time import monotonic\n    import os.path\n"
        self.assertEqual({"time", "os"}, imported_names(source))
