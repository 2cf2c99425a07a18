"""Guards against profile files that crash the parser or whose problems are not all reported."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pollenglade_core.calls.importance import Importance
from pollenglade_core.configuration.profile import Profile
from pollenglade_core.configuration.profile_file import profile_from_tables
from pollenglade_core.configuration.profile_file import read_profile
from pollenglade_core.finding import Findings

VALID_FILE = b"""
name = "residencies"
services = ["open-calls", "fees"]
[zones]
zone-a = 1
zone-b = 2
[organisations.acme]
rate_per_s = 200
burst = 400
[[rules]]
method = "POST"
path = "/applications/*"
importance = "critical"
extra_attempts = 0
[[rules]]
path = "/open/*"
"""

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
FIELD_NAMES = st.sampled_from(
    [
        "name",
        "services",
        "zones",
        "organisations",
        "rules",
        "rate_per_s",
        "burst",
        "method",
        "importance",
    ]
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(FIELD_NAMES | st.text(max_size=8), inner, max_size=6),
    max_leaves=20,
)
TABLES = st.dictionaries(FIELD_NAMES, VALUES)


class ProfileFileTest(unittest.TestCase):
    def check_result(self, result: object) -> None:
        """Assert a profile, or findings that all have a text."""
        self.assertIsInstance(result, Profile | Findings)
        if isinstance(result, Findings):
            self.assertTrue(result.items)
            self.assertTrue(all(item.text for item in result.items))

    @given(st.binary() | st.text().map(str.encode), st.integers(0, len(VALID_FILE)))
    def test_any_bytes_give_a_typed_result(self, inserted: bytes, position: int) -> None:
        """A damaged file must give findings, not a traceback."""
        self.check_result(read_profile(inserted))
        self.check_result(read_profile(VALID_FILE[:position] + inserted + VALID_FILE[position:]))

    @given(TABLES)
    def test_any_tables_give_a_typed_result(self, tables: dict[str, Any]) -> None:
        """A value of an unexpected type must give a finding, not a traceback."""
        self.check_result(profile_from_tables(tables))

    def test_deep_nesting_and_huge_numbers_give_findings(self) -> None:
        """Input that exceeds limits of the TOML parser must not crash the command."""
        for text in (b"a = " + b"[" * 50_000, b"a = " + b"9" * 5_000, b"a = 1\n" * 100_000):
            self.assertIsInstance(read_profile(text), Findings)

    def test_all_findings_are_reported_together_with_their_place(self) -> None:
        """Reporting one problem at a time would delay the operator's publication."""
        invalid = VALID_FILE.replace(b"zone-b = 2", b"").replace(b"zone-a = 1", b"zone-a = 0")
        invalid = (
            invalid.replace(b"200", b"0").replace(b"critical", b"urgent").replace(b"fees", b"Fees")
        )
        result = read_profile(invalid.replace(b"burst", b"bursts"))
        assert isinstance(result, Findings)
        expected = {
            "zones",
            "services[1]",
            "organisations.acme.rate_per_s",
            "organisations.acme.burst",
            "organisations.acme.bursts",
            "rules[0].importance",
        }
        self.assertEqual(expected, {item.place for item in result.items})

    def test_a_valid_file_is_read_with_defaults(self) -> None:
        """A changed default would alter the rules in force; POST is not idempotent by default."""
        profile = read_profile(VALID_FILE)
        assert isinstance(profile, Profile)
        rule = profile.rule_for("POST", "/applications/1")
        self.assertEqual(Importance.CRITICAL, rule.importance)
        self.assertEqual((False, 0), (rule.idempotent, rule.extra_attempts))
        self.assertEqual(400, profile.organisations_by_id["acme"].burst)
        self.assertEqual({"zone-a": 1, "zone-b": 2}, profile.zones)
        self.assertTrue(profile.rule_for("GET", "/open/1").idempotent)
        self.assertIs(False, profile.rule_for("POST", "/open/1").idempotent)
