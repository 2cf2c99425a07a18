"""Announcements of nodes, which are stored as rows in the platform's table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

STALE_AFTER_S = 60.0
"""Age from which an announcement counts as that of a former node.

It applies to rows that were not seen to change.
"""

TOMBSTONE_VALUE = {"tombstone": True}
"""Row value that replaces the announcement of a former node; the platform has no delete."""


@dataclass(frozen=True, slots=True)
class AnnouncedTarget:
    """A target at the node that accepts calls."""

    service: str
    slots: int
    state: str


class NodeAnnouncement(BaseModel):
    """Value of the row `nodes/<zone>/<node>`.

    `announced_at` is in seconds since the epoch, on the clock of the host of the node.
    """

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
        """Return whether the announcement is older than `STALE_AFTER_S`.

        `wall_s` is the local time in seconds since the epoch, so a wrong clock of either host
        changes the result. An announcement without a time is never stale.
        """
        return self.announced_at is not None and wall_s - self.announced_at > STALE_AFTER_S


_ANNOUNCEMENT_ADAPTER = TypeAdapter(NodeAnnouncement)


def announcement_from_wire(value: object) -> NodeAnnouncement | None:
    """Return the validated announcement in a row value, or None if the value is invalid."""
    try:
        return _ANNOUNCEMENT_ADAPTER.validate_python(value)
    except ValidationError:
        return None


def announcement_row_name(zone: str, node: str) -> str:
    """Return the name of the announcement row of a node."""
    return f"nodes/{zone}/{node}"
