"""The traffic policy in force and its exchange with other nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from pollenglade_core.policy.traffic_policy import TrafficPolicy

from ..membership.links import Links

POLICY_TOPIC = "policy"

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PolicyError:
    """The reason why a policy document cannot be applied."""

    reason: str


PolicyDecoder = Callable[[bytes], TrafficPolicy | PolicyError]


class PolicyExchange:
    """Applies the policy with the highest version, from whichever source it arrives first.

    `on_change` is called with each newly applied policy.
    """

    def __init__(self, decode: PolicyDecoder, links: Links) -> None:
        self._decode = decode
        self._links = links
        self._document = b""
        self._is_fetching = False
        self.current: TrafficPolicy | None = None
        self.on_change: Callable[[TrafficPolicy], None] = lambda policy: None

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
