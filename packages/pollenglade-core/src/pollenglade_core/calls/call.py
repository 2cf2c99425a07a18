"""The context under which a call runs."""

from __future__ import annotations

from dataclasses import dataclass

from .importance import Importance
from .retry import RetryAllowance

MAX_DEPTH = 13
"""Largest depth of a call chain; the root call has depth 1."""


@dataclass(slots=True)
class CallContext:
    """What a node knows about a call; never contains a key.

    `deadline` and `objective_at`, the end of the latency objective, are in seconds on the monotonic
    clock of the node that holds the context. `nested` calls were made by a run of another call. Of
    two calls the one with the smaller `rank` goes first.
    """

    call_id: str
    organisation: str
    profile: str
    service: str
    importance: Importance
    deadline: float
    allowance: RetryAllowance
    weight: int = 1
    depth: int = 1
    idempotent: bool = True
    fingerprint: str = ""
    crash_count: int = 0
    objective_at: float = 0.0
    nested: bool = False
    rank: int = 0

    def with_allowance(self, allowance: RetryAllowance) -> CallContext:
        """Return a copy with another retry allowance.

        Naming the fields takes a third of the time of `dataclasses.replace`.
        """
        return CallContext(
            self.call_id,
            self.organisation,
            self.profile,
            self.service,
            self.importance,
            self.deadline,
            allowance,
            self.weight,
            self.depth,
            self.idempotent,
            self.fingerprint,
            self.crash_count,
            self.objective_at,
            self.nested,
            self.rank,
        )

    def remaining_s(self, now: float) -> float:
        """Seconds until the deadline; negative where it has passed."""
        return self.deadline - now
