"""Admission of calls to one target: which call runs, waits or is refused."""

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
from .fair_queue import Waiting
from .limit import ConcurrencyLimit
from .service_time import ServiceTime

QUEUE_DELAY_S = 0.1
"""Longest time in the queue."""

MIN_QUEUE_DELAY_S = 0.02
"""Shortest bound under a standing queue; it still absorbs a burst of arrivals."""

PROBE_QUEUE_DELAY_S = 0.4
"""Longest time in the queue for a call that waits while the limit is lowered for a probe; a probe
takes 0.2 to 0.3 s where calls take up to 0.1 s."""

STANDING_S = 0.5
"""Time after which a queue that never empties counts as standing; bursts within a share end
sooner."""

QUEUE_CAPACITY = 256
"""Calls that wait at most; beyond it the least important call is refused."""

RETRY_AFTER_S = 0.5
"""Lower end of the delay that a refusal asks for; 5 queue delays let a queue drain."""


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the call to the target now."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the call with the refusal now; it has not run."""

    call_id: str
    refusal: Refusal


Action = Admit | Refuse


def kind_of(call: CallContext) -> int:
    """Return a small number that calls with similar work are likely to share."""
    return 2 * call.importance + (call.depth > 1)


class Admission:
    """Decides for one target; the driver carries out the returned actions in order.

    The driver calls `expire` at the time that `next_expiry` gives.
    """

    def __init__(
        self, limit: ConcurrencyLimit, source: RandomSource, capacity: int = QUEUE_CAPACITY
    ) -> None:
        self._limit = limit
        self._source = source
        self._capacity = capacity
        self._queue = FairQueue()
        self._kind_by_running: dict[str, int] = {}
        self._service_time = ServiceTime()
        self._levels = LevelController()

    @property
    def level(self) -> AdmissionLevel:
        """What callers should not send at the moment."""
        return self._levels.level

    @property
    def limit(self) -> int:
        """Calls that may run at the target at once."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Calls that run at the target."""
        return len(self._kind_by_running)

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return len(self._queue)

    def offer(self, call: CallContext, now: float) -> list[Action]:
        """Admit, queue or refuse a new call; raise ValueError where its id is in use."""
        call_id = call.call_id
        if call_id in self._kind_by_running or call_id in self._queue:
            raise ValueError(f"call {call_id} was offered before; use a new id for each attempt")
        self._levels.on_offer(call.organisation, now)
        latest_start = call.deadline - self._service_time.expected_s(now)
        if latest_start < now or call.deadline <= now:
            return [self._refuse(call, Reason.DEADLINE, for_load=False)]
        if not self._queue and len(self._kind_by_running) < self._limit.limit:
            return [self._admit(call, now)]
        actions = self._expired(now)
        self._enqueue(call, latest_start, now)
        self._fill(now, actions)
        if len(self._queue) > self._capacity:
            victim = self._queue.push_out()
            if victim is not None:
                actions.append(self._refuse(victim, Reason.OVERLOADED))
        return actions

    def finish(self, call_id: str, now: float, latency_s: float, ok: bool) -> list[Action]:
        """End a running call; an unknown id has no effect.

        `latency_s` is the time at the target. `ok` is False where the target shed the call or did
        not complete it in time.
        """
        kind = self._kind_by_running.get(call_id)
        if kind is None:
            return []
        was_probing = self._limit.is_probing
        self._limit.on_finish(now, latency_s, len(self._kind_by_running), ok, kind)
        if self._limit.is_probing and not was_probing:
            self._queue.change_expiry(self._expiry_in_probe)
        self._service_time.add(now, latency_s, ok)
        del self._kind_by_running[call_id]
        return self._advance(now)

    def cancel(self, call_id: str, now: float) -> list[Action]:
        """Drop a waiting call, or free the slot of a call that the target no longer runs.

        The actions concern other calls only; the cancelled call gets none.
        """
        if not self._queue.remove(call_id):
            self._kind_by_running.pop(call_id, None)
        return self._advance(now)

    def expire(self, now: float) -> list[Action]:
        """Refuse the calls whose time in the queue is over."""
        return self._advance(now)

    def next_expiry(self) -> float | None:
        """Return the time of the next `expire`; None where nothing waits."""
        return self._queue.next_expiry()

    def _advance(self, now: float) -> list[Action]:
        if not self._queue:
            return []
        actions = self._expired(now)
        self._fill(now, actions)
        return actions

    def _enqueue(self, call: CallContext, latest_start: float, now: float) -> None:
        expires_at = now + self._queue_delay_s(call, now)
        reason = Reason.QUEUE_DELAY
        if latest_start < expires_at:
            expires_at, reason = latest_start, Reason.DEADLINE
        self._queue.push(Waiting(call, now, latest_start, expires_at, reason))

    def _queue_delay_s(self, call: CallContext, now: float) -> float:
        """Return the bound for a new call, shorter the longer its organisation has waited.

        A standing queue adds delay at each hop of the chain without adding throughput. Queues are
        judged by organisation, so that a surge does not shorten the bound for others.
        """
        if self._limit.is_probing and call.importance > min(Importance):
            # The probe, not the load, keeps the call waiting.
            return PROBE_QUEUE_DELAY_S
        since = self._queue.waiting_since(call)
        if since is None or now - since <= STANDING_S:
            return QUEUE_DELAY_S
        return max(MIN_QUEUE_DELAY_S, QUEUE_DELAY_S * sqrt(STANDING_S / (now - since)))

    def _expiry_in_probe(self, waiting: Waiting) -> float:
        """Return when a call expires that was in the queue before the probe began."""
        if waiting.call.importance == min(Importance) or waiting.reason is Reason.DEADLINE:
            return waiting.expires_at
        expires_at = waiting.queued_at + PROBE_QUEUE_DELAY_S
        return min(max(waiting.expires_at, expires_at), waiting.latest_start)

    def _expired(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while (waiting := self._queue.pop_expired(now)) is not None:
            actions.append(self._refuse(waiting.call, waiting.reason))
        return actions

    def _fill(self, now: float, actions: list[Action]) -> None:
        while len(self._kind_by_running) < self._limit.limit:
            call = self._queue.pop()
            if call is None:
                break
            actions.append(self._admit(call, now))

    def _admit(self, call: CallContext, now: float) -> Admit:
        self._kind_by_running[call.call_id] = kind_of(call)
        self._limit.on_start(now)
        return Admit(call.call_id)

    def _refuse(self, call: CallContext, reason: Reason, for_load: bool = True) -> Refuse:
        if for_load:
            self._levels.on_refusal(call.organisation, call.importance)
        delay_s = jittered(RETRY_AFTER_S, self._source)
        return Refuse(call.call_id, Refusal(reason, retry_after_s=delay_s))
