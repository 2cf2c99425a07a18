"""Faults of the platform stand-in."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field


class Faults(BaseModel):
    """What goes wrong at present; `POST /faults` replaces all of it.

    A zone that is cut off gets no answer, as in a network partition. `delay_s` passes before a
    request takes effect, so a slow write can take effect after its client has given up.
    """

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_s: float = Field(default=0.0, ge=0.0, le=600.0)
    lose_next_answers: int = Field(default=0, ge=0)
    lose_every_nth_answer: int = Field(default=0, ge=0)
    cut_zones: frozenset[str] = frozenset()
