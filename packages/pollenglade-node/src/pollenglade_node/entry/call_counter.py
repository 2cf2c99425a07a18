"""Counters of calls by organisation, service, profile, outcome and reason."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from time import monotonic
from typing import NamedTuple

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason

LATENCY_BOUNDS_S = (
    0.0001,
    0.0002,
    0.00043,
    0.0007,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
)
"""Upper bounds of the histogram buckets.

The bound of 0.43 ms is the p99 objective for calls without a claim.
"""

CALLER_FAULT_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.KEY_MISSING,
        Reason.KEY_UNKNOWN,
        Reason.KEY_WITHDRAWN,
        Reason.KEY_EXPOSED,
        Reason.HANDLE_UNKNOWN,
        Reason.SERVICE_UNKNOWN,
        Reason.NO_CONTRACT,
        Reason.OVER_RATE,
        Reason.TOO_DEEP,
        Reason.IDEMPOTENCY_KEY_MISSING,
        Reason.IDEMPOTENCY_KEY_REUSED,
        Reason.IN_PROGRESS,
    }
)
"""Reasons of refusals that the request itself causes.

Such refusals do not count against the service-level objective.
"""


class CallKey(NamedTuple):
    """Labels by which calls are counted; `reason` is empty for calls with a response."""

    organisation: str
    service: str
    profile: str
    outcome: Outcome
    reason: str


@dataclass(slots=True)
class Tally:
    """Totals of the calls with the same labels since the start of the process.

    `bad` is the number of calls that missed the objective, `seconds` the sum of their durations.
    """

    calls: int = 0
    bad: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class Histogram:
    """Counts per bucket since the start of the process; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    seconds: float = 0.0

    def add(self, seconds: float) -> None:
        """Add one observation."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.seconds += seconds


class CallCounter:
    """Counts the calls that enter at a node.

    A call costs only a few additions in place; metrics and batches are derived from the totals.
    """

    def __init__(self) -> None:
        self.tally_by_key: dict[CallKey, Tally] = {}
        self.refused_by_reason: Counter[Reason] = Counter()
        self.added_latency = Histogram()
        self.added_latency_with_claim = Histogram()

    def count_response(
        self, context: CallContext, status: int, elapsed_s: float, target_s: float
    ) -> None:
        """Count a call with a complete response.

        `elapsed_s` is the time since the call arrived, `target_s` the time of it spent at targets.
        """
        key = CallKey(context.organisation, context.service, context.profile, Outcome.RAN, "")
        late = context.remaining_s(monotonic()) < 0.0
        self._count_call(key, elapsed_s, bad=late or status >= 500)
        histogram = self.added_latency if context.idempotent else self.added_latency_with_claim
        histogram.add(max(0.0, elapsed_s - target_s))

    def count_failure(
        self, context: CallContext, outcome: Outcome, reason: Reason, elapsed_s: float
    ) -> None:
        """Count a call without a complete response."""
        key = CallKey(context.organisation, context.service, context.profile, outcome, reason.value)
        self._count_call(key, elapsed_s, bad=reason not in CALLER_FAULT_REASONS)

    def _count_call(self, key: CallKey, elapsed_s: float, bad: bool) -> None:
        tally = self.tally_by_key.get(key)
        if tally is None:
            tally = self.tally_by_key[key] = Tally()
        tally.calls += 1
        tally.bad += bad
        tally.seconds += elapsed_s

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that is refused before its organisation and profile are known."""
        self.refused_by_reason[reason] += 1
