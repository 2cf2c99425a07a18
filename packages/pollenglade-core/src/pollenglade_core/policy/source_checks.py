"""When a node asks the source of policies whether the nodes have its latest changes.

Nodes wait for changes on open connections. Such a connection may go silent without an error, also
at all nodes at the same time, so that a node that only waits cannot tell this from a source without
changes. One check serves all nodes, because they pass on both its age and what it found.
"""

from __future__ import annotations

from math import exp
from math import inf
from math import log

from ..randomness import RandomSource

CHECK_AGE_S = 0.6
"""Age in seconds of the latest check from which on another one may be made."""

MAX_CHECK_DELAY_S = 0.4
"""Upper bound in seconds of the random delay of a node's check after that, within which it learns
of a check that another node has made."""

CANDIDATES = 32
"""Mean number of nodes with a delay below the bound; the others check if none of these does."""

MAX_FAILURE_DELAY_S = 2.0
"""Upper bound in seconds of the delay after checks that failed; each request has a price."""


class SourceChecks:
    """The latest successful check that this node knows of, and when it makes the next one itself.

    The delays of the nodes are distributed exponentially up to their bound (RFC 5740, section 5.3):
    few nodes have a short one, however many there are, and the others learn of their checks in
    time. All times are in seconds of one monotonic clock.
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random_source = random_source
        self._nodes = 1
        self._checked_at = -inf
        self._delay_s = 0.0
        self._not_before = -inf
        self._failures = 0

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes that make checks."""
        self._nodes = max(1, nodes)

    def age_s(self, now: float) -> float:
        """Return the age of the latest check; infinite if none is known."""
        return now - self._checked_at

    def record(self, checked_at: float) -> None:
        """Record a successful check that this or another node began at `checked_at`."""
        if checked_at <= self._checked_at:
            return
        self._checked_at = checked_at
        self._delay_s = self._draw_delay_s()

    def _draw_delay_s(self) -> float:
        random_source = self._random_source
        if random_source.random() * self._nodes >= CANDIDATES:
            return MAX_CHECK_DELAY_S
        rate = 1.0 + log(min(self._nodes, CANDIDATES))
        fraction = log(1.0 + random_source.random() * (exp(rate) - 1.0)) / rate
        return MAX_CHECK_DELAY_S * fraction

    def on_success(self, began_at: float) -> None:
        """Record a successful check of this node."""
        self._failures = 0
        self.record(began_at)

    def on_failure(self, now: float) -> None:
        """Delay the next check of this node, as the source does not respond to it."""
        delay_s = min(MAX_FAILURE_DELAY_S, MAX_CHECK_DELAY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        self._not_before = now + delay_s * (0.5 + self._random_source.random() / 2)

    def due_in_s(self, now: float) -> float:
        """Return the time until this node makes a check, if no other node makes one before."""
        due_at = max(self._checked_at + CHECK_AGE_S + self._delay_s, self._not_before)
        return max(0.0, due_at - now)
