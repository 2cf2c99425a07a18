"""Failure detection with direct probes, indirect probes and a suspicion timeout.

A direct probe is a ping of a member by this node, an indirect probe one by another member for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..randomness import RandomSource
from .member import Member
from .member import MemberState
from .member_table import MemberTable

PROBE_PERIOD_S = 1.0
"""Interval in seconds between direct probes."""

PROBE_TIMEOUT_S = 0.5
"""Time in seconds without a response after which a direct probe is followed by indirect ones.

After the same time again without a response the member is marked as suspect.
"""

SUSPICION_TIMEOUT_S = 3.0
"""Time in seconds after which a member that is still suspect is marked as dead."""

INDIRECT_PROBE_COUNT = 3
"""Maximum number of members that are asked to ping a member without a response."""

PROBES_PER_REMOTE_PROBE = 5
"""Every fifth probe goes to another zone; the others detect failures in the local zone quickly."""

UNTRACKED_PROBE = 0
"""Probe number of a ping whose response is not awaited."""


@dataclass(frozen=True, slots=True)
class Ping:
    """Exchange gossip with `node`, and call `on_ack` if it responds."""

    probe: int
    node: str


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask `intermediary` to probe `node`, and call `on_ack` if the node responds to it."""

    probe: int
    intermediary: str
    node: str


@dataclass(slots=True)
class _PendingProbe:
    member: Member
    started_at: float
    is_indirect: bool = False


class Prober:
    """Probes a random member each second and marks unresponsive members as suspect, then dead.

    Times are in seconds on a monotonic clock.
    """

    def __init__(self, table: MemberTable, source: RandomSource) -> None:
        self._table = table
        self._source = source
        self._probe_count = 0
        self._next_at = 0.0
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._suspected_at: dict[tuple[str, int, int], float] = {}

    def advance(self, now: float) -> list[Ping | IndirectPing]:
        """Return the probes that are due, after processing timeouts of probes and suspicions."""
        actions: list[Ping | IndirectPing] = []
        for number, probe in list(self._pending_probes.items()):
            if now < probe.started_at + PROBE_TIMEOUT_S:
                continue
            if probe.is_indirect:
                del self._pending_probes[number]
                self._on_timeout(probe.member, now)
            else:
                probe.is_indirect, probe.started_at = True, now
                actions += self._indirect_pings(number, probe.member)
        self._expire_suspicions(now)
        self._table.remove_expired(now)
        if now >= self._next_at:
            self._next_at = now + PROBE_PERIOD_S
            actions += self._direct_pings(now)
            actions += self._pings_of_dead_members()
        return actions

    def on_ack(self, probe: int) -> None:
        """Complete a direct or indirect probe that received a response."""
        self._pending_probes.pop(probe, None)

    def _direct_pings(self, now: float) -> list[Ping | IndirectPing]:
        local = self._table.local
        others = [member for member in self._table.live_members() if member.node != local.node]
        local_members = [member for member in others if member.zone == local.zone]
        remote_members = [member for member in others if member.zone != local.zone]
        self._probe_count += 1
        preferred, fallback = (
            (remote_members, local_members)
            if self._probe_count % PROBES_PER_REMOTE_PROBE == 0
            else (local_members, remote_members)
        )
        candidates = preferred or fallback
        if not candidates:
            return []
        member = self._source.choice(candidates)
        self._pending_probes[self._probe_count] = _PendingProbe(member, now)
        return [Ping(self._probe_count, member.node)]

    def _pings_of_dead_members(self) -> list[Ping]:
        # After a partition, each side regards the other as dead. Without these pings, neither side
        # would contact the other.
        dead_members = self._table.dead_members()
        return (
            [Ping(UNTRACKED_PROBE, self._source.choice(dead_members).node)] if dead_members else []
        )

    def _indirect_pings(self, number: int, member: Member) -> list[Ping | IndirectPing]:
        local = self._table.local
        intermediaries = [
            peer.node
            for peer in self._table.live_members()
            if peer.node not in (local.node, member.node) and peer.state is not MemberState.SUSPECT
        ]
        chosen = self._source.sample(intermediaries, min(INDIRECT_PROBE_COUNT, len(intermediaries)))
        return [IndirectPing(number, intermediary, member.node) for intermediary in chosen]

    def _on_timeout(self, member: Member, now: float) -> None:
        self._table.mark_suspect(member.node, member.incarnation, member.sequence, now)

    def _expire_suspicions(self, now: float) -> None:
        # Suspicions learned by gossip are timed here too, because the node that raised one may have
        # failed.
        suspected_at: dict[tuple[str, int, int], float] = {}
        for member in self._table.live_members():
            if member.state is not MemberState.SUSPECT or member.node == self._table.local.node:
                continue
            key = (member.node, member.incarnation, member.sequence)
            suspected_at[key] = self._suspected_at.get(key, now)
            if now - suspected_at[key] >= SUSPICION_TIMEOUT_S:
                self._table.mark_dead(*key, now)
        self._suspected_at = suspected_at
