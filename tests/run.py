"""Run every test module in its own process and print one closing line.

Modules run side by side; tests with processes run after the unit tests, fewer at a time, so that
they do not compete for processor time. KNOWN-RED.txt names tests whose failure is recorded with an
open issue: they run and are printed, and do not decide the exit code.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
UNIT_WORKERS = 6
SYSTEM_WORKERS = 2
MODULE_LIMIT_S = 420
RESULT_MARK = "RESULT "


@dataclass
class ModuleResult:
    """Outcome of one test module."""

    module: str
    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    output: str = ""


class RecordingResult(unittest.TextTestResult):
    """Collects the names of tests that passed."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed.append(test.id())


def test_roots() -> list[Path]:
    """Return the folders whose packages hold tests."""
    return [*sorted(ROOT.glob("packages/*/tests")), ROOT / "platform" / "tests", ROOT / "tests"]


def test_modules() -> list[str]:
    """Return the dotted names of all test modules."""
    names: list[str] = []
    for root in test_roots():
        for path in sorted(root.glob("test_*/**/test_*.py")):
            names.append(".".join(path.relative_to(root).with_suffix("").parts))
    return names


def run_in_process(module: str) -> int:
    """Run one module and print its result as one JSON line."""
    for root in test_roots():
        sys.path.insert(0, str(root))
    _load_hypothesis_profile()
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    runner = unittest.TextTestRunner(verbosity=2, resultclass=RecordingResult, buffer=False)
    result = runner.run(suite)
    assert isinstance(result, RecordingResult)
    failed = [_name(test) for test, _ in [*result.failures, *result.errors]]
    failed += [_name(test) for test in result.unexpectedSuccesses]
    failed += [f"{_name(test)} (skipped)" for test, _ in result.skipped]
    print(RESULT_MARK + json.dumps({"passed": result.passed, "failed": failed}), flush=True)
    return 0 if result.wasSuccessful() else 1


def _name(test: object) -> str:
    # A subtest counts as a failure of the test that contains it.
    owner = getattr(test, "test_case", test)
    return str(owner.id()) if isinstance(owner, unittest.TestCase) else repr(owner)


def _load_hypothesis_profile() -> None:
    from hypothesis import HealthCheck
    from hypothesis import settings

    slow = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]
    settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None, suppress_health_check=slow
    )
    settings.register_profile(
        "soak", max_examples=5_000, deadline=None, print_blob=True, suppress_health_check=slow
    )
    settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def run_module(module: str) -> ModuleResult:
    """Run one module in a process of its own."""
    command = [sys.executable, __file__, "--module", module]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=MODULE_LIMIT_S, check=False
        )
    except subprocess.TimeoutExpired:
        note = f"{module} did not finish within {MODULE_LIMIT_S} s"
        return ModuleResult(module, failed=[module], output=note)
    result = ModuleResult(module, output=done.stderr + done.stdout)
    lines = [line for line in done.stdout.splitlines() if line.startswith(RESULT_MARK)]
    if not lines:
        result.failed.append(module)
        return result
    counts = json.loads(lines[-1].removeprefix(RESULT_MARK))
    result.passed = counts["passed"]
    result.failed = sorted(set(counts["failed"]))
    if done.returncode != 0 and not result.failed:
        result.failed.append(module)
    return result


def known_red() -> set[str]:
    """Return the test names that KNOWN-RED.txt lists on lines starting with `test:`."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_all(modules: list[str]) -> int:
    """Run modules and print failures, known red tests and the closing line."""
    system = [name for name in modules if name.startswith("test_system.")]
    unit = [name for name in modules if not name.startswith("test_system.")]
    results: list[ModuleResult] = []
    for names, workers in ((unit, UNIT_WORKERS), (system, SYSTEM_WORKERS)):
        with ThreadPoolExecutor(workers) as pool:
            for result in pool.map(run_module, names):
                state = "FAILED" if result.failed else "ok"
                print(f"{result.module}: {len(result.passed)} passed, {state}", flush=True)
                results.append(result)
    red = known_red()
    passed = sum(len(result.passed) for result in results)
    failed = [name for result in results for name in result.failed if name not in red]
    for result in results:
        if any(name not in red for name in result.failed):
            print(f"--- {result.module}\n{result.output}")
    for name in sorted(red):
        if any(name in result.failed for result in results):
            print(f"known red, fails: {name}")
        elif any(name in result.passed for result in results):
            print(f"known red, passes now; remove it from KNOWN-RED.txt: {name}")
    if passed == 0 and not failed:
        print("no test ran")
        failed.append("no test ran")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


def main() -> int:
    """Parse arguments and run the tests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--module", help="run one module in this process")
    parser.add_argument("names", nargs="*", help="modules to run; all where none is given")
    options = parser.parse_args()
    if options.module:
        return run_in_process(options.module)
    return run_all(options.names or test_modules())


if __name__ == "__main__":
    sys.exit(main())
