"""The result of a request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from pollenglade_core.dispatch.tree_cost import UsageByService

SERVED = "served"


@dataclass(frozen=True, slots=True)
class RequestResult:
    """How a request ended, for quota, learnt costs, log and metrics.

    A status of 0 means that the connection ended without a complete response. `ran` is False only
    if the request has not run and will not run.
    """

    status: int
    reason: str
    ran: bool
    detail: str = ""
    usage: UsageByService = field(default_factory=dict)
