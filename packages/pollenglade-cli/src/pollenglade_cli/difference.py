"""Readable difference between two versions of a profile."""

from __future__ import annotations

from dataclasses import asdict
from enum import Enum
from typing import Any

from pollenglade_core.configuration.profile import Profile


def profile_values(profile: Profile) -> dict[str, Any]:
    """Return a profile in the shape of its file."""
    organisations = {
        name: {"rate_per_s": c.rate_per_s, "burst": c.burst, "weight": c.weight}
        for name, c in sorted(profile.organisations_by_id.items())
    }
    rules = [{**asdict(rule), "importance": rule.importance.name.lower()} for rule in profile.rules]
    services = list(profile.services)
    return {
        "name": profile.name,
        "services": services,
        "zones": dict(sorted(profile.zones.items())),
        "organisations": organisations,
        "rules": rules,
    }


def difference(old: Profile | None, new: Profile | None) -> list[str]:
    """Return one line for each added (+), removed (-) or changed (~) value."""
    before = _flat("", profile_values(old)) if old else {}
    after = _flat("", profile_values(new)) if new else {}
    lines: list[str] = []
    for place in [*before, *(place for place in after if place not in before)]:
        if place not in after:
            lines.append(f"- {place}: {before[place]}")
        elif place not in before:
            lines.append(f"+ {place}: {after[place]}")
        elif before[place] != after[place]:
            lines.append(f"~ {place}: {before[place]} -> {after[place]}")
    return lines


def _flat(place: str, value: Any) -> dict[str, str]:
    if isinstance(value, dict):
        items = {f"{place}.{key}" if place else str(key): item for key, item in value.items()}
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = {f"{place}[{index}]": item for index, item in enumerate(value)}
    elif isinstance(value, list):
        return {place: ", ".join(map(str, value))}
    elif value is None:
        return {place: "by method"}
    else:
        return {place: str(value.value if isinstance(value, Enum) else value)}
    flat: dict[str, str] = {}
    for key, item in items.items():
        flat.update(_flat(key, item))
    return flat
