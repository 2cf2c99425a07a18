"""The context of a call: organisation, deadline, importance and retry allowance."""

from __future__ import annotations

from dataclasses import dataclass

from .importance import Importance
from .retry import RetryAllowance

MAX_DEPTH = 13
"""Largest depth of a call chain; the root call has depth 1."""


@dataclass(slots=True)
class CallContext:
    """The state of a call at one node; never contains a key.

    `deadline` and `objective_at` are in seconds on the monotonic clock of that node.

    `fingerprint` is a hash by which the entry node identifies calls that ask for the same work.
    The quarantine counts crashes by fingerprint, and an idempotency key that is reused with another
    fingerprint is refused. A call with an empty fingerprint is never quarantined.
    `crash_count` is the number of attempts of the call that the entry node saw end with
    TARGET_FAILED. It covers crashes whose notices have not arrived at the serving node yet.

    Only the entry node of a mesh sets `objective_at`, `nested`, `rank` and `may_wait`; the endpoint
    queue of a serving node orders requests by the first three, and rejects a request that must not
    wait and cannot start at once. `objective_at` is the end of the latency objective, and
    0.0 if none is set. `nested` marks a request that the run of another one made. The node's own
    interface leaves them at their defaults and marks its nested calls by a `depth` above 1.

    The admission control of a target prefers calls with a higher `importance`, the endpoint queue
    of a mesh node requests with a lower `rank`. In a mesh both follow from the priorities of the
    policy, of which the lowest is the most important. The importance is CRITICAL minus the priority
    of the route, at least SHEDDABLE. The rank orders by the priority of the organisation, or of the
    route if the organisation has none, and then by that of the route. A nested request has the rank
    and the `objective_at` of its parent request if that runs at the same node.
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
    may_wait: bool = True

    def with_allowance(self, allowance: RetryAllowance) -> CallContext:
        """Return a copy with another retry allowance.

        Passing each field explicitly takes a third of the time of `dataclasses.replace`.
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
            self.may_wait,
        )

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline; negative after the deadline."""
        return self.deadline - now
