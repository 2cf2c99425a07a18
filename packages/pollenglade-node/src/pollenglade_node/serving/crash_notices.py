"""Spreads crash notices among the nodes that serve a service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from time import monotonic

from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.randomness import RandomSource

from ..membership.links import Links

CRASH_TOPIC = "crash-notices"
LEDGER_TOPIC = "crash-ledger"

LEDGER_PEERS = 3
"""Peers whose ledger a node asks for; one of them may have missed a notice as well."""

MAX_LEDGER_NOTICES = 5_000
"""Latest notices in an answer, about 100 bytes each; a link message holds 1 MiB."""


class CrashNotices:
    """Sends notices to the nodes of a service and merges those of other nodes."""

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

    def pull(self, service: str) -> None:
        """Ask some nodes of a service for their ledgers.

        A node that begins to offer a service may have missed the notices while it did not.
        """
        own = self._links.hello.node
        nodes = [node for node in self._nodes_of_service(service) if node != own]
        for node in self._source.sample(nodes, min(LEDGER_PEERS, len(nodes))):
            self._links.ask_node(node, LEDGER_TOPIC, [], self._merge)

    def tell_new(self, nodes: Iterable[str]) -> None:
        """Repeat the notices to nodes that were not known to offer a service before."""
        notices = self._known()
        for node in nodes:
            if notices and node != self._links.hello.node:
                self._links.ask_node(node, CRASH_TOPIC, notices_to_wire(notices), self._merge)

    def _known(self) -> list[CrashNotice]:
        return self._ledger.notices(monotonic())[-MAX_LEDGER_NOTICES:]

    def _merge(self, answer: object) -> None:
        self._ledger.merge(notices_from_wire(answer), monotonic())

    def answer_ledger(self, payload: object, answer: Callable[[object], None]) -> None:
        """Answer with all that is known about crashes."""
        answer(notices_to_wire(self._known()))

    async def notify(self, service: str, notices: list[CrashNotice]) -> None:
        """Send notices to every node of a service and return once all have answered."""
        own = self._links.hello.node
        nodes = [node for node in self._nodes_of_service(service) if node != own]
        if nodes:
            await asyncio.gather(*(self._tell(node, notices) for node in nodes))

    async def _tell(self, node: str, notices: list[CrashNotice]) -> None:
        answered: asyncio.Future[object] = asyncio.get_running_loop().create_future()

        def on_answer(answer: object) -> None:
            if not answered.done():
                answered.set_result(answer)

        self._links.ask_node(node, CRASH_TOPIC, notices_to_wire(notices), on_answer)
        self._merge(await answered)

    def answer(self, payload: object, answer: Callable[[object], None]) -> None:
        """Merge the notices of another node and answer with those that clear some of them."""
        cleared = self._ledger.merge(notices_from_wire(payload), monotonic())
        answer(notices_to_wire(cleared))


def notices_to_wire(notices: Sequence[CrashNotice]) -> list[list[object]]:
    """Return notices as lists for the link."""
    return [[item.crash_id, item.fingerprint, item.age_s, item.cleared] for item in notices]


def notices_from_wire(value: object) -> list[CrashNotice]:
    """Return the well-formed notices of a message; others are ignored."""
    notices: list[CrashNotice] = []
    for item in value if isinstance(value, list) else []:
        if not isinstance(item, list) or len(item) < 4:
            continue
        crash_id, fingerprint, age_s, cleared = item[:4]
        texts = isinstance(crash_id, str) and isinstance(fingerprint, str)
        if texts and isinstance(age_s, int | float) and isinstance(cleared, bool):
            notices.append(CrashNotice(crash_id, fingerprint, float(age_s), cleared))
    return notices
