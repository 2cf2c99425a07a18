"""The announcement of a node in the platform's table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError


@dataclass(frozen=True, slots=True)
class AnnouncedTarget:
    """A target that takes calls at the node."""

    service: str
    slots: int
    state: str


class NodeAnnouncement(BaseModel):
    """Value of the row `nodes/<zone>/<node>`."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    node: str
    incarnation: Annotated[int, Field(ge=0)]
    zone: str
    region: str = "default"
    link_address: str
    control_address: str
    renewal: Annotated[int, Field(ge=0)] = 0
    leaving: bool = False
    targets: tuple[AnnouncedTarget, ...] = ()


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
