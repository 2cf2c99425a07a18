"""The announcement of a node in the platform's table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

STALE_AFTER_S = 60.0
"""Age in seconds from which a row that was not seen to change counts as that of a former node."""

TOMBSTONE = {"tombstone": True}
"""Value of the row of a node that ended long ago; the platform offers no delete."""


@dataclass(frozen=True, slots=True)
class AnnouncedTarget:
    """A target that takes calls at the node."""

    service: str
    slots: int
    state: str


class NodeAnnouncement(BaseModel):
    """Value of the row `nodes/<zone>/<node>`; `announced_at` is in seconds since the epoch."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    node: str
    incarnation: Annotated[int, Field(ge=0)]
    zone: str
    region: str = "default"
    link_address: str
    control_address: str
    announced_at: float | None = None
    renewal: Annotated[int, Field(ge=0)] = 0
    leaving: bool = False
    targets: tuple[AnnouncedTarget, ...] = ()

    def is_stale(self, wall_s: float) -> bool:
        """Return whether the row was written long ago by the clocks of both hosts."""
        return self.announced_at is not None and wall_s - self.announced_at > STALE_AFTER_S


_ADAPTER = TypeAdapter(NodeAnnouncement)


def announcement_from_wire(value: object) -> NodeAnnouncement | None:
    """Return a validated announcement, or None where the row has another form."""
    try:
        return _ADAPTER.validate_python(value)
    except ValidationError:
        return None


def row_name(zone: str, node: str) -> str:
    """Return the name of the row of a node."""
    return f"nodes/{zone}/{node}"
