"""Queue of waiting calls: importance, then finished upstream work, then fair by organisation."""

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

HEAP_SLACK = 64
"""Outdated heap entries that are tolerated before a heap is rebuilt."""


CREDIT_CALLS = 8.0
"""Calls per weight that an organisation may catch up on after it used less than its share.

Without it a burst shares the target equally with a surge, and a part of the burst exceeds the queue
delay although its organisation stays within its share.
"""


@dataclass(slots=True)
class Waiting:
    """A call in the queue; it is refused for `reason` once `expires_at` has passed.

    `latest_start` is when it must run so that it ends before its deadline.
    """

    call: CallContext
    queued_at: float
    latest_start: float
    expires_at: float
    reason: Reason
    waits: bool = True


@dataclass(slots=True)
class _Backlog:
    """Waiting calls of one organisation in one lane."""

    organisation: str
    weight: float
    since: float
    start_tag: float = 0.0
    turn: int = 0
    mark: int = 0
    by_id: OrderedDict[str, Waiting] = field(default_factory=OrderedDict)

    @property
    def weighted(self) -> float:
        return len(self.by_id) / self.weight


class _Lane:
    """Start-time fair queue over organisations, for calls of one importance and kind."""

    def __init__(self) -> None:
        self.size = 0
        self._virtual_time = 0.0
        self._serial = 0
        self._by_organisation: dict[str, _Backlog] = {}
        self._finish_tag_by_organisation: dict[str, float] = {}
        self._turns: list[tuple[float, int, _Backlog]] = []
        self._largest: list[tuple[float, int, _Backlog]] = []

    def push(self, waiting: Waiting) -> None:
        call = waiting.call
        backlog = self._by_organisation.get(call.organisation)
        if backlog is None:
            backlog = self._activate(call, waiting.queued_at)
        backlog.by_id[call.call_id] = waiting
        self.size += 1
        self._mark_size(backlog)
        if len(self._largest) > 4 * len(self._by_organisation) + HEAP_SLACK:
            self._rebuild()

    def pop(self) -> Waiting:
        """Remove the oldest call of the organisation whose turn it is."""
        while True:
            tag, turn, backlog = heappop(self._turns)
            if turn == backlog.turn and backlog.by_id:
                break
        self._virtual_time = tag
        finish_tag = tag + 1.0 / backlog.weight
        self._finish_tag_by_organisation[backlog.organisation] = finish_tag
        _, waiting = backlog.by_id.popitem(last=False)
        if backlog.by_id:
            self._take_turn(backlog, finish_tag)
        self._removed(backlog)
        return waiting

    def pop_newest_of_largest(self) -> Waiting:
        """Remove the newest call of the organisation with the largest weighted backlog."""
        while True:
            negative, mark, backlog = self._largest[0]
            current = mark == backlog.mark and bool(backlog.by_id)
            if current and -negative == backlog.weighted:
                break
            heappop(self._largest)
            if current:
                # The entry overstates a backlog that has shrunk since.
                self._mark_size(backlog)
        _, waiting = backlog.by_id.popitem(last=True)
        self._removed(backlog)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        backlog = self._by_organisation[waiting.call.organisation]
        del backlog.by_id[waiting.call.call_id]
        self._removed(backlog)

    def waiting_since(self, organisation: str) -> float | None:
        """Return since when an organisation has had calls waiting without a break."""
        backlog = self._by_organisation.get(organisation)
        return None if backlog is None else backlog.since

    def _activate(self, call: CallContext, now: float) -> _Backlog:
        finish_tag = self._finish_tag_by_organisation.get(call.organisation, -inf)
        backlog = _Backlog(call.organisation, float(max(1, call.weight)), now)
        self._by_organisation[call.organisation] = backlog
        self._take_turn(backlog, max(self._virtual_time - CREDIT_CALLS, finish_tag))
        return backlog

    def _take_turn(self, backlog: _Backlog, start_tag: float) -> None:
        self._serial += 1
        backlog.turn = self._serial
        backlog.start_tag = start_tag
        heappush(self._turns, (start_tag, backlog.turn, backlog))
        if len(self._turns) > 2 * len(self._by_organisation) + HEAP_SLACK:
            self._rebuild()

    def _mark_size(self, backlog: _Backlog) -> None:
        self._serial += 1
        backlog.mark = self._serial
        heappush(self._largest, (-backlog.weighted, backlog.mark, backlog))

    def _removed(self, backlog: _Backlog) -> None:
        self.size -= 1
        if not backlog.by_id:
            del self._by_organisation[backlog.organisation]
        if not self.size:
            self._reset()

    def _reset(self) -> None:
        """Forget past service; organisations owe nothing where nobody waits."""
        self._virtual_time = 0.0
        self._finish_tag_by_organisation.clear()
        self._turns.clear()
        self._largest.clear()

    def _rebuild(self) -> None:
        backlogs = list(self._by_organisation.values())
        self._turns = [(backlog.start_tag, backlog.turn, backlog) for backlog in backlogs]
        self._largest = [(-backlog.weighted, backlog.mark, backlog) for backlog in backlogs]
        heapify(self._turns)
        heapify(self._largest)


class FairQueue:
    """Waiting calls of one target; each operation costs O(log n) or less, amortised."""

    def __init__(self) -> None:
        self._by_id: dict[str, Waiting] = {}
        # Index 2 * importance + 1 holds calls that carry finished upstream work.
        self._lanes = [_Lane() for _ in range(2 * len(Importance))]
        self._expiries: list[tuple[float, int, Waiting]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._by_id

    def push(self, waiting: Waiting) -> None:
        """Add a call."""
        self._by_id[waiting.call.call_id] = waiting
        self._lane(waiting.call).push(waiting)
        self._serial += 1
        heappush(self._expiries, (waiting.expires_at, self._serial, waiting))
        if len(self._expiries) > 2 * len(self._by_id) + HEAP_SLACK:
            self._expiries = [entry for entry in self._expiries if entry[2].waits]
            heapify(self._expiries)

    def change_expiry(self, expires_at: Callable[[Waiting], float]) -> None:
        """Give every waiting call a new time at which it expires."""
        self._expiries.clear()
        for waiting in self._by_id.values():
            waiting.expires_at = expires_at(waiting)
            self._serial += 1
            self._expiries.append((waiting.expires_at, self._serial, waiting))
        heapify(self._expiries)

    def pop(self) -> CallContext | None:
        """Remove and return the call that runs next."""
        for lane in reversed(self._lanes):
            if lane.size:
                return self._forget(lane.pop()).call
        return None

    def push_out(self) -> CallContext | None:
        """Remove and return the call that is given up first."""
        for lane in self._lanes:
            if lane.size:
                return self._forget(lane.pop_newest_of_largest()).call
        return None

    def remove(self, call_id: str) -> bool:
        """Remove a call; return False where it does not wait."""
        waiting = self._by_id.get(call_id)
        if waiting is None:
            return False
        self._lane(waiting.call).remove(waiting)
        self._forget(waiting)
        return True

    def pop_expired(self, now: float) -> Waiting | None:
        """Remove and return a call whose time has passed."""
        expires_at = self.next_expiry()
        if expires_at is None or expires_at > now:
            return None
        waiting = heappop(self._expiries)[2]
        self._lane(waiting.call).remove(waiting)
        return self._forget(waiting)

    def next_expiry(self) -> float | None:
        """Return when the first call expires; None where nothing waits."""
        while self._expiries and not self._expiries[0][2].waits:
            heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def waiting_since(self, call: CallContext) -> float | None:
        """Return since when calls like this one have waited; None where none waits."""
        return self._lane(call).waiting_since(call.organisation)

    def _lane(self, call: CallContext) -> _Lane:
        return self._lanes[2 * call.importance + (call.depth > 1)]

    def _forget(self, waiting: Waiting) -> Waiting:
        waiting.waits = False
        del self._by_id[waiting.call.call_id]
        return waiting
