"""Admission control for one target: decides whether a call runs, waits or is refused."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

from ..calls.call import CallContext
from ..calls.importance import Importance
from ..calls.outcome import Reason
from ..calls.outcome import Refusal
from ..randomness import RandomSource
from ..randomness import jittered
from .admission_level import AdmissionLevel
from .admission_level import LevelController
from .fair_queue import FairQueue
from .fair_queue import QueuedCall
from .limit import ConcurrencyLimit
from .service_time import ServiceTime

QUEUE_DELAY_S = 0.1
"""Longest time that a call waits in the queue."""

MIN_QUEUE_DELAY_S = 0.02
"""Lower bound on the maximum queue delay under a standing queue; still absorbs a burst."""

PROBE_QUEUE_DELAY_S = 0.4
"""Longest time that a call waits in the queue while the limit is lowered for a probe.

A probe takes 0.2 to 0.3 s if calls take up to 0.1 s.
"""

STANDING_QUEUE_S = 0.5
"""Time without an empty queue after which an organisation's queue counts as standing.

Bursts of an organisation within its share end sooner.
"""

QUEUE_CAPACITY = 256
"""Maximum number of waiting calls; beyond it the least important call is refused."""

RETRY_AFTER_MIN_S = 0.5
"""Lower bound on the retry delay in a refusal; a queue drains within 5 queue delays."""


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the call to the target now."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call now; it has not run."""

    call_id: str
    refusal: Refusal


AdmissionAction = Admit | Refuse


def call_kind(call: CallContext) -> int:
    """Return a number that groups calls with similar expected service times.

    Calls are grouped by importance and by whether they are nested.
    """
    return 2 * call.importance + (call.depth > 1)


class Admission:
    """Admits, queues or refuses the calls to one target.

    The driver executes the returned actions in order and calls `expire` at the time that
    `next_expiry` returns. Times are in seconds on the monotonic clock.
    """

    def __init__(
        self, limit: ConcurrencyLimit, random_source: RandomSource, capacity: int = QUEUE_CAPACITY
    ) -> None:
        self._limit = limit
        self._random_source = random_source
        self._capacity = capacity
        self._queue = FairQueue()
        self._kind_by_running: dict[str, int] = {}
        self._service_time = ServiceTime()
        self._level_controller = LevelController()

    @property
    def level(self) -> AdmissionLevel:
        """Current admission level: which calls callers should not send."""
        return self._level_controller.level

    @property
    def limit(self) -> int:
        """Maximum number of calls that run at the target at the same time."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Number of calls that run at the target."""
        return len(self._kind_by_running)

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    def offer(self, call: CallContext, now: float) -> list[AdmissionAction]:
        """Admit, queue or refuse a new call.

        The actions can also concern other calls, for example one that is evicted from a full queue.

        Raises:
            ValueError: a call with the same id is running or waiting.
        """
        call_id = call.call_id
        if call_id in self._kind_by_running or call_id in self._queue:
            raise ValueError(
                f"call {call_id} is already running or waiting; use a new id for each attempt"
            )
        self._level_controller.on_offer(call.organisation, now)
        latest_start = call.deadline - self._service_time.expected_s(now)
        if latest_start < now or call.deadline <= now:
            return [self._refuse(call, Reason.DEADLINE, is_overload=False)]
        if not self._queue and len(self._kind_by_running) < self._limit.limit:
            return [self._admit(call, now)]
        # Only `expire`, `finish` and `cancel` refuse expired calls. After a delay of the driver, a
        # new call may be handled before the ends of running calls that freed slots in time.
        actions: list[AdmissionAction] = []
        self._enqueue(call, latest_start, now)
        self._admit_waiting(now, actions)
        if len(self._queue) > self._capacity:
            evicted = self._queue.evict()
            if evicted is not None:
                actions.append(self._refuse(evicted, Reason.OVERLOADED))
        return actions

    def finish(self, call_id: str, now: float, latency_s: float, ok: bool) -> list[AdmissionAction]:
        """Record the end of a running call and return the actions for waiting calls.

        An unknown id has no effect. `latency_s` is the time that the call spent at the target. `ok`
        is False if the target shed the call or did not complete it in time.
        """
        kind = self._kind_by_running.get(call_id)
        if kind is None:
            return []
        was_probing = self._limit.is_probing
        self._limit.on_finish(now, latency_s, len(self._kind_by_running), ok, kind)
        if self._limit.is_probing and not was_probing:
            self._queue.change_expiry(self._expiry_during_probe)
        self._service_time.add(now, latency_s, ok)
        del self._kind_by_running[call_id]
        return self._expire_and_admit(now)

    def cancel(self, call_id: str, now: float) -> list[AdmissionAction]:
        """Remove a waiting call, or free the slot of a call that the target no longer runs.

        The returned actions concern other calls only.
        """
        if not self._queue.remove(call_id):
            self._kind_by_running.pop(call_id, None)
        return self._expire_and_admit(now)

    def expire(self, now: float) -> list[AdmissionAction]:
        """Refuse the waiting calls that have expired."""
        return self._expire_and_admit(now)

    def next_expiry(self) -> float | None:
        """Return when `expire` must be called next, or None if no call waits."""
        return self._queue.next_expiry()

    def _expire_and_admit(self, now: float) -> list[AdmissionAction]:
        if not self._queue:
            return []
        # A free slot runs the most important call even if its maximum queue delay has passed, as it
        # has for all waiting calls after a delay of the driver.
        actions: list[AdmissionAction] = []
        self._admit_waiting(now, actions)
        actions.extend(self._refuse_expired(now))
        return actions

    def _enqueue(self, call: CallContext, latest_start: float, now: float) -> None:
        expires_at = now + self._queue_delay_s(call, now)
        reason = Reason.QUEUE_DELAY
        if latest_start < expires_at:
            expires_at, reason = latest_start, Reason.DEADLINE
        self._queue.push(QueuedCall(call, now, latest_start, expires_at, reason))

    def _queue_delay_s(self, call: CallContext, now: float) -> float:
        """Return the maximum queue delay of a new call.

        It decreases with the time for which the call's organisation has had waiting calls. A
        standing queue adds delay at each hop of a call chain without adding throughput. The time is
        tracked per organisation so that a surge of one does not shorten the delay of the others.
        """
        if self._limit.is_probing and call.importance > min(Importance):
            # The call waits because of the probe, not because of load.
            return PROBE_QUEUE_DELAY_S
        since = self._queue.waiting_since(call)
        if since is None or now - since <= STANDING_QUEUE_S:
            return QUEUE_DELAY_S
        return max(MIN_QUEUE_DELAY_S, QUEUE_DELAY_S * sqrt(STANDING_QUEUE_S / (now - since)))

    def _expiry_during_probe(self, queued: QueuedCall) -> float:
        """Return the new expiry time of a call that was queued before the probe began."""
        if queued.call.importance == min(Importance) or queued.reason is Reason.DEADLINE:
            return queued.expires_at
        expires_at = queued.queued_at + PROBE_QUEUE_DELAY_S
        return min(max(queued.expires_at, expires_at), queued.latest_start)

    def _refuse_expired(self, now: float) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = []
        while (queued := self._queue.pop_expired(now)) is not None:
            actions.append(self._refuse(queued.call, queued.reason))
        return actions

    def _admit_waiting(self, now: float, actions: list[AdmissionAction]) -> None:
        while len(self._kind_by_running) < self._limit.limit:
            call = self._queue.pop()
            if call is None:
                break
            if call.deadline - self._service_time.expected_s(now) < now:
                actions.append(self._refuse(call, Reason.DEADLINE))
                continue
            actions.append(self._admit(call, now))

    def _admit(self, call: CallContext, now: float) -> Admit:
        self._kind_by_running[call.call_id] = call_kind(call)
        self._limit.on_start(now)
        return Admit(call.call_id)

    def _refuse(self, call: CallContext, reason: Reason, is_overload: bool = True) -> Refuse:
        if is_overload:
            self._level_controller.on_refusal(call.organisation, call.importance)
        delay_s = jittered(RETRY_AFTER_MIN_S, self._random_source)
        return Refuse(call.call_id, Refusal(reason, retry_after_s=delay_s))
