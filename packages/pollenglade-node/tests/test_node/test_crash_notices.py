"""Guards against crash notices that a peer refuses."""

from __future__ import annotations

import unittest
from unittest import mock

from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_net.link_message import new_unpacker
from pollenglade_net.link_message import pack
from pollenglade_node.serving.crash_notices import CrashNotices


class CrashNoticesTest(unittest.TestCase):
    def test_a_large_ledger_closes_the_link_of_the_peer_that_asks_for_it(self) -> None:
        ledger = mock.Mock()
        ledger.notices.return_value = [
            CrashNotice(f"n1/{number}", "fingerprint", 0.0, False) for number in range(3_000)
        ]
        notices = CrashNotices(ledger, mock.Mock(), lambda service: (), mock.Mock())
        replies: list[object] = []
        notices.reply_with_ledger(None, replies.append)
        unpacker = new_unpacker()
        unpacker.feed(pack([1, 2, replies[0]]))
        (message,) = unpacker
        self.assertEqual(message[2][-1][0], "n1/2999")
