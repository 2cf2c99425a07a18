"""Run every test module in its own process and print a summary line.

Modules run in parallel. System tests, which start processes, run after the unit tests and with
fewer workers, so that they do not compete for processor time. Tests of crowds of clients run last,
one at a time. KNOWN-RED.txt lists tests with a
known failure and an open issue: they are run and printed, but do not affect the exit code.
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
CROWD_WORKERS = 1
MODULE_TIMEOUT_S = 420
RESULT_PREFIX = "RESULT "


@dataclass
class ModuleResult:
    """Names of the passed and failed tests of one module, and its output."""

    module: str
    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    output: str = ""


class RecordingResult(unittest.TextTestResult):
    """Test result that also records the names of passed tests."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed.append(test.id())


def test_roots() -> list[Path]:
    """Return the directories that contain test packages."""
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
    failed = [_test_name(test) for test, _ in [*result.failures, *result.errors]]
    failed += [_test_name(test) for test in result.unexpectedSuccesses]
    failed += [f"{_test_name(test)} (skipped)" for test, _ in result.skipped]
    print(RESULT_PREFIX + json.dumps({"passed": result.passed, "failed": failed}), flush=True)
    return 0 if result.wasSuccessful() else 1


def _test_name(test: object) -> str:
    # A failed subtest counts as a failure of the test that contains it.
    owner = getattr(test, "test_case", test)
    return str(owner.id()) if isinstance(owner, unittest.TestCase) else repr(owner)


def _load_hypothesis_profile() -> None:
    from hypothesis import HealthCheck
    from hypothesis import settings

    suppressed_checks = [
        HealthCheck.too_slow,
        HealthCheck.data_too_large,
        HealthCheck.filter_too_much,
    ]
    settings.register_profile(
        "ci",
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=suppressed_checks,
    )
    settings.register_profile(
        "soak",
        max_examples=5_000,
        deadline=None,
        print_blob=True,
        suppress_health_check=suppressed_checks,
    )
    settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def run_module(module: str) -> ModuleResult:
    """Run one module in a subprocess."""
    command = [sys.executable, __file__, "--module", module]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        note = f"{module} did not finish within {MODULE_TIMEOUT_S} s"
        return ModuleResult(module, failed=[module], output=note)
    result = ModuleResult(module, output=completed.stderr + completed.stdout)
    lines = [line for line in completed.stdout.splitlines() if line.startswith(RESULT_PREFIX)]
    if not lines:
        result.failed.append(module)
        return result
    names_by_result = json.loads(lines[-1].removeprefix(RESULT_PREFIX))
    result.passed = names_by_result["passed"]
    result.failed = sorted(set(names_by_result["failed"]))
    if completed.returncode != 0 and not result.failed:
        result.failed.append(module)
    return result


def known_failures() -> set[str]:
    """Return the test names in KNOWN-RED.txt, which are on lines that start with `test:`."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_all(modules: list[str]) -> int:
    """Run modules; print failures, known failures and a summary line; return the exit code."""
    system = [name for name in modules if name.startswith("test_system.")]
    crowds = [name for name in modules if name.startswith("test_crowds.")]
    unit = [name for name in modules if name not in {*system, *crowds}]
    groups = ((unit, UNIT_WORKERS), (system, SYSTEM_WORKERS), (crowds, CROWD_WORKERS))
    results: list[ModuleResult] = []
    for names, workers in groups:
        with ThreadPoolExecutor(workers) as pool:
            for result in pool.map(run_module, names):
                state = "FAILED" if result.failed else "ok"
                print(f"{result.module}: {len(result.passed)} passed, {state}", flush=True)
                results.append(result)
    known = known_failures()
    passed = sum(len(result.passed) for result in results)
    failed = [name for result in results for name in result.failed if name not in known]
    for result in results:
        if any(name not in known for name in result.failed):
            print(f"--- {result.module}\n{result.output}")
    for name in sorted(known):
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
    parser.add_argument("names", nargs="*", help="modules to run (default: all)")
    options = parser.parse_args()
    if options.module:
        return run_in_process(options.module)
    return run_all(options.names or test_modules())


if __name__ == "__main__":
    sys.exit(main())
