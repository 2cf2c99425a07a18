"""Settings of one mesh node."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from pollenglade_core.allowance.token_share import AllowanceBounds
from pollenglade_core.dispatch.retry_budget import RetryBounds
from pollenglade_net.address import Address

STOP_LIMIT_S = 6.0
"""Time in seconds from SIGTERM to SIGKILL where the settings do not say it."""


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Where a node listens, which endpoint it stands beside, and the bounds that it keeps.

    `first_start` is True where the whole system starts for the first time. `stop_limit_s` is the
    time after SIGTERM at which the process must have ended.
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
