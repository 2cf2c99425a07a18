"""Exchanges crash notices between the nodes that serve a service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from time import monotonic

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.numbers import MAX_SECONDS
from pollenglade_core.numbers import is_in_range
from pollenglade_core.randomness import RandomSource

from ..membership.links import Links

CRASH_NOTICES_TOPIC = "crash-notices"
CRASH_LEDGER_TOPIC = "crash-ledger"

LEDGER_PEER_COUNT = 3
"""Peers whose ledger a node requests.

More than one, because a peer may have missed a notice itself.
"""

MAX_LEDGER_NOTICES = 1024
"""Maximum number of notices in one message; the latest are sent. Peers of an earlier release close
the link on more."""


class CrashNotices:
    """Sends crash notices to the nodes of a service and merges the notices of other nodes."""

    def __init__(
        self,
        ledger: CrashLedger,
        links: Links,
        nodes_of_service: Callable[[str], Sequence[str]],
        source: RandomSource,
    ) -> None:
        self._ledger = ledger
        self._links = links
        self._nodes_of_service = nodes_of_service
        self._source = source

    def request_ledgers(self, service: str) -> None:
        """Request the ledgers of a few random nodes of a service.

        A node that starts to offer a service may have missed the notices sent before.
        """
        local_node = self._links.hello.node
        nodes = [node for node in self._nodes_of_service(service) if node != local_node]
        for node in self._source.sample(nodes, min(LEDGER_PEER_COUNT, len(nodes))):
            self.request_ledger(node)

    def request_ledger(self, node: str) -> None:
        """Request the ledger of a node."""
        self._links.query_node(node, CRASH_LEDGER_TOPIC, [], self._merge_reply)

    def send_to_new_nodes(self, nodes: Iterable[str]) -> None:
        """Send the notices again to nodes that were not known to offer a service before."""
        notices = self._latest_notices()
        for node in nodes:
            if notices and node != self._links.hello.node:
                self._links.query_node(
                    node, CRASH_NOTICES_TOPIC, notices_to_wire(notices), self._merge_reply
                )

    def _latest_notices(self) -> list[CrashNotice]:
        return self._ledger.notices(monotonic())[-MAX_LEDGER_NOTICES:]

    def _merge_reply(self, reply: object) -> None:
        self._ledger.apply_notices(notices_from_wire(reply), monotonic())

    def reply_with_ledger(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply to a `crash-ledger` query with the latest notices."""
        reply(notices_to_wire(self._latest_notices()))

    async def notify(self, service: str, notices: list[CrashNotice]) -> None:
        """Send notices to all other nodes of a service; return once all have replied.

        A node counts as having replied if its link cannot be opened or closes, for example after an
        unanswered ping. A caller that must not wait that long sets its own time limit.
        """
        local_node = self._links.hello.node
        nodes = [node for node in self._nodes_of_service(service) if node != local_node]
        if nodes:
            await asyncio.gather(*(self._notify_node(node, notices) for node in nodes))

    async def _notify_node(self, node: str, notices: list[CrashNotice]) -> None:
        replied: asyncio.Future[object] = asyncio.get_running_loop().create_future()

        def on_reply(reply: object) -> None:
            if not replied.done():
                replied.set_result(reply)

        self._links.query_node(node, CRASH_NOTICES_TOPIC, notices_to_wire(notices), on_reply)
        self._merge_reply(await replied)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Merge the notices of another node; reply with notices that clear some of them."""
        cleared = self._ledger.apply_notices(notices_from_wire(payload), monotonic())
        reply(notices_to_wire(cleared))


def notices_to_wire(notices: Sequence[CrashNotice]) -> list[list[object]]:
    """Return notices as lists in the format of link messages."""
    return [[item.crash_id, item.fingerprint, item.age_s, item.cleared] for item in notices]


def notices_from_wire(value: object) -> list[CrashNotice]:
    """Return the well-formed notices of a message; malformed ones are ignored."""
    notices: list[CrashNotice] = []
    for item in value if isinstance(value, list) else []:
        if not isinstance(item, list) or len(item) < 4:
            continue
        crash_id, fingerprint, age_s, cleared = item[:4]
        ids_are_valid = isinstance(crash_id, str) and isinstance(fingerprint, str)
        is_age = is_in_range(age_s, -MAX_SECONDS, MAX_SECONDS)
        if ids_are_valid and is_age and isinstance(cleared, bool):
            notices.append(CrashNotice(crash_id, fingerprint, float(age_s), cleared))
    return notices
