"""Guards against a set of ids that grows without bound or evicts an id that was just added."""

from __future__ import annotations

import unittest

from pollenglade_node.mesh.recent_ids import RecentIds


class RecentIdsTest(unittest.TestCase):
    def test_an_id_that_was_added_again_is_forgotten_first(self) -> None:
        recent = RecentIds(2)
        for item in (b"a", b"b", b"a", b"c"):
            recent.add(item)
        self.assertEqual([b"a" in recent, b"b" in recent, b"c" in recent], [True, False, True])
