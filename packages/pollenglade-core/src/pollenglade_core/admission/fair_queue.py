"""Priority queue of waiting calls.

Calls are ordered by importance, then nested calls before root calls, because upstream work is
already done for them; calls of equal priority are scheduled fairly between organisations.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush
from math import inf

from ..calls.call import CallContext
from ..calls.importance import Importance
from ..calls.outcome import Reason

MAX_STALE_ENTRIES = 64
"""Number of stale heap entries, beyond a multiple of the live ones, at which a heap is rebuilt."""

MAX_CREDIT_CALLS = 8.0
"""Calls per unit of weight that an organisation can catch up on after using less than its share.

Without this credit a burst shares the target equally with a surge of another organisation, and part
of the burst exceeds the queue delay although its organisation stays within its share.
"""


@dataclass(slots=True)
class QueuedCall:
    """A call in the queue, which is refused with `reason` once `expires_at` has passed.

    `latest_start` is the latest time at which it can start and still end before its deadline.
    `is_queued` becomes False when it leaves the queue, which marks its heap entries as stale.
    """

    call: CallContext
    queued_at: float
    latest_start: float
    expires_at: float
    reason: Reason
    is_queued: bool = True


@dataclass(slots=True)
class _Backlog:
    """Waiting calls of one organisation at one priority.

    `turn_serial` and `size_serial` identify its current entries in the heaps; entries with other
    serial numbers are stale.
    """

    organisation: str
    weight: float
    nonempty_since: float
    start_tag: float = 0.0
    turn_serial: int = 0
    size_serial: int = 0
    queued_by_id: OrderedDict[str, QueuedCall] = field(default_factory=OrderedDict)

    @property
    def weighted_size(self) -> float:
        return len(self.queued_by_id) / self.weight


class _StartTimeFairQueue:
    """Start-time fair queue over organisations for calls of one priority.

    A priority is an importance together with whether the call is nested.
    """

    def __init__(self) -> None:
        self.size = 0
        self._virtual_time = 0.0
        self._serial = 0
        self._backlog_by_organisation: dict[str, _Backlog] = {}
        self._finish_tag_by_organisation: dict[str, float] = {}
        self._turn_heap: list[tuple[float, int, _Backlog]] = []
        self._size_heap: list[tuple[float, int, _Backlog]] = []

    def push(self, queued: QueuedCall) -> None:
        call = queued.call
        backlog = self._backlog_by_organisation.get(call.organisation)
        if backlog is None:
            backlog = self._add_backlog(call, queued.queued_at)
        backlog.queued_by_id[call.call_id] = queued
        self.size += 1
        self._push_size_entry(backlog)
        if len(self._size_heap) > 4 * len(self._backlog_by_organisation) + MAX_STALE_ENTRIES:
            self._rebuild()

    def pop(self) -> QueuedCall:
        """Remove and return the oldest call of the organisation with the smallest start tag."""
        while True:
            tag, turn_serial, backlog = heappop(self._turn_heap)
            if turn_serial == backlog.turn_serial and backlog.queued_by_id:
                break
        self._virtual_time = tag
        finish_tag = tag + 1.0 / backlog.weight
        self._finish_tag_by_organisation[backlog.organisation] = finish_tag
        _, queued = backlog.queued_by_id.popitem(last=False)
        if backlog.queued_by_id:
            self._schedule_turn(backlog, finish_tag)
        self._after_removal(backlog)
        return queued

    def pop_newest_of_largest(self) -> QueuedCall:
        """Remove and return the newest call of the largest weighted backlog."""
        while True:
            negative_size, size_serial, backlog = self._size_heap[0]
            is_current = size_serial == backlog.size_serial and bool(backlog.queued_by_id)
            if is_current and -negative_size == backlog.weighted_size:
                break
            heappop(self._size_heap)
            if is_current:
                # The backlog has shrunk since this entry was pushed.
                self._push_size_entry(backlog)
        _, queued = backlog.queued_by_id.popitem(last=True)
        self._after_removal(backlog)
        return queued

    def remove(self, queued: QueuedCall) -> None:
        backlog = self._backlog_by_organisation[queued.call.organisation]
        del backlog.queued_by_id[queued.call.call_id]
        self._after_removal(backlog)

    def waiting_since(self, organisation: str) -> float | None:
        """Return since when an organisation has had waiting calls without interruption.

        None if it has no waiting call.
        """
        backlog = self._backlog_by_organisation.get(organisation)
        return None if backlog is None else backlog.nonempty_since

    def _add_backlog(self, call: CallContext, now: float) -> _Backlog:
        finish_tag = self._finish_tag_by_organisation.get(call.organisation, -inf)
        backlog = _Backlog(call.organisation, float(max(1, call.weight)), now)
        self._backlog_by_organisation[call.organisation] = backlog
        self._schedule_turn(backlog, max(self._virtual_time - MAX_CREDIT_CALLS, finish_tag))
        return backlog

    def _schedule_turn(self, backlog: _Backlog, start_tag: float) -> None:
        self._serial += 1
        backlog.turn_serial = self._serial
        backlog.start_tag = start_tag
        heappush(self._turn_heap, (start_tag, backlog.turn_serial, backlog))
        if len(self._turn_heap) > 2 * len(self._backlog_by_organisation) + MAX_STALE_ENTRIES:
            self._rebuild()

    def _push_size_entry(self, backlog: _Backlog) -> None:
        self._serial += 1
        backlog.size_serial = self._serial
        heappush(self._size_heap, (-backlog.weighted_size, backlog.size_serial, backlog))

    def _after_removal(self, backlog: _Backlog) -> None:
        self.size -= 1
        if not backlog.queued_by_id:
            del self._backlog_by_organisation[backlog.organisation]
        if not self.size:
            self._reset()

    def _reset(self) -> None:
        """Clear the virtual time and the finish tags; an empty queue keeps no service history."""
        self._virtual_time = 0.0
        self._finish_tag_by_organisation.clear()
        self._turn_heap.clear()
        self._size_heap.clear()

    def _rebuild(self) -> None:
        backlogs = list(self._backlog_by_organisation.values())
        self._turn_heap = [
            (backlog.start_tag, backlog.turn_serial, backlog) for backlog in backlogs
        ]
        self._size_heap = [
            (-backlog.weighted_size, backlog.size_serial, backlog) for backlog in backlogs
        ]
        heapify(self._turn_heap)
        heapify(self._size_heap)


class FairQueue:
    """Waiting calls of one target.

    All operations are amortised O(log n) or better, except `change_expiry`, which is O(n).
    """

    def __init__(self) -> None:
        self._queued_by_id: dict[str, QueuedCall] = {}
        # Index 2 * importance holds root calls, index 2 * importance + 1 nested calls, whose
        # callers have already done work for them.
        self._queues_by_priority = [_StartTimeFairQueue() for _ in range(2 * len(Importance))]
        self._expiry_heap: list[tuple[float, int, QueuedCall]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._queued_by_id

    def push(self, queued: QueuedCall) -> None:
        """Add a call."""
        self._queued_by_id[queued.call.call_id] = queued
        self._queue_of(queued.call).push(queued)
        self._serial += 1
        heappush(self._expiry_heap, (queued.expires_at, self._serial, queued))
        if len(self._expiry_heap) > 2 * len(self._queued_by_id) + MAX_STALE_ENTRIES:
            self._expiry_heap = [entry for entry in self._expiry_heap if entry[2].is_queued]
            heapify(self._expiry_heap)

    def change_expiry(self, expires_at: Callable[[QueuedCall], float]) -> None:
        """Set the expiry time of each waiting call to the result of `expires_at`."""
        self._expiry_heap.clear()
        for queued in self._queued_by_id.values():
            queued.expires_at = expires_at(queued)
            self._serial += 1
            self._expiry_heap.append((queued.expires_at, self._serial, queued))
        heapify(self._expiry_heap)

    def pop(self) -> CallContext | None:
        """Remove and return the call to run next, or None if the queue is empty."""
        for priority_queue in reversed(self._queues_by_priority):
            if priority_queue.size:
                return self._mark_removed(priority_queue.pop()).call
        return None

    def evict(self) -> CallContext | None:
        """Remove and return the call to refuse first when the queue is full, or None if empty.

        This is the newest call of the organisation with the largest weighted backlog at the lowest
        priority.
        """
        for priority_queue in self._queues_by_priority:
            if priority_queue.size:
                return self._mark_removed(priority_queue.pop_newest_of_largest()).call
        return None

    def remove(self, call_id: str) -> bool:
        """Remove a call; return False if it is not in the queue."""
        queued = self._queued_by_id.get(call_id)
        if queued is None:
            return False
        self._queue_of(queued.call).remove(queued)
        self._mark_removed(queued)
        return True

    def pop_expired(self, now: float) -> QueuedCall | None:
        """Remove and return a call that has expired, or None if there is none."""
        expires_at = self.next_expiry()
        if expires_at is None or expires_at > now:
            return None
        queued = heappop(self._expiry_heap)[2]
        self._queue_of(queued.call).remove(queued)
        return self._mark_removed(queued)

    def next_expiry(self) -> float | None:
        """Return the earliest expiry time of the waiting calls, or None if no call waits."""
        while self._expiry_heap and not self._expiry_heap[0][2].is_queued:
            heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def waiting_since(self, call: CallContext) -> float | None:
        """Return since when the call's organisation has had waiting calls of the same priority.

        None if it has no such call.
        """
        return self._queue_of(call).waiting_since(call.organisation)

    def _queue_of(self, call: CallContext) -> _StartTimeFairQueue:
        return self._queues_by_priority[2 * call.importance + (call.depth > 1)]

    def _mark_removed(self, queued: QueuedCall) -> QueuedCall:
        queued.is_queued = False
        del self._queued_by_id[queued.call.call_id]
        return queued
