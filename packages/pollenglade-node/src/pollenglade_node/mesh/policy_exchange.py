"""The traffic policy in force and its exchange with other nodes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass

import structlog

from pollenglade_core.policy.traffic_policy import TrafficPolicy

from ..membership.links import Links

POLICY_TOPIC = "policy"

FIRST_POLICY_WAIT_S = 0.5
"""Longest time in seconds for which the first policy of the store waits for the peers' versions."""

MAX_QUERIED_PEERS = 8
"""Number of peers that are asked for their policy before the first one is applied."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PolicyError:
    """The reason why a policy document cannot be applied."""

    reason: str


PolicyDecoder = Callable[[bytes], TrafficPolicy | PolicyError]


class PolicyExchange:
    """Applies the policy with the highest version, from whichever source it arrives first.

    A node that has just started knows no version. The store may return an older one than the node
    had in force before, so the first document of the store waits until peers were asked for theirs.

    `on_change` is called with each newly applied policy, `read_peers` returns the other nodes.
    `on_ask_peer` is called with each node that is asked before the first policy is applied.
    """

    def __init__(
        self,
        decode: PolicyDecoder,
        links: Links,
        read_peers: Callable[[], Collection[str]],
        random_source: random.Random,
    ) -> None:
        self._decode = decode
        self._links = links
        self._read_peers = read_peers
        self._random_source = random_source
        self._document = b""
        self._is_fetching = False
        self._members_known = False
        self._first_document: tuple[bytes, str] | None = None
        self._first_document_timer: asyncio.TimerHandle | None = None
        self._awaited_peers: set[str] = set()
        self.current: TrafficPolicy | None = None
        self.on_change: Callable[[TrafficPolicy], None] = lambda policy: None
        self.on_ask_peer: Callable[[str], None] = lambda node: None

    @property
    def version(self) -> int:
        """Version of the policy in force; -1 if there is none."""
        return -1 if self.current is None else self.current.version

    def offer(self, document: bytes, source: str) -> None:
        """Apply a policy document if its version is higher than that in force.

        A document that cannot be decoded is logged and ignored.
        """
        policy = self._decode(document)
        if isinstance(policy, PolicyError):
            log.warning("policy_rejected", source=source, reason=policy.reason)
            return
        if policy.version <= self.version:
            return
        log.info("policy_applied", version=policy.version, before=self.version, source=source)
        self.current = policy
        self._document = document
        self.on_change(policy)

    def offer_from_store(self, document: bytes, source: str) -> None:
        """Apply a document of the store; the first one waits for the versions of the peers."""
        if self.current is not None:
            self.offer(document, source)
            return
        is_first = self._first_document is None
        self._first_document = document, source
        if not is_first:
            return
        self._first_document_timer = asyncio.get_running_loop().call_later(
            FIRST_POLICY_WAIT_S, self._apply_first_document
        )
        if self._members_known:
            self._ask_peers()

    def on_members_known(self) -> None:
        """Ask the members for their policies, if a document of the store waits for them."""
        is_first = not self._members_known
        self._members_known = True
        if is_first and self._first_document is not None:
            self._ask_peers()

    def _ask_peers(self) -> None:
        peers = list(self._read_peers())
        chosen = self._random_source.sample(peers, min(len(peers), MAX_QUERIED_PEERS))
        self._awaited_peers = set(chosen)
        for node in chosen:
            self._ask_peer(node)
        if not chosen:
            self._apply_first_document()

    def _ask_peer(self, node: str) -> None:
        def on_reply(reply: object) -> None:
            if isinstance(reply, bytes) and reply:
                self.offer(reply, node)
            self._awaited_peers.discard(node)
            if not self._awaited_peers:
                self._apply_first_document()

        self.on_ask_peer(node)
        self._links.query_node(node, POLICY_TOPIC, self.version, on_reply)

    def _apply_first_document(self) -> None:
        if self._first_document_timer is not None:
            self._first_document_timer.cancel()
            self._first_document_timer = None
        if self._first_document is not None:
            (document, source), self._first_document = self._first_document, None
            self.offer(document, source)

    def close(self) -> None:
        """Stop waiting for peers."""
        if self._first_document_timer is not None:
            self._first_document_timer.cancel()

    def on_peer_version(self, node: str, version: int) -> None:
        """Fetch the policy document of a peer whose version is higher."""
        if version <= self.version or self._is_fetching:
            return
        self._is_fetching = True

        def on_reply(reply: object) -> None:
            self._is_fetching = False
            if isinstance(reply, bytes) and reply:
                self.offer(reply, node)

        self._links.query_node(node, POLICY_TOPIC, self.version, on_reply)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply with the policy document if the peer's version is lower, else with empty bytes."""
        is_newer = isinstance(payload, int) and payload < self.version
        reply(self._document if is_newer else b"")
