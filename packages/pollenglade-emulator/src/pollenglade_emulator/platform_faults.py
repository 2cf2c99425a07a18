"""Faults of the platform stand-in."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field


class PlatformFaults(BaseModel):
    """Active faults; `POST /faults` replaces all of them.

    While `down` every connection is reset. Requests from `cut_zones` get no response, as in a
    network partition. `delay_s` passes before a request takes effect, so that a slow write can take
    effect after the timeout of its client. `lose_next_answers` and `lose_every_nth_answer` drop the
    responses to writes that took effect.
    """

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_s: float = Field(default=0.0, ge=0.0, le=600.0)
    lose_next_answers: int = Field(default=0, ge=0)
    lose_every_nth_answer: int = Field(default=0, ge=0)
    cut_zones: frozenset[str] = frozenset()
