"""Priority queue in front of one endpoint, ordered by the cost to callers of further waiting.

Handles call trees that fan out to one small service which also has direct callers. A nested call
has the rank and the latency objective of the root request of its tree. Requests with a smaller rank
start first, so that calls of a less important tree do not delay a more important request. Within a
rank nested calls start first, because their parent requests have already done work, and then the
request whose latency objective ends first. A request is rejected, at once or while it waits, if the
time to its deadline is less than half of the expected time at the endpoint.

An endpoint may limit the requests per second that it takes. A request that this limit would delay
beyond the latest start that its deadline permits is rejected as well, so that it is placed at
another endpoint or refused early; more important requests do not wait behind it.

An endpoint may state its pace, which changes faster than an average of measured times. The average
is then kept of the time at the usual pace, and the expected time is this average times the pace.

Both the failure rate and the expected time come from requests that the endpoint has served. Callers
and this queue avoid an endpoint with poor values, so these lose their effect when no request has
renewed them for a while.

A request that must not wait is rejected unless it can start at once. Nodes place requests by load
reports that are old, and another endpoint may have a free slot.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from ..calls.outcome import Reason
from .endpoint_statement import PACE_VALIDITY_S
from .request_rate import RequestRate

INITIAL_EXPECTED_S = 0.05
"""Expected time at the endpoint in seconds before the first measurement."""

EXPECTED_WEIGHT = 0.05
"""Least weight of a new measurement in the moving average of the time at the endpoint."""

MAX_EXPECTED_WEIGHT = 0.5
"""Largest weight of a new measurement, which it has after a long time without any."""

EXPECTED_TIME_CONSTANT_S = 10.0
"""Time constant in seconds of the moving average where measurements are rare."""

EXPECTED_VALIDITY_S = 1.0
"""Time in seconds after the last measurement for which an idle endpoint rejects requests that have
less than the expected time left."""

FAILURE_TIME_CONSTANT_S = 0.7
"""Time constant in seconds of the failure rate.

The rate must fall soon after an endpoint recovers, even if few requests are sent to it.
"""

FAILURE_VALIDITY_S = 1.0
"""Time in seconds after a result for which the failure rate stays as it is."""

FAILURE_DECAY_S = 3.0
"""Time in seconds without results within which the failure rate falls to 0 after that."""

MIN_FAILURE_WEIGHT = 0.02
"""Lower bound on the weight of one result in the failure rate."""

MAX_FAILURE_WEIGHT = 0.2
"""Upper bound on the weight of one result in the failure rate."""

USABLE_SLOTS_FRACTION = 0.95
"""Fraction of the slots that is used; endpoints slow down if all of them are occupied."""

MIN_REMAINING_FRACTION = 0.5
"""Fraction of the expected time that must remain before the deadline for a request to start."""

UNANSWERED_LIMIT = 2
"""Requests that run at once until the endpoint has responded to one of them.

An endpoint may have named a rate limit to a node that has been restarted since.
"""

FIRST_RESPONSE_TIMEOUT_S = 1.0
"""Time in seconds after which `UNANSWERED_LIMIT` no longer applies; most responses take less, and
two requests that hang must not keep all others from the endpoint."""


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request to the endpoint.

    A smaller `rank` is more important. `objective_at` is the time until which the latency objective
    is met. Times are in seconds on the monotonic clock.
    """

    request_id: str
    nested: bool
    rank: int
    deadline: float
    objective_at: float
    may_wait: bool = True


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Send the request to the endpoint now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request; it has not been sent to the endpoint."""

    request_id: str
    reason: Reason


QueueAction = StartRequest | RejectRequest


def usable_slots(slots: int) -> int:
    """Return how many requests may run at the same time at an endpoint with so many slots."""
    return max(1, int(slots * USABLE_SLOTS_FRACTION))


class EndpointQueue:
    """Decides when each request is sent; the driver executes the returned actions in order."""

    def __init__(self, slots: int) -> None:
        self.limit = usable_slots(slots)
        self._started_at_by_id: dict[str, float] = {}
        self._waiting_by_id: dict[str, QueuedRequest] = {}
        self._heap: list[tuple[int, bool, float, int, QueuedRequest]] = []
        self._serial = 0
        self._usual_s = INITIAL_EXPECTED_S
        self._measured_at: float | None = None
        self.pace: float | None = None
        self._pace_at = 0.0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0
        self._rate = RequestRate()
        self._first_response_due_at = 0.0

    @property
    def running(self) -> int:
        """Number of requests that run at the endpoint."""
        return len(self._started_at_by_id)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting_by_id)

    @property
    def expected_s(self) -> float:
        """Expected time at the endpoint in seconds, at its stated pace if it states one."""
        return self._usual_s if self.pace is None else self._usual_s * self.pace

    def set_pace(self, pace: float | None, now: float) -> None:
        """Apply the pace that the endpoint states, None for a new endpoint that has stated none."""
        self.pace, self._pace_at = pace, now

    def update_pace(self, now: float) -> None:
        """Return to the usual pace if the endpoint has not restated another one recently.

        An endpoint with a slow pace gets few requests, whose responses could restate it.
        """
        if self.pace is not None and now > self._pace_at + PACE_VALIDITY_S:
            self.pace = 1.0

    def failure_rate(self, now: float) -> float:
        """Return the fraction of recent requests that the endpoint rejected or did not answer."""
        age_s = now - self._failure_rate_at - FAILURE_VALIDITY_S
        if age_s <= 0.0 or not self._failure_rate:
            return self._failure_rate
        return self._failure_rate * max(0.0, 1.0 - age_s / FAILURE_DECAY_S)

    def record_result(self, failed: bool, now: float) -> None:
        """Update the failure rate with the result of a request."""
        rate = self.failure_rate(now)
        age_s = max(0.0, now - self._failure_rate_at)
        self._failure_rate_at = now
        weight = min(MAX_FAILURE_WEIGHT, max(MIN_FAILURE_WEIGHT, age_s / FAILURE_TIME_CONSTANT_S))
        self._failure_rate = rate + ((1.0 if failed else 0.0) - rate) * weight

    @property
    def rate_limit(self) -> float | None:
        """Limit of the endpoint in requests per second, None if there is none."""
        return self._rate.per_s

    def set_rate_limit(self, per_s: float | None, now: float) -> list[QueueAction]:
        """Limit the requests per second and start waiting requests that may be sent now."""
        if per_s != self._rate.per_s:
            self._rate.set_limit(per_s, now)
        return self._start_waiting(now)

    def await_first_response(self, now: float) -> None:
        """Run at most `UNANSWERED_LIMIT` requests until `on_response` is called."""
        self._first_response_due_at = now + FIRST_RESPONSE_TIMEOUT_S

    def on_response(self, now: float) -> list[QueueAction]:
        """Record that the endpoint has responded and start waiting requests that now fit."""
        if now >= self._first_response_due_at:
            return []
        self._first_response_due_at = now
        return self._start_waiting(now)

    def on_health_check(self, now: float) -> None:
        """Count a health check against the rate limit."""
        self._rate.on_sent(now)

    def _wait_s(self, request: QueuedRequest, now: float) -> float:
        """Return the expected time in seconds in the queue for a request that arrives now."""
        requests_ahead = len(self._waiting_by_id) + max(0, self.running + 1 - self.limit)
        slot_wait_s = requests_ahead * self.expected_s / self.limit
        if self._rate.per_s is None:
            return slot_wait_s
        order = _order(request)
        requests_before = sum(_order(other) <= order for other in self._waiting_by_id.values())
        return max(slot_wait_s, self._rate.wait_s(requests_before, now))

    def resize(self, slots: int, now: float) -> list[QueueAction]:
        """Set the number of slots of the endpoint and start waiting requests that now fit."""
        self.limit = usable_slots(slots)
        return self._start_waiting(now)

    def offer(self, request: QueuedRequest, now: float) -> list[QueueAction]:
        """Start, queue or reject a new request."""
        self.update_pace(now)
        if self._is_late(request, now):
            return [RejectRequest(request.request_id, Reason.DEADLINE)]
        if not self._waiting_by_id and self._has_room(now):
            return [self._start(request, now)]
        if not request.may_wait:
            return [RejectRequest(request.request_id, Reason.NO_FREE_SLOT)]
        starts_at = now + self._wait_s(request, now)
        misses_objective = not request.nested and starts_at > request.objective_at
        is_rate_limited = self._rate.per_s is not None
        if misses_objective or (is_rate_limited and starts_at > self._latest_start(request)):
            return [RejectRequest(request.request_id, Reason.OVERLOADED)]
        self._serial += 1
        self._waiting_by_id[request.request_id] = request
        heappush(self._heap, (*_order(request), self._serial, request))
        return self._start_waiting(now)

    def finish(self, request_id: str, now: float) -> list[QueueAction]:
        """Free the slot of a completed request and update the expected time."""
        started_at = self._started_at_by_id.pop(request_id, None)
        if started_at is not None:
            self._measure((now - started_at) / (self.pace or 1.0), now)
        return self._start_waiting(now)

    def _measure(self, usual_s: float, now: float) -> None:
        weight = EXPECTED_WEIGHT
        age_s = 0.0 if self._measured_at is None else now - self._measured_at
        if age_s > EXPECTED_WEIGHT * EXPECTED_TIME_CONSTANT_S:
            weight = min(MAX_EXPECTED_WEIGHT, age_s / EXPECTED_TIME_CONSTANT_S)
        self._usual_s += (usual_s - self._usual_s) * weight
        self._measured_at = now

    def cancel(self, request_id: str, now: float) -> list[QueueAction]:
        """Remove a waiting or running request that was cancelled."""
        self._started_at_by_id.pop(request_id, None)
        if self._waiting_by_id.pop(request_id, None) is not None:
            self._compact()
        return self._start_waiting(now)

    def expire(self, now: float) -> list[QueueAction]:
        """Reject the waiting requests that cannot start early enough before their deadline."""
        actions = [
            RejectRequest(request.request_id, Reason.DEADLINE)
            for request in self._waiting_by_id.values()
            if self._is_late(request, now)
        ]
        actions += self._reject_displaced(now)
        for action in actions:
            del self._waiting_by_id[action.request_id]
        self._compact()
        return [*actions, *self._start_waiting(now)]

    def _reject_displaced(self, now: float) -> list[RejectRequest]:
        """Return rejections of requests that the rate limit delays beyond their latest start.

        More important requests that arrived later may have moved ahead of them.
        """
        if self._rate.per_s is None:
            return []
        rejections: list[RejectRequest] = []
        requests_ahead = 0
        for request in sorted(self._waiting_by_id.values(), key=_order):
            if self._is_late(request, now):
                continue
            if now + self._rate.wait_s(requests_ahead, now) > self._latest_start(request):
                rejections.append(RejectRequest(request.request_id, Reason.OVERLOADED))
            else:
                requests_ahead += 1
        return rejections

    def drain(self, reason: Reason) -> Sequence[QueueAction]:
        """Reject all waiting requests because the endpoint accepts no more."""
        actions = [RejectRequest(request_id, reason) for request_id in self._waiting_by_id]
        self._waiting_by_id.clear()
        self._heap.clear()
        return actions

    def _start_waiting(self, now: float) -> list[QueueAction]:
        actions: list[QueueAction] = []
        while self._heap and self._has_room(now):
            request = heappop(self._heap)[-1]
            if self._waiting_by_id.get(request.request_id) is not request:
                continue
            del self._waiting_by_id[request.request_id]
            if self._is_late(request, now):
                actions.append(RejectRequest(request.request_id, Reason.DEADLINE))
                continue
            actions.append(self._start(request, now))
        return actions

    def _has_room(self, now: float) -> bool:
        limit = self.limit
        if now < self._first_response_due_at:
            limit = min(limit, UNANSWERED_LIMIT)
        return self.running < limit and self._rate.can_send(now)

    def _start(self, request: QueuedRequest, now: float) -> StartRequest:
        self._started_at_by_id[request.request_id] = now
        self._rate.on_sent(now)
        return StartRequest(request.request_id)

    def _latest_start(self, request: QueuedRequest) -> float:
        return request.deadline - self.expected_s * MIN_REMAINING_FRACTION

    def _is_late(self, request: QueuedRequest, now: float) -> bool:
        if now <= self._latest_start(request):
            return False
        is_measured = (
            self._measured_at is not None and now < self._measured_at + EXPECTED_VALIDITY_S
        )
        if self.running or is_measured:
            return True
        return now > request.deadline - INITIAL_EXPECTED_S * MIN_REMAINING_FRACTION

    def _compact(self) -> None:
        if len(self._heap) > 2 * len(self._waiting_by_id) + 16:
            waiting = self._waiting_by_id
            self._heap = [
                entry for entry in self._heap if waiting.get(entry[-1].request_id) is entry[-1]
            ]
            heapify(self._heap)


def _order(request: QueuedRequest) -> tuple[int, bool, float]:
    """Return the sort key by which waiting requests start."""
    return (request.rank, not request.nested, request.objective_at)
