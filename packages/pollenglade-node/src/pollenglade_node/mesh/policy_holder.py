"""The traffic policy in force, its document, and its exchange with other nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from pollenglade_core.policy.traffic_policy import TrafficPolicy

from ..membership.links import Links

POLICY_TOPIC = "policy"

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PolicyFault:
    """A document that cannot be applied, and why."""

    reason: str


PolicyDecoder = Callable[[bytes], TrafficPolicy | PolicyFault]


class PolicyHolder:
    """Applies a policy only if its version is higher, from whichever source it comes first."""

    def __init__(self, decode: PolicyDecoder, links: Links) -> None:
        self._decode = decode
        self._links = links
        self._document = b""
        self._asking = False
        self.current: TrafficPolicy | None = None
        self.on_change: Callable[[TrafficPolicy], None] = lambda policy: None

    @property
    def version(self) -> int:
        """Version in force; -1 where there is none."""
        return -1 if self.current is None else self.current.version

    def offer(self, document: bytes, source: str) -> None:
        """Apply a document if it has a higher version than the one in force."""
        policy = self._decode(document)
        if isinstance(policy, PolicyFault):
            log.warning("policy_rejected", source=source, reason=policy.reason)
            return
        if policy.version <= self.version:
            return
        log.info("policy_applied", version=policy.version, before=self.version, source=source)
        self.current = policy
        self._document = document
        self.on_change(policy)

    def on_peer_version(self, node: str, version: int) -> None:
        """Fetch the document of a peer whose version is higher."""
        if version <= self.version or self._asking:
            return
        self._asking = True

        def on_answer(answer: object) -> None:
            self._asking = False
            if isinstance(answer, bytes) and answer:
                self.offer(answer, node)

        self._links.ask_node(node, POLICY_TOPIC, self.version, on_answer)

    def answer(self, payload: object, answer: Callable[[object], None]) -> None:
        """Answer a peer with the document if its version is lower."""
        newer = isinstance(payload, int) and payload < self.version
        answer(self._document if newer else b"")
