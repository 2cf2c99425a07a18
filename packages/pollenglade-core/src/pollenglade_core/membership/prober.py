"""Failure detection by probes, indirect confirmation and suspicion."""

from __future__ import annotations

from dataclasses import dataclass

from ..randomness import RandomSource
from .member import Member
from .member import MemberState
from .member_table import MemberTable

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
SUSPICION_S = 3.0
INDIRECT_PEERS = 3

OTHER_ZONE_EVERY = 5
"""Each fifth probe goes to another zone; the others find failures in the own zone fast."""


UNCOUNTED = 0
"""Probe number of a ping whose answer is not waited for."""


@dataclass(frozen=True, slots=True)
class Ping:
    """Exchange gossip with `node` and report its answer by `on_answer`."""

    probe: int
    node: str


@dataclass(frozen=True, slots=True)
class PingVia:
    """Let `helper` probe `node` and report a positive result by `on_answer`."""

    probe: int
    helper: str
    node: str


@dataclass(slots=True)
class _Probe:
    member: Member
    started_at: float
    is_indirect: bool = False


class Prober:
    """Probes one random member each second; a silent one becomes suspect and then dead."""

    def __init__(self, table: MemberTable, source: RandomSource) -> None:
        self._table = table
        self._source = source
        self._count = 0
        self._next_at = 0.0
        self._probes: dict[int, _Probe] = {}
        self._suspect_since: dict[tuple[str, int, int], float] = {}

    def advance(self, now: float) -> list[Ping | PingVia]:
        """Return the probes that are due, and judge those without an answer."""
        actions: list[Ping | PingVia] = []
        for number, probe in list(self._probes.items()):
            if now < probe.started_at + PROBE_TIMEOUT_S:
                continue
            if probe.is_indirect:
                del self._probes[number]
                self._on_silence(probe.member, now)
            else:
                probe.is_indirect, probe.started_at = True, now
                actions += self._indirect(number, probe.member)
        self._judge_suspects(now)
        self._table.expire(now)
        if now >= self._next_at:
            self._next_at = now + PROBE_PERIOD_S
            actions += self._direct(now)
            actions += self._dead()
        return actions

    def on_answer(self, probe: int) -> None:
        """Take the answer to a direct or indirect probe."""
        self._probes.pop(probe, None)

    def _direct(self, now: float) -> list[Ping | PingVia]:
        own = self._table.own
        others = [member for member in self._table.live() if member.node != own.node]
        near = [member for member in others if member.zone == own.zone]
        far = [member for member in others if member.zone != own.zone]
        self._count += 1
        preferred, rest = (far, near) if self._count % OTHER_ZONE_EVERY == 0 else (near, far)
        candidates = preferred or rest
        if not candidates:
            return []
        member = self._source.choice(candidates)
        self._probes[self._count] = _Probe(member, now)
        return [Ping(self._count, member.node)]

    def _dead(self) -> list[Ping]:
        # After a partition each side takes the other for dead, and nobody else would ask first.
        dead = self._table.dead()
        return [Ping(UNCOUNTED, self._source.choice(dead).node)] if dead else []

    def _indirect(self, number: int, member: Member) -> list[Ping | PingVia]:
        own = self._table.own
        helpers = [
            peer.node
            for peer in self._table.live()
            if peer.node not in (own.node, member.node) and peer.state is not MemberState.SUSPECT
        ]
        chosen = self._source.sample(helpers, min(INDIRECT_PEERS, len(helpers)))
        return [PingVia(number, helper, member.node) for helper in chosen]

    def _on_silence(self, member: Member, now: float) -> None:
        self._table.suspect(member.node, member.incarnation, member.sequence, now)

    def _judge_suspects(self, now: float) -> None:
        # Suspicion learned by gossip is timed here as well: whoever raised it may have ended.
        current: dict[tuple[str, int, int], float] = {}
        for member in self._table.live():
            if member.state is not MemberState.SUSPECT or member.node == self._table.own.node:
                continue
            key = (member.node, member.incarnation, member.sequence)
            current[key] = self._suspect_since.get(key, now)
            if now - current[key] >= SUSPICION_S:
                self._table.confirm_dead(*key, now)
        self._suspect_since = current
