"""Call counts in numbered batches, so that a reader sees when a batch is missing."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .outcome import Outcome

KEPT_BATCHES = 90
"""Batches that a node keeps for readers; 15 minutes at one batch every 10 s."""


@dataclass(frozen=True, slots=True)
class CallCount:
    """Calls of one kind; `bad` of them missed the service-level objective.

    The node decides what is bad: a refusal of a call within its organisation's rate, an unknown
    outcome, a failed or a late response.
    """

    organisation: str
    service: str
    profile: str
    outcome: Outcome
    calls: int
    bad: int


@dataclass(frozen=True, slots=True)
class CountBatch:
    """The calls of one node that ended in one interval.

    `ended_at` is in seconds on a clock that all readers of the batch share. Sequence numbers start
    at 1 with each incarnation of the node and go up by 1.
    """

    node: str
    incarnation: int
    sequence: int
    ended_at: float
    counts: tuple[CallCount, ...]


class CallCounts:
    """Counts calls at one node and cuts the counts into batches."""

    def __init__(self, node: str, incarnation: int, kept: int = KEPT_BATCHES) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = 0
        self._calls: dict[tuple[str, str, str, Outcome], tuple[int, int]] = {}
        self._batches: deque[CountBatch] = deque(maxlen=kept)

    def finished(
        self, organisation: str, service: str, profile: str, outcome: Outcome, *, good: bool
    ) -> None:
        """Count a call that has its final answer."""
        self.add(organisation, service, profile, outcome, 1, int(not good))

    def add(
        self, organisation: str, service: str, profile: str, outcome: Outcome, calls: int, bad: int
    ) -> None:
        """Count several calls of one kind; `bad` of them missed the objective."""
        key = (organisation, service, profile, outcome)
        held_calls, held_bad = self._calls.get(key, (0, 0))
        self._calls[key] = (held_calls + calls, held_bad + bad)

    def cut(self, ended_at: float) -> CountBatch:
        """Close the current batch; an empty one shows that the node is alive and had no calls."""
        self._sequence += 1
        counts = tuple(
            CallCount(*key, calls=calls, bad=bad)
            for key, (calls, bad) in sorted(self._calls.items())
        )
        self._calls.clear()
        batch = CountBatch(self._node, self._incarnation, self._sequence, ended_at, counts)
        self._batches.append(batch)
        return batch

    def batches_since(self, sequence: int) -> tuple[CountBatch, ...]:
        """Return the kept batches with a higher sequence number, oldest first."""
        return tuple(batch for batch in self._batches if batch.sequence > sequence)


@dataclass(slots=True)
class _Seen:
    first: int
    sequences: set[int]


class CountReader:
    """Accepts each batch once and knows which ones are missing."""

    def __init__(self) -> None:
        self._seen_by_source: dict[tuple[str, int], _Seen] = {}

    def accept(self, batch: CountBatch) -> bool:
        """Return whether the batch is new; a batch may come late and more than once."""
        source = (batch.node, batch.incarnation)
        seen = self._seen_by_source.setdefault(source, _Seen(batch.sequence, set()))
        if batch.sequence in seen.sequences:
            return False
        seen.first = min(seen.first, batch.sequence)
        seen.sequences.add(batch.sequence)
        return True

    def missing(self) -> dict[tuple[str, int], tuple[int, ...]]:
        """Return the missing sequence numbers by node and incarnation.

        Batches before the first and after the last one that was accepted are not known.
        """
        missing: dict[tuple[str, int], tuple[int, ...]] = {}
        for source, seen in sorted(self._seen_by_source.items()):
            expected = range(seen.first, max(seen.sequences) + 1)
            if gaps := tuple(number for number in expected if number not in seen.sequences):
                missing[source] = gaps
        return missing
