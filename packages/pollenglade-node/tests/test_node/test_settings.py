"""Guards against settings that are ignored, and against valid settings that are rejected."""

from __future__ import annotations

import os
import unittest
from unittest import mock

from pollenglade_cli.settings import Settings
from pollenglade_cli.settings import read_settings
from pollenglade_core.finding import Findings
from pollenglade_core.variables import COMMAND_SETTINGS
from pollenglade_core.variables import NODE_SETTINGS
from pollenglade_core.variables import PREFIX
from pollenglade_node.settings import NodeSettings
from pollenglade_node.settings import load_settings

NODE_FLAGS = {
    "node": "host-1.example",
    "zone": "east",
    "caller_address": "127.0.0.1:1",
    "link_address": "127.0.0.1:2",
    "control_address": "127.0.0.1:3",
    "platform_url": "http://127.0.0.1:4",
}


class SettingsTest(unittest.TestCase):
    def test_variable_lists_match_the_settings(self) -> None:
        """A setting missing from its list would be a finding in the other program."""
        self.assertEqual(NODE_SETTINGS, set(NodeSettings.model_fields))
        self.assertEqual(COMMAND_SETTINGS, set(Settings.model_fields))

    def test_only_misspelt_variables_are_findings(self) -> None:
        """The daemon and the command share an environment; misspelt names must not be ignored."""
        variables = {PREFIX + name.upper(): value for name, value in NODE_FLAGS.items()}
        variables |= {"POLLENGLADE_OUTPUT": "json", "POLLENGLADE_LOG_LEVEL": "info"}
        with mock.patch.dict(os.environ, variables, clear=True):
            self.assertIsInstance(load_settings({}), NodeSettings)
            self.assertIsInstance(read_settings({}), Settings)
            os.environ["POLLENGLADE_ZOEN"] = "east"
            for result in (load_settings({}), read_settings({})):
                assert isinstance(result, Findings)
                self.assertEqual(["POLLENGLADE_ZOEN"], [item.place for item in result.items])

    def test_zone_matches_the_pattern_of_zones_in_profiles(self) -> None:
        """A node in a zone that no profile can name would get no share of any rate."""
        with mock.patch.dict(os.environ, {}, clear=True):
            for zone in ("east.1", "East", ""):
                result = load_settings(NODE_FLAGS | {"zone": zone})
                assert isinstance(result, Findings)
                self.assertEqual(["POLLENGLADE_ZONE"], [item.place for item in result.items])
