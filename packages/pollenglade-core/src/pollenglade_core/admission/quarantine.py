"""Fingerprints of calls that were in flight when a target crashed."""

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
"""Time after the latest crash during which a fingerprint is refused or suspected."""

CRASH_BOUND = 2
"""Crashes over the fleet from which a fingerprint is refused."""

SUSPECT_RETRY_S = 0.5
"""Lower end of the delay for a call that waits for another one with a suspected fingerprint."""

COMPLETED_SIZE = 32_768
"""Completed fingerprints that are kept; the oldest are forgotten first, to bound the memory."""


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """A fingerprint was in flight at a crash, or was cleared of that crash.

    `crash_id` is unique over the fleet. `age_s` is relative, as nodes have no common clock.
    """

    crash_id: str
    fingerprint: str
    age_s: float
    cleared: bool = False


@dataclass(slots=True)
class _Record:
    """Crashes of one fingerprint; the value of `cleared_by_crash` is whether it was cleared."""

    expires_at: float
    cleared_by_crash: dict[str, bool] = field(default_factory=dict)

    @property
    def count(self) -> int:
        return sum(not cleared for cleared in self.cleared_by_crash.values())

    def age_s(self, now: float) -> float:
        """Return the time since the latest crash.

        Earlier crashes are reported with the same age, as they count as long as the latest does.
        """
        return max(0.0, now + QUARANTINE_S - self.expires_at)


@dataclass(frozen=True, slots=True)
class _Running:
    target: str
    fingerprint: str


class CrashLedger:
    """Crash counts at one node, merged from the notices of all nodes.

    The state is a set of crash ids and a set of cleared ones. Both only grow until they expire, so
    notices may be repeated and may arrive in any order.
    """

    def __init__(self) -> None:
        self._running_by_id: dict[str, _Running] = {}
        self._running_count: dict[str, int] = {}
        self._records: dict[str, _Record] = {}
        self._completed: OrderedDict[str, float] = OrderedDict()

    def crashes(self, fingerprint: str, now: float) -> int:
        """Return the crashes that count against a fingerprint."""
        record = self._record(fingerprint, now)
        return record.count if record else 0

    def check(self, call: CallContext, now: float, source: RandomSource) -> Refusal | None:
        """Return why a call must not start now; None where it may.

        The count in the call covers crashes whose notice has not arrived yet.
        """
        if not call.fingerprint:
            return None
        record = self._record(call.fingerprint, now)
        count = max(call.crash_count, record.count if record else 0)
        if count >= CRASH_BOUND:
            left_s = record.expires_at - now if record else QUARANTINE_S
            detail = "a call like this was running at several crashes of its target"
            return _refusal(left_s + jittered(SUSPECT_RETRY_S, source), detail)
        if count and call.fingerprint in self._running_count:
            detail = "a call like this is running and may crash its target; repeat later"
            return _refusal(jittered(SUSPECT_RETRY_S, source), detail)
        return None

    def start(self, call: CallContext, target: str) -> None:
        """Note that a call is sent to a target."""
        if not call.fingerprint:
            return
        self._running_by_id[call.call_id] = _Running(target, call.fingerprint)
        count = self._running_count.get(call.fingerprint, 0)
        self._running_count[call.fingerprint] = count + 1

    def finish(self, call_id: str, now: float, completed: bool) -> list[CrashNotice]:
        """Note that a call ended; return notices for the other nodes.

        `completed` means that the target gave its whole response. That clears the fingerprint.
        """
        running = self._stop(call_id)
        if running is None or not completed:
            return []
        self._note_completed(running.fingerprint, now)
        record = self._record(running.fingerprint, now)
        if record is None or not record.count:
            return []
        # The record itself shows the completion; it does not excuse a later crash as well.
        del self._completed[running.fingerprint]
        return self._clear(running.fingerprint, record, now)

    def crash(self, target: str, crash_id: str, now: float) -> list[CrashNotice]:
        """Note that a target crashed; return notices for the other nodes.

        The driver chooses `crash_id`, for example from node, incarnation and a counter.
        """
        in_flight = [key for key, run in self._running_by_id.items() if run.target == target]
        fingerprints = {run.fingerprint for key in in_flight if (run := self._stop(key))}
        crashes = [CrashNotice(crash_id, fingerprint, 0.0) for fingerprint in sorted(fingerprints)]
        cleared = self.merge(crashes, now)
        cleared_fingerprints = {notice.fingerprint for notice in cleared}
        return [n for n in crashes if n.fingerprint not in cleared_fingerprints] + cleared

    def merge(self, notices: Iterable[CrashNotice], now: float) -> list[CrashNotice]:
        """Apply notices of other nodes; return notices that clear some of them."""
        answers: list[CrashNotice] = []
        for notice in notices:
            if notice.age_s >= QUARANTINE_S:
                continue
            if self._apply(notice, now) and self._excuses(notice.fingerprint, now):
                record = self._records[notice.fingerprint]
                answers += self._clear(notice.fingerprint, record, now)
        return answers

    def notices(self, now: float) -> list[CrashNotice]:
        """Return all that is known, for gossip; drop what has expired."""
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if now < record.expires_at
        }
        return [
            CrashNotice(crash_id, fingerprint, record.age_s(now), cleared)
            for fingerprint, record in self._records.items()
            for crash_id, cleared in record.cleared_by_crash.items()
        ]

    def _apply(self, notice: CrashNotice, now: float) -> bool:
        """Store a notice; return whether it counts a crash that was not known."""
        expires_at = now - max(0.0, notice.age_s) + QUARANTINE_S
        record = self._record(notice.fingerprint, now)
        if record is None:
            record = self._records[notice.fingerprint] = _Record(expires_at)
        known = notice.crash_id in record.cleared_by_crash
        if not known:
            # A repeated notice must not extend the time: the delay of each message would add up.
            record.expires_at = max(record.expires_at, expires_at)
        cleared = notice.cleared or record.cleared_by_crash.get(notice.crash_id, False)
        record.cleared_by_crash[notice.crash_id] = cleared
        return not known and not cleared

    def _clear(self, fingerprint: str, record: _Record, now: float) -> list[CrashNotice]:
        counted = [key for key, cleared in record.cleared_by_crash.items() if not cleared]
        for crash_id in counted:
            record.cleared_by_crash[crash_id] = True
        age_s = record.age_s(now)
        return [CrashNotice(crash_id, fingerprint, age_s, cleared=True) for crash_id in counted]

    def _excuses(self, fingerprint: str, now: float) -> bool:
        """Use up a recent completion.

        Popular harmless calls are in flight at many crashes and complete again at once. A call
        that completed once and crashes its target from then on is excused only once per node.
        """
        completed_at = self._completed.pop(fingerprint, None)
        return completed_at is not None and now - completed_at < QUARANTINE_S

    def _note_completed(self, fingerprint: str, now: float) -> None:
        self._completed[fingerprint] = now
        self._completed.move_to_end(fingerprint)
        while len(self._completed) > COMPLETED_SIZE:
            self._completed.popitem(last=False)

    def _record(self, fingerprint: str, now: float) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and now >= record.expires_at:
            del self._records[fingerprint]
            return None
        return record

    def _stop(self, call_id: str) -> _Running | None:
        running = self._running_by_id.pop(call_id, None)
        if running is None:
            return None
        count = self._running_count[running.fingerprint] - 1
        if count:
            self._running_count[running.fingerprint] = count
        else:
            del self._running_count[running.fingerprint]
        return running


def _refusal(delay_s: float, detail: str) -> Refusal:
    return Refusal(Reason.QUARANTINED, retry_after_s=delay_s, detail=detail)


def suspect_runner(fingerprint: str, nodes: Iterable[str]) -> str | None:
    """Return the one node that runs a suspected fingerprint; None where there is no node.

    All nodes with the same member list agree without a message, so that a suspected call runs at
    one target at a time over the fleet.
    """
    return max(nodes, key=lambda node: (_weight(fingerprint, node), node), default=None)


def _weight(fingerprint: str, node: str) -> bytes:
    return blake2b(f"{fingerprint}\0{node}".encode(), digest_size=8).digest()
