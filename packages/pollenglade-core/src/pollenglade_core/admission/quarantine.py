"""Quarantine for calls that may crash their target, identified by fingerprint.

A fingerprint counts as suspected after a crash of a target at which it was in flight.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b

from ..calls.call import CallContext
from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered

QUARANTINE_S = 600.0
"""Time after the latest crash in seconds for which a fingerprint stays refused or suspected."""

CRASH_LIMIT = 2
"""Number of crashes over the whole fleet at which a fingerprint is refused."""

SUSPECT_RETRY_AFTER_MIN_S = 0.5
"""Lower bound on the retry delay of a call refused while its suspected fingerprint is running."""

MAX_COMPLETED = 32_768
"""Maximum number of completed fingerprints kept in memory; the oldest are evicted first."""


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """States that a fingerprint was in flight at a crash, or that it was cleared of that crash.

    `crash_id` is unique over the fleet. The notice carries the age of the crash and not its time
    because nodes have no common clock.
    """

    crash_id: str
    fingerprint: str
    age_s: float
    cleared: bool = False


@dataclass(slots=True)
class _CrashRecord:
    """Crashes of one fingerprint; `cleared_by_crash` maps a crash id to whether it was cleared."""

    expires_at: float
    cleared_by_crash: dict[str, bool] = field(default_factory=dict)

    @property
    def count(self) -> int:
        return sum(not cleared for cleared in self.cleared_by_crash.values())

    def age_s(self, now: float) -> float:
        """Return the time since the latest crash.

        Earlier crashes are reported with the same age because all of them expire together.
        """
        return max(0.0, now + QUARANTINE_S - self.expires_at)


@dataclass(frozen=True, slots=True)
class _RunningCall:
    target: str
    fingerprint: str


class CrashLedger:
    """Crash counts at one node, merged from the notices of all nodes.

    For each fingerprint the state is a set of crash ids and a set of cleared crash ids. Both only
    grow until they expire, so notices can be repeated and can arrive in any order.
    """

    def __init__(self) -> None:
        self._running_by_id: dict[str, _RunningCall] = {}
        self._running_count_by_fingerprint: dict[str, int] = {}
        self._record_by_fingerprint: dict[str, _CrashRecord] = {}
        self._completed_at_by_fingerprint: OrderedDict[str, float] = OrderedDict()

    def crashes(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes of a fingerprint that were not cleared."""
        record = self._record(fingerprint, now)
        return record.count if record else 0

    def check(self, call: CallContext, now: float, random_source: RandomSource) -> Refusal | None:
        """Return a refusal if a call must not start now, otherwise None.

        The crash count in the call covers crashes whose notices have not arrived yet.
        """
        if not call.fingerprint:
            return None
        record = self._record(call.fingerprint, now)
        count = max(call.crash_count, record.count if record else 0)
        if count >= CRASH_LIMIT:
            remaining_s = record.expires_at - now if record else QUARANTINE_S
            detail = "a call like this was running at several crashes of its target"
            return _refusal(
                remaining_s + jittered(SUSPECT_RETRY_AFTER_MIN_S, random_source), detail
            )
        if count and call.fingerprint in self._running_count_by_fingerprint:
            detail = "a call like this is running and may crash its target; repeat later"
            return _refusal(jittered(SUSPECT_RETRY_AFTER_MIN_S, random_source), detail)
        return None

    def on_call_started(self, call: CallContext, target: str) -> None:
        """Record that a call is sent to a target."""
        if not call.fingerprint:
            return
        self._running_by_id[call.call_id] = _RunningCall(target, call.fingerprint)
        count = self._running_count_by_fingerprint.get(call.fingerprint, 0)
        self._running_count_by_fingerprint[call.fingerprint] = count + 1

    def on_call_ended(self, call_id: str, now: float, completed: bool) -> list[CrashNotice]:
        """Record that a call ended; return notices for the other nodes.

        `completed` means that the target sent its whole response, which clears the fingerprint.
        """
        running = self._remove_running(call_id)
        if running is None or not completed:
            return []
        self._record_completion(running.fingerprint, now)
        record = self._record(running.fingerprint, now)
        if record is None or not record.count:
            return []
        # The completion clears the crashes on record; it must not clear a later crash as well.
        del self._completed_at_by_fingerprint[running.fingerprint]
        return self._clear(running.fingerprint, record, now)

    def on_target_crashed(self, target: str, crash_id: str, now: float) -> list[CrashNotice]:
        """Record that a target crashed; return notices for the other nodes.

        The driver generates `crash_id`, for example from the node, its incarnation and a counter.
        """
        in_flight = [key for key, run in self._running_by_id.items() if run.target == target]
        fingerprints = {run.fingerprint for key in in_flight if (run := self._remove_running(key))}
        crashes = [CrashNotice(crash_id, fingerprint, 0.0) for fingerprint in sorted(fingerprints)]
        cleared = self.apply_notices(crashes, now)
        cleared_fingerprints = {notice.fingerprint for notice in cleared}
        return [
            notice for notice in crashes if notice.fingerprint not in cleared_fingerprints
        ] + cleared

    def apply_notices(self, notices: Iterable[CrashNotice], now: float) -> list[CrashNotice]:
        """Apply notices of other nodes; return notices of the crashes that this node clears."""
        cleared: list[CrashNotice] = []
        for notice in notices:
            if notice.age_s >= QUARANTINE_S:
                continue
            if self._apply(notice, now) and self._use_up_completion(notice.fingerprint, now):
                record = self._record_by_fingerprint[notice.fingerprint]
                cleared += self._clear(notice.fingerprint, record, now)
        return cleared

    def quarantine_notices(self, fingerprint: str, now: float) -> list[CrashNotice]:
        """Return the notices for which a fingerprint is refused; none if it is not."""
        record = self._record(fingerprint, now)
        if record is None or record.count < CRASH_LIMIT:
            return []
        age_s = record.age_s(now)
        return [
            CrashNotice(crash_id, fingerprint, age_s)
            for crash_id, cleared in record.cleared_by_crash.items()
            if not cleared
        ]

    def notices(self, now: float) -> list[CrashNotice]:
        """Return notices of all crashes on record, for gossip; remove expired records."""
        self._record_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._record_by_fingerprint.items()
            if now < record.expires_at
        }
        return [
            CrashNotice(crash_id, fingerprint, record.age_s(now), cleared)
            for fingerprint, record in self._record_by_fingerprint.items()
            for crash_id, cleared in record.cleared_by_crash.items()
        ]

    def _apply(self, notice: CrashNotice, now: float) -> bool:
        """Store a notice; return whether it adds a crash that is new and not cleared."""
        expires_at = now - max(0.0, notice.age_s) + QUARANTINE_S
        record = self._record(notice.fingerprint, now)
        if record is None:
            record = self._record_by_fingerprint[notice.fingerprint] = _CrashRecord(expires_at)
        known = notice.crash_id in record.cleared_by_crash
        if not known:
            # A repeated notice must not postpone the expiry: message delays would add up.
            record.expires_at = max(record.expires_at, expires_at)
        cleared = notice.cleared or record.cleared_by_crash.get(notice.crash_id, False)
        record.cleared_by_crash[notice.crash_id] = cleared
        return not known and not cleared

    def _clear(self, fingerprint: str, record: _CrashRecord, now: float) -> list[CrashNotice]:
        counted = [key for key, cleared in record.cleared_by_crash.items() if not cleared]
        for crash_id in counted:
            record.cleared_by_crash[crash_id] = True
        age_s = record.age_s(now)
        return [CrashNotice(crash_id, fingerprint, age_s, cleared=True) for crash_id in counted]

    def _use_up_completion(self, fingerprint: str, now: float) -> bool:
        """Remove the completion of a fingerprint; return whether it was recent.

        Frequent harmless calls are in flight at many crashes and soon complete again. A call that
        completed once and crashes its target from then on is cleared only once per node.
        """
        completed_at = self._completed_at_by_fingerprint.pop(fingerprint, None)
        return completed_at is not None and now - completed_at < QUARANTINE_S

    def _record_completion(self, fingerprint: str, now: float) -> None:
        self._completed_at_by_fingerprint[fingerprint] = now
        self._completed_at_by_fingerprint.move_to_end(fingerprint)
        while len(self._completed_at_by_fingerprint) > MAX_COMPLETED:
            self._completed_at_by_fingerprint.popitem(last=False)

    def _record(self, fingerprint: str, now: float) -> _CrashRecord | None:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None and now >= record.expires_at:
            del self._record_by_fingerprint[fingerprint]
            return None
        return record

    def _remove_running(self, call_id: str) -> _RunningCall | None:
        running = self._running_by_id.pop(call_id, None)
        if running is None:
            return None
        count = self._running_count_by_fingerprint[running.fingerprint] - 1
        if count:
            self._running_count_by_fingerprint[running.fingerprint] = count
        else:
            del self._running_count_by_fingerprint[running.fingerprint]
        return running


def _refusal(delay_s: float, detail: str) -> Refusal:
    return Refusal(Reason.QUARANTINED, retry_after_s=delay_s, detail=detail)


def node_for_suspected_call(fingerprint: str, nodes: Iterable[str]) -> str | None:
    """Return the only node that may run calls with a suspected fingerprint, or None without nodes.

    The node is chosen by rendezvous hashing: nodes with the same member list agree without
    messages, so a suspected call runs at one target at a time over the whole fleet.
    """
    return max(nodes, key=lambda node: (_rendezvous_weight(fingerprint, node), node), default=None)


def _rendezvous_weight(fingerprint: str, node: str) -> bytes:
    return blake2b(f"{fingerprint}\0{node}".encode(), digest_size=8).digest()
