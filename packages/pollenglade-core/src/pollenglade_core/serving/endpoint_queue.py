"""Queue in front of one endpoint, ordered by what callers lose if a request waits longer.

Answers the load of call trees that fan out to one small service with callers of its own. A nested
call has the rank and the objective of the request at the root of its tree. The smaller rank goes
first, so that calls of a less important tree do not delay a more important request. Of one rank,
nested calls go first, because the work of their parents is spent, then the request whose latency
objective ends first. A request that cannot finish before its deadline any more is refused at once
and not held.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from ..calls.outcome import Reason

EXPECTED_S = 0.05
"""Time at the endpoint that is assumed before one was measured, in seconds."""

EXPECTED_WEIGHT = 0.05
"""Weight of a new measurement in the moving average of the time at the endpoint."""

FAILURE_AVERAGE_S = 0.7
"""Time constant in seconds of the failure rate; it must fall soon when an endpoint is well again,
also where few requests are left that show it."""

MIN_FAILURE_WEIGHT = 0.02
MAX_FAILURE_WEIGHT = 0.2
"""Bounds on the weight of one result in the failure rate."""

FULL_PART = 0.95
"""Part of the slots that is used; endpoints slow down where all of them are taken."""

MIN_USE = 0.5
"""Part of the expected time that must be left before the deadline for a request to start."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request for the endpoint; times are in seconds on the monotonic clock."""

    request_id: str
    nested: bool
    rank: int
    deadline: float
    objective_at: float


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the endpoint now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Give the request back; it has not been sent."""

    request_id: str
    reason: Reason


QueueAction = Start | Reject


def usable_slots(slots: int) -> int:
    """Return how many requests may run at an endpoint at once."""
    return max(1, int(slots * FULL_PART))


class EndpointQueue:
    """Decides when each request is sent; the driver carries out the returned actions in order."""

    def __init__(self, slots: int) -> None:
        self.limit = usable_slots(slots)
        self._started_at_by_id: dict[str, float] = {}
        self._waiting_by_id: dict[str, QueuedRequest] = {}
        self._heap: list[tuple[int, bool, float, int, QueuedRequest]] = []
        self._serial = 0
        self._expected_s = EXPECTED_S
        self._failure_rate = 0.0
        self._failure_at = 0.0

    @property
    def running(self) -> int:
        """Requests at the endpoint."""
        return len(self._started_at_by_id)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting_by_id)

    @property
    def expected_s(self) -> float:
        """Expected time at the endpoint in seconds."""
        return self._expected_s

    @property
    def failure_rate(self) -> float:
        """Recent part of the requests that the endpoint rejected or did not answer."""
        return self._failure_rate

    def note_result(self, failed: bool, now: float) -> None:
        """Learn from the result of a request."""
        age_s = max(0.0, now - self._failure_at)
        self._failure_at = now
        weight = min(MAX_FAILURE_WEIGHT, max(MIN_FAILURE_WEIGHT, age_s / FAILURE_AVERAGE_S))
        self._failure_rate += ((1.0 if failed else 0.0) - self._failure_rate) * weight

    @property
    def wait_s(self) -> float:
        """Expected time in the queue of a request that arrives now, in seconds."""
        ahead = len(self._waiting_by_id) + max(0, self.running + 1 - self.limit)
        return ahead * self._expected_s / self.limit

    def resize(self, slots: int, now: float) -> list[QueueAction]:
        """Apply another number of slots."""
        self.limit = usable_slots(slots)
        return self._fill(now)

    def offer(self, request: QueuedRequest, now: float) -> list[QueueAction]:
        """Start, queue or reject a request."""
        if request.deadline - now < self._expected_s * MIN_USE:
            return [Reject(request.request_id, Reason.DEADLINE)]
        if not self._waiting_by_id and self.running < self.limit:
            self._started_at_by_id[request.request_id] = now
            return [Start(request.request_id)]
        if not request.nested and now + self.wait_s > request.objective_at:
            return [Reject(request.request_id, Reason.OVERLOADED)]
        self._serial += 1
        self._waiting_by_id[request.request_id] = request
        key = (request.rank, not request.nested, request.objective_at, self._serial, request)
        heappush(self._heap, key)
        return self._fill(now)

    def finish(self, request_id: str, now: float) -> list[QueueAction]:
        """Free the slot of a request and learn from the time that it took."""
        started_at = self._started_at_by_id.pop(request_id, None)
        if started_at is not None:
            self._expected_s += (now - started_at - self._expected_s) * EXPECTED_WEIGHT
        return self._fill(now)

    def cancel(self, request_id: str, now: float) -> list[QueueAction]:
        """Forget a request whose caller has gone, waiting or running."""
        self._started_at_by_id.pop(request_id, None)
        if self._waiting_by_id.pop(request_id, None) is not None:
            self._compact()
        return self._fill(now)

    def expire(self, now: float) -> list[QueueAction]:
        """Reject the requests that cannot finish in time any more."""
        actions: list[QueueAction] = [
            Reject(request.request_id, Reason.DEADLINE)
            for request in self._waiting_by_id.values()
            if self._is_late(request, now)
        ]
        for action in actions:
            del self._waiting_by_id[action.request_id]
        self._compact()
        return actions + self._fill(now)

    def drain(self, reason: Reason) -> Sequence[QueueAction]:
        """Give back everything that waits, because the endpoint takes nothing more."""
        actions = [Reject(request_id, reason) for request_id in self._waiting_by_id]
        self._waiting_by_id.clear()
        self._heap.clear()
        return actions

    def _fill(self, now: float) -> list[QueueAction]:
        actions: list[QueueAction] = []
        while self._heap and self.running < self.limit:
            request = heappop(self._heap)[-1]
            if self._waiting_by_id.get(request.request_id) is not request:
                continue
            del self._waiting_by_id[request.request_id]
            if self._is_late(request, now):
                actions.append(Reject(request.request_id, Reason.DEADLINE))
                continue
            self._started_at_by_id[request.request_id] = now
            actions.append(Start(request.request_id))
        return actions

    def _is_late(self, request: QueuedRequest, now: float) -> bool:
        return request.deadline - now < self._expected_s * MIN_USE

    def _compact(self) -> None:
        if len(self._heap) > 2 * len(self._waiting_by_id) + 16:
            waiting = self._waiting_by_id
            self._heap = [
                item for item in self._heap if waiting.get(item[-1].request_id) is item[-1]
            ]
            heapify(self._heap)
