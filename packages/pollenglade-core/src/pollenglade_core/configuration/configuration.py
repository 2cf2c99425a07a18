"""Published configuration and the changes between its versions."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from functools import cached_property

from ..finding import Finding
from ..finding import Findings
from .keys import KeyRecord
from .profile import Profile

MAX_WITHDRAWN_NAMES = 1_024
"""Largest number of withdrawn names that the configuration retains.

They let a node refuse with `key-withdrawn` instead of `key-unknown`, and let a conflict include the
change that withdrew the name. At 1,000 changes per day they cover at least a day.
"""


class Kind(StrEnum):
    """Kind of object that a change applies to."""

    PROFILE = "profile"
    KEY = "key"


class Action(StrEnum):
    """Effect of a change on its profile or key."""

    PUBLISH = "publish"
    CHANGE = "change"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class ChangeOrigin:
    """Author, time (seconds since the epoch) and operation id of a change."""

    who: str
    when: float
    operation_id: str


@dataclass(frozen=True, slots=True)
class ProfileChange:
    """Publishes (expected revision 0), changes or withdraws (`profile` is None) a profile."""

    name: str
    expected_revision: int
    profile: Profile | None
    stamp: ChangeOrigin


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Publishes (expected revision 0), changes or withdraws (`key` is None) a key."""

    key_id: str
    expected_revision: int
    key: KeyRecord | None
    stamp: ChangeOrigin


Change = ProfileChange | KeyChange


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The last accepted change of a name; `revision` is the configuration version it created."""

    action: Action
    revision: int
    stamp: ChangeOrigin


@dataclass(frozen=True, slots=True)
class Conflict:
    """A change whose expected revision is not current; `other` is the change accepted before it.

    `other` is None if the name does not exist and no withdrawal of it is recorded.
    """

    kind: Kind
    name: str
    expected_revision: int
    current_revision: int
    other: AcceptedChange | None


@dataclass(frozen=True)
class Configuration:
    """All published profiles and keys at one version; immutable after creation."""

    version: int = 0
    profiles_by_name: Mapping[str, Profile] = field(default_factory=dict)
    keys_by_id: Mapping[str, KeyRecord] = field(default_factory=dict)
    acceptances_by_subject: Mapping[str, AcceptedChange] = field(default_factory=dict)

    @cached_property
    def _profiles_by_service(self) -> Mapping[str, Profile]:
        profiles = self.profiles_by_name.values()
        return {service: profile for profile in profiles for service in profile.services}

    def profile_of_service(self, service: str) -> Profile | None:
        """Return the profile of a service; None if no profile contains it."""
        return self._profiles_by_service.get(service)

    def acceptance(self, kind: Kind, name: str) -> AcceptedChange | None:
        """Return the last accepted change of a name, which may be its withdrawal."""
        return self.acceptances_by_subject.get(_subject_key(kind, name))

    def revision(self, kind: Kind, name: str) -> int:
        """Return the revision that a change of the name must expect; 0 if it is not published."""
        accepted = self.acceptance(kind, name)
        if accepted is None or accepted.action is Action.WITHDRAW:
            return 0
        return accepted.revision

    def is_key_withdrawn(self, key_id: str) -> bool:
        """Return whether the key was published and then withdrawn."""
        accepted = self.acceptance(Kind.KEY, key_id)
        return accepted is not None and accepted.action is Action.WITHDRAW

    @cached_property
    def _digest(self) -> str:
        from .configuration_wire import to_wire

        text = json.dumps(to_wire(self), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()

    def digest(self) -> str:
        """Return a SHA-256 hash in hexadecimal, equal on all nodes with the same configuration."""
        return self._digest


def subject_of(change: Change) -> tuple[Kind, str]:
    """Return the kind and name of the profile or key that a change applies to."""
    if isinstance(change, ProfileChange):
        return Kind.PROFILE, change.name
    return Kind.KEY, change.key_id


def action_of(change: Change) -> Action:
    """Return whether a change publishes, changes or withdraws."""
    value = change.profile if isinstance(change, ProfileChange) else change.key
    if value is None:
        return Action.WITHDRAW
    return Action.CHANGE if change.expected_revision else Action.PUBLISH


def apply(configuration: Configuration, change: Change) -> Configuration | Conflict | Findings:
    """Return the next configuration, or the reason why the change is not accepted.

    A conflict depends only on the last change of the same name. Findings are problems that another
    expected revision would not solve, such as a service that belongs to another profile.
    """
    kind, name = subject_of(change)
    current = configuration.revision(kind, name)
    withdraws_nothing = current == 0 and action_of(change) is Action.WITHDRAW
    if current != change.expected_revision or withdraws_nothing:
        other = configuration.acceptance(kind, name)
        return Conflict(kind, name, change.expected_revision, current, other)
    findings = _change_findings(configuration, change)
    if findings:
        return Findings(tuple(findings))
    return _accept_change(configuration, change)


def _accept_change(configuration: Configuration, change: Change) -> Configuration:
    version = configuration.version + 1
    profiles, keys = dict(configuration.profiles_by_name), dict(configuration.keys_by_id)
    if isinstance(change, ProfileChange):
        profiles.pop(change.name, None)
        if change.profile is not None:
            profiles[change.name] = change.profile
    else:
        keys.pop(change.key_id, None)
        if change.key is not None:
            keys[change.key_id] = replace(change.key, revision=version)
    accepted = dict(configuration.acceptances_by_subject)
    accepted[_subject_key(*subject_of(change))] = AcceptedChange(
        action_of(change), version, change.stamp
    )
    return Configuration(version, profiles, keys, _without_oldest_withdrawals(accepted))


def _without_oldest_withdrawals(accepted: dict[str, AcceptedChange]) -> dict[str, AcceptedChange]:
    withdrawn = [name for name, item in accepted.items() if item.action is Action.WITHDRAW]
    excess = len(withdrawn) - MAX_WITHDRAWN_NAMES
    if excess > 0:
        withdrawn.sort(key=lambda name: accepted[name].revision)
        for name in withdrawn[:excess]:
            del accepted[name]
    return accepted


def _change_findings(configuration: Configuration, change: Change) -> list[Finding]:
    if isinstance(change, KeyChange):
        if change.key is None or change.key.id == change.key_id:
            return []
        return [Finding("key", f"has id '{change.key.id}', expected '{change.key_id}'")]
    if change.profile is None:
        return []
    findings: list[Finding] = []
    if change.profile.name != change.name:
        text = f"is '{change.profile.name}', expected '{change.name}'; correct the name"
        findings.append(Finding("name", text))
    for index, service in enumerate(change.profile.services):
        owner = configuration.profile_of_service(service)
        if owner is not None and owner.name != change.name:
            text = f"service '{service}' runs under profile '{owner.name}'; remove it from one"
            findings.append(Finding(f"services[{index}]", text))
    return findings


def _subject_key(kind: Kind, name: str) -> str:
    return f"{kind}/{name}"
