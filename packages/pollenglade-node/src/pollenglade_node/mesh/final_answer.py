"""How a request ended."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from pollenglade_core.dispatch.tree_cost import UsageByService

SERVED = "served"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The end of a request, for quota, learning, log and counters.

    A status of 0 means that the connection ended without one. `ran` is False only where the request
    has not run and will not run.
    """

    status: int
    reason: str
    ran: bool
    detail: str = ""
    usage: UsageByService = field(default_factory=dict)
