"""Call counts in numbered batches, so that a reader can detect missing batches."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .outcome import Outcome

MAX_RETAINED_BATCHES = 90
"""Batches that a node retains for readers: 15 minutes at one batch every 10 s."""


@dataclass(frozen=True, slots=True)
class CallCount:
    """Number of calls with the same labels; `bad` of them missed the service-level objective.

    The node classifies calls as bad: a refusal of a call within its organisation's rate, an unknown
    outcome, a failed response or a late response.
    """

    organisation: str
    service: str
    profile: str
    outcome: Outcome
    calls: int
    bad: int


@dataclass(frozen=True, slots=True)
class CountBatch:
    """Counts of the calls that ended at one node in one interval.

    `ended_at` is the end of the interval in seconds on a clock that all readers share. Sequence
    numbers start at 1 for each incarnation of the node and increase by 1.
    """

    node: str
    incarnation: int
    sequence: int
    ended_at: float
    counts: tuple[CallCount, ...]


class CallCounts:
    """Counts the calls of one node and groups the counts into batches."""

    def __init__(
        self, node: str, incarnation: int, max_retained: int = MAX_RETAINED_BATCHES
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = 0
        self._counts_by_key: dict[tuple[str, str, str, Outcome], tuple[int, int]] = {}
        self._batches: deque[CountBatch] = deque(maxlen=max_retained)

    def count_call(
        self, organisation: str, service: str, profile: str, outcome: Outcome, *, good: bool
    ) -> None:
        """Count a call that has its final response or refusal."""
        self.add(organisation, service, profile, outcome, 1, int(not good))

    def add(
        self, organisation: str, service: str, profile: str, outcome: Outcome, calls: int, bad: int
    ) -> None:
        """Add `calls` calls with the same labels; `bad` of them missed the objective."""
        key = (organisation, service, profile, outcome)
        previous_calls, previous_bad = self._counts_by_key.get(key, (0, 0))
        self._counts_by_key[key] = (previous_calls + calls, previous_bad + bad)

    def close_batch(self, ended_at: float) -> CountBatch:
        """Close and return the current batch, and start a new one.

        An empty batch shows readers that the node is alive and had no calls.
        """
        self._sequence += 1
        counts = tuple(
            CallCount(*key, calls=calls, bad=bad)
            for key, (calls, bad) in sorted(self._counts_by_key.items())
        )
        self._counts_by_key.clear()
        batch = CountBatch(self._node, self._incarnation, self._sequence, ended_at, counts)
        self._batches.append(batch)
        return batch

    def batches_since(self, sequence: int) -> tuple[CountBatch, ...]:
        """Return the retained batches with a higher sequence number, oldest first."""
        return tuple(batch for batch in self._batches if batch.sequence > sequence)


@dataclass(slots=True)
class _ReceivedSequences:
    lowest: int
    sequences: set[int]


class CountReader:
    """Discards duplicate batches and detects missing ones."""

    def __init__(self) -> None:
        self._received_by_source: dict[tuple[str, int], _ReceivedSequences] = {}

    def accept(self, batch: CountBatch) -> bool:
        """Record a batch and return whether it is new; batches may arrive late or repeatedly."""
        source = (batch.node, batch.incarnation)
        received = self._received_by_source.setdefault(
            source, _ReceivedSequences(batch.sequence, set())
        )
        if batch.sequence in received.sequences:
            return False
        received.lowest = min(received.lowest, batch.sequence)
        received.sequences.add(batch.sequence)
        return True

    def missing(self) -> dict[tuple[str, int], tuple[int, ...]]:
        """Return the missing sequence numbers by node and incarnation.

        Gaps before the first and after the last accepted batch cannot be detected.
        """
        missing: dict[tuple[str, int], tuple[int, ...]] = {}
        for source, received in sorted(self._received_by_source.items()):
            expected = range(received.lowest, max(received.sequences) + 1)
            if gaps := tuple(number for number in expected if number not in received.sequences):
                missing[source] = gaps
        return missing
