"""Profiles: limits of each organisation and rules for requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from fnmatch import fnmatchcase

from ..calls.importance import Importance

DEFAULT_DEADLINE_MS = 2_000
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
"""Pattern of the names of profiles, services, organisations and zones."""

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class OrganisationContract:
    """Limits of one organisation for the sum over all hosts.

    `rate_per_s` and `burst` count calls; `weight` is its relative share when capacity is scarce.
    """

    organisation: str
    rate_per_s: int
    burst: int
    weight: int = 1


@dataclass(frozen=True, slots=True)
class RequestRule:
    """Settings for requests that match a method and path.

    `method` is an HTTP method or `*`; `path` is a shell-style pattern for the path at the target.
    If `idempotent` is None, it depends on the method of the request.
    """

    method: str = "*"
    path: str = "*"
    importance: Importance = Importance.NORMAL
    idempotent: bool | None = None
    extra_attempts: int = 2
    deadline_ms: int = DEFAULT_DEADLINE_MS

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a request."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)


@dataclass(frozen=True, slots=True)
class Profile:
    """A named set of contracts and rules, with the services that they apply to.

    `zones` maps each availability zone to the weight of its share of every rate and burst. Zones
    come from the profile and not from the live members, because with different views of the members
    the zones would together admit more than the total.
    """

    name: str
    services: tuple[str, ...] = ()
    organisations_by_id: Mapping[str, OrganisationContract] = field(default_factory=dict)
    rules: tuple[RequestRule, ...] = ()
    zones: Mapping[str, int] = field(default_factory=dict)

    def rule_for(self, method: str, path: str) -> RequestRule:
        """Return the first matching rule or the default rule, with `idempotent` set."""
        rule = next((item for item in self.rules if item.matches(method, path)), RequestRule())
        if rule.idempotent is not None:
            return rule
        return replace(rule, idempotent=method in IDEMPOTENT_METHODS)
