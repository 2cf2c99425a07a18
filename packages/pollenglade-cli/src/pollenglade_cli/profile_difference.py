"""Human-readable difference between two versions of a profile."""

from __future__ import annotations

from dataclasses import asdict
from enum import Enum
from typing import Any

from pollenglade_core.configuration.profile import Profile


def profile_values(profile: Profile) -> dict[str, Any]:
    """Return a profile as a dictionary with the structure of a profile file."""
    organisations = {
        name: {
            "rate_per_s": contract.rate_per_s,
            "burst": contract.burst,
            "weight": contract.weight,
        }
        for name, contract in sorted(profile.organisations_by_id.items())
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


def profile_difference(old: Profile | None, new: Profile | None) -> list[str]:
    """Return one line for each added (+), removed (-) or changed (~) value.

    `None` stands for a profile that is not published.
    """
    before = _flatten("", profile_values(old)) if old else {}
    after = _flatten("", profile_values(new)) if new else {}
    lines: list[str] = []
    for path in [*before, *(path for path in after if path not in before)]:
        if path not in after:
            lines.append(f"- {path}: {before[path]}")
        elif path not in before:
            lines.append(f"+ {path}: {after[path]}")
        elif before[path] != after[path]:
            lines.append(f"~ {path}: {before[path]} -> {after[path]}")
    return lines


def _flatten(path: str, value: Any) -> dict[str, str]:
    if isinstance(value, dict):
        items = {f"{path}.{key}" if path else str(key): item for key, item in value.items()}
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = {f"{path}[{index}]": item for index, item in enumerate(value)}
    elif isinstance(value, list):
        return {path: ", ".join(map(str, value))}
    elif value is None:
        # Only `idempotent` of a rule can be None: the HTTP method decides.
        return {path: "by method"}
    else:
        return {path: str(value.value if isinstance(value, Enum) else value)}
    flat: dict[str, str] = {}
    for key, item in items.items():
        flat.update(_flatten(key, item))
    return flat
