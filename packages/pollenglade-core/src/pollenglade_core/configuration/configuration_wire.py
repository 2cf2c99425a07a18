"""JSON encoding of configurations and changes, for the platform and between nodes."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from pydantic import TypeAdapter
from pydantic import ValidationError

from ..finding import Finding
from ..finding import Findings
from .configuration import Change
from .configuration import Configuration
from .configuration import KeyChange
from .configuration import ProfileChange

T = TypeVar("T")

_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)
_PROFILE_CHANGE: TypeAdapter[ProfileChange] = TypeAdapter(ProfileChange)
_KEY_CHANGE: TypeAdapter[KeyChange] = TypeAdapter(KeyChange)


def to_wire(configuration: Configuration) -> dict[str, Any]:
    """Return the configuration as a JSON-compatible mapping."""
    wire: dict[str, Any] = _CONFIGURATION.dump_python(configuration, mode="json")
    return wire


def from_wire(wire: object) -> Configuration | Findings:
    """Return the configuration from decoded JSON, or all findings."""
    return _validated(_CONFIGURATION, wire)


def change_to_wire(change: Change) -> dict[str, Any]:
    """Return the change as a JSON-compatible mapping; its kind is the only key."""
    if isinstance(change, ProfileChange):
        return {"profile": _PROFILE_CHANGE.dump_python(change, mode="json")}
    return {"key": _KEY_CHANGE.dump_python(change, mode="json")}


def change_from_wire(wire: object) -> Change | Findings:
    """Return the change from decoded JSON, or all findings."""
    match wire:
        case {"profile": value}:
            return _validated(_PROFILE_CHANGE, value)
        case {"key": value}:
            return _validated(_KEY_CHANGE, value)
    return Findings((Finding("", "neither a change of a profile nor of a key"),))


def _validated(adapter: TypeAdapter[T], wire: object) -> T | Findings:
    try:
        return adapter.validate_python(wire)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
    return Findings(
        tuple(Finding(".".join(map(str, detail["loc"])), detail["msg"]) for detail in details)
    )
