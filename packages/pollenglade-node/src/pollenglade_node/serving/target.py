"""Targets on this host, which announce themselves to the node."""

from __future__ import annotations

from enum import StrEnum

from pollenglade_core.admission.admission import Admission
from pollenglade_core.admission.limit import ConcurrencyLimit
from pollenglade_core.randomness import RandomSource
from pollenglade_net.address import Address

ANNOUNCEMENT_TTL_S = 3.5
"""A target gets no new calls if its last announcement is older than this.

Targets announce themselves each second, so two lost announcements are tolerated.
"""


class TargetState(StrEnum):
    """State that a target announces, as sent in its announcement."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Target:
    """One target process on this host."""

    def __init__(
        self,
        service: str,
        address: Address,
        slots: int,
        limit: ConcurrencyLimit,
        source: RandomSource,
    ) -> None:
        self.service = service
        self.address = address
        self.slots = slots
        self.state = TargetState.STARTING
        self.announced_at = 0.0
        self.admission = Admission(limit, source)

    def is_ready(self, now: float) -> bool:
        """Return whether the target accepts new calls."""
        is_fresh = now - self.announced_at <= ANNOUNCEMENT_TTL_S
        return self.state is TargetState.READY and is_fresh
