"""Parser of the TOML file in which an operator writes a profile.

name = "residencies"
services = ["open-calls", "fees"]

[zones]                     # weight of each availability zone's share of rate and burst
zone-a = 1
zone-b = 1

[organisations.acme]
rate_per_s = 200
burst = 400
weight = 2                  # optional, 1

[[rules]]                   # the first matching rule applies
method = "POST"             # optional, "*"
path = "/applications/*"    # optional, "*"
importance = "critical"     # sheddable, normal, important, critical; optional, "normal"
idempotent = false          # optional; true for GET, HEAD, OPTIONS, PUT and DELETE
extra_attempts = 0          # optional, 2
deadline_ms = 5000          # optional, 2000
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from ..calls.importance import Importance
from ..finding import Finding
from ..finding import Findings
from .profile import DEFAULT_DEADLINE_MS
from .profile import NAME_PATTERN
from .profile import OrganisationContract
from .profile import Profile
from .profile import RequestRule

MAX_FILE_BYTES = 256 * 1024
"""Largest accepted file; a profile with 100 organisations and 100 rules has about 20 KiB."""

MAX_DEADLINE_MS = 25_000
"""Below the drain limit of 30 s, so that a drain does not cancel a call before its deadline."""

MAX_EXTRA_ATTEMPTS = 10
MAX_RATE_PER_S = 1_000_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
PositiveCount = Annotated[int, Field(ge=1, le=MAX_RATE_PER_S)]
Method = Annotated[str, Field(pattern=r"^(\*|[A-Z]{1,16})$")]
PathPattern = Annotated[str, Field(pattern=r"^[*/]", max_length=512)]

_NAME_ADVICE = "use 1 to 63 lower-case letters, digits and '-', with a letter or digit first"
_ADVICE_BY_TYPE = {
    "missing": "is missing; add it",
    "extra_forbidden": "is not a known setting; remove it or correct its name",
    "int_type": "must be a whole number",
    "bool_type": "must be true or false",
    "string_type": "must be text in quotation marks",
    "list_type": "must be a list in square brackets",
    "dict_type": "must be a table",
    "too_short": "must not be empty; add an entry",
    "model_type": "must be a table",
    "model_attributes_type": "must be a table",
}
_PATTERN_ADVICE_BY_FIELD = {
    "method": "use an upper-case HTTP method or '*'",
    "path": "start the pattern with '/' or '*'",
}


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _Organisation(_Table):
    rate_per_s: PositiveCount
    burst: PositiveCount
    weight: Annotated[int, Field(ge=1, le=1_000)] = 1


class _Rule(_Table):
    method: Method = "*"
    path: PathPattern = "*"
    importance: Literal["sheddable", "normal", "important", "critical"] = "normal"
    idempotent: bool | None = None
    extra_attempts: Annotated[int, Field(ge=0, le=MAX_EXTRA_ATTEMPTS)] = 2
    deadline_ms: Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)] = DEFAULT_DEADLINE_MS


class _ProfileTable(_Table):
    name: Name
    services: list[Name]
    zones: Annotated[dict[Name, Annotated[int, Field(ge=0, le=1_000)]], Field(min_length=1)]
    organisations: dict[Name, _Organisation] = Field(default_factory=dict)
    rules: list[_Rule] = Field(default_factory=list)


def read_profile(data: bytes) -> Profile | Findings:
    """Return the profile in a file, or all findings."""
    if len(data) > MAX_FILE_BYTES:
        return _single_finding(f"the file is larger than {MAX_FILE_BYTES} bytes; split the profile")
    try:
        tables = tomllib.loads(data.decode())
    except UnicodeDecodeError as error:
        return _single_finding(f"byte {error.start} is not UTF-8; save the file as UTF-8")
    except RecursionError:
        return _single_finding(
            "values are nested too deeply; use the tables of the documented format"
        )
    except ValueError as error:
        return _single_finding(f"not valid TOML: {error}")
    return profile_from_tables(tables)


def profile_from_tables(tables: Mapping[str, Any]) -> Profile | Findings:
    """Return the profile from decoded TOML tables, or all findings."""
    findings = [*_duplicate_services(tables), *_zones_without_weight(tables)]
    try:
        model = _ProfileTable.model_validate(tables)
    except ValidationError as error:
        findings += [_finding(detail) for detail in error.errors(include_url=False)]
        return Findings(tuple(findings))
    if findings:
        return Findings(tuple(findings))
    return _profile(model)


def _profile(model: _ProfileTable) -> Profile:
    contracts = {
        name: OrganisationContract(name, table.rate_per_s, table.burst, table.weight)
        for name, table in model.organisations.items()
    }
    rules = tuple(_rule(table) for table in model.rules)
    return Profile(model.name, tuple(model.services), contracts, rules, model.zones)


def _rule(table: _Rule) -> RequestRule:
    return RequestRule(
        method=table.method,
        path=table.path,
        importance=Importance.parse(table.importance),
        idempotent=table.idempotent,
        extra_attempts=table.extra_attempts,
        deadline_ms=table.deadline_ms,
    )


def _duplicate_services(tables: Mapping[str, Any]) -> list[Finding]:
    services = tables.get("services")
    if not isinstance(services, list):
        return []
    findings: list[Finding] = []
    for index, service in enumerate(services):
        if isinstance(service, str) and service in services[:index]:
            text = f"service '{service}' is listed twice; remove one entry"
            findings.append(Finding(f"services[{index}]", text))
    return findings


def _zones_without_weight(tables: Mapping[str, Any]) -> list[Finding]:
    zones = tables.get("zones")
    if isinstance(zones, dict) and zones and all(weight == 0 for weight in zones.values()):
        return [Finding("zones", "all weights are 0; give at least one zone a weight above 0")]
    return []


def _single_finding(text: str) -> Findings:
    return Findings((Finding("", text),))


def _finding(detail: Any) -> Finding:
    return Finding(_field_path(detail["loc"]), _advice(detail))


def _field_path(location: Sequence[str | int]) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part != "[key]":
            path += f".{part}" if path else part
    return path


def _advice(detail: Any) -> str:
    kind, context = detail["type"], detail.get("ctx", {})
    if kind in _ADVICE_BY_TYPE:
        return _ADVICE_BY_TYPE[kind]
    if kind == "greater_than_equal":
        return f"must be at least {context['ge']}"
    if kind == "less_than_equal":
        return f"must be at most {context['le']}"
    if kind == "literal_error":
        return f"must be {context['expected']}"
    if kind == "string_pattern_mismatch":
        return _PATTERN_ADVICE_BY_FIELD.get(str(detail["loc"][-1]), _NAME_ADVICE)
    return f"{detail['msg']}; correct the value"
