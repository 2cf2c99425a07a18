"""Settings of a mesh node."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from pollenglade_core.allowance.token_share import AllowanceBounds
from pollenglade_core.dispatch.retry_budget import RetryBounds
from pollenglade_net.address import Address
from pollenglade_net.memory_budget import DEFAULT_MEMORY_BUDGET_BYTES
from pollenglade_net.server_limits import DEFAULT_MAX_CONNECTIONS

from ..membership.links import DEFAULT_MAX_ACCEPTED_LINKS

STOP_LIMIT_S = 6.0
"""Default time in seconds from SIGTERM to SIGKILL."""


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Identity, addresses and limits of a node.

    `first_start` is True at the first start of the whole system. `stop_limit_s` is the time in
    seconds after SIGTERM by which the process must have exited. `allowance` bounds the requests
    that the token limits of organisations admit over all nodes; it is not the retry allowance of a
    call. `retries` bounds the retries over all nodes. `memory_budget_bytes` bounds the memory that
    the bodies of requests take in the process. `max_caller_connections` and `max_accepted_links`
    bound the open connections that callers and other nodes have made. `region_by_zone` names the
    region of each availability zone; endpoints in other zones are in no region.
    """

    node: str
    zone: str
    service: str
    caller_address: Address
    link_address: Address
    endpoint_address: Address
    first_start: bool = False
    stop_limit_s: float = STOP_LIMIT_S
    allowance: AllowanceBounds = field(default_factory=AllowanceBounds)
    retries: RetryBounds = field(default_factory=RetryBounds)
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    memory_budget_bytes: int = DEFAULT_MEMORY_BUDGET_BYTES
    max_caller_connections: int = DEFAULT_MAX_CONNECTIONS
    max_accepted_links: int = DEFAULT_MAX_ACCEPTED_LINKS
