"""Guards against settings that are ignored and findings that are reported one at a time."""

from __future__ import annotations

import os
import unittest
from unittest import mock

from pollenglade_cli.settings import Settings
from pollenglade_cli.settings import read_settings
from pollenglade_core.finding import Findings


class SettingsTest(unittest.TestCase):
    def test_all_findings_are_reported_at_once(self) -> None:
        """A misspelt variable must be reported, together with all other findings."""
        variables = {"POLLENGLADE_PLATFROM_URL": "http://a:1", "POLLENGLADE_TIMEOUT": "soon"}
        with mock.patch.dict(os.environ, variables, clear=True):
            result = read_settings({"output": "xml", "wait": "-1", "zone": None})
        assert isinstance(result, Findings)
        places = {
            "POLLENGLADE_PLATFROM_URL",
            "POLLENGLADE_TIMEOUT",
            "--output",
            "--wait",
            "--platform-url",
        }
        self.assertEqual(places, {item.place for item in result.items})

    def test_flags_precede_variables(self) -> None:
        """A variable that overrides a flag could send a change to the wrong platform."""
        variables = {"POLLENGLADE_PLATFORM_URL": "http://a:1", "POLLENGLADE_ZONE": "north"}
        with mock.patch.dict(os.environ, variables, clear=True):
            result = read_settings({"platform_url": "http://b:2"})
        assert isinstance(result, Settings)
        self.assertEqual(("http://b:2", "north"), (result.platform_url, result.zone))
