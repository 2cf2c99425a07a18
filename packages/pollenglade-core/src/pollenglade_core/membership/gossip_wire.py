"""Conversion of gossip messages to and from JSON values, with validation."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from ..quota.lease_rows import SLOT_COUNT
from .member import Member
from .member import MemberState
from .member import ServiceOffer

MAX_TEXT_LENGTH = 255
MAX_COLLECTION_ITEMS = 4_096
"""Maximum number of members, of offers of one member and of digests in a message."""

ADDRESS_PATTERN = re.compile(r"[0-9A-Za-z._:\[\]-]+:\d{1,5}", re.ASCII)

MAX_AGE_S = 1e9

MAX_INTEGER = 2**63 - 1
"""Largest accepted integer; it fits into 64 bits with a sign."""

JsonObject = dict[str, object]


class WireError(ValueError):
    """An invalid gossip message; `path` is the dotted path of the invalid field."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """One side of a gossip exchange.

    `contact_age_s` is the age in seconds of the latest platform contact in the zone of the sender,
    as far as the sender knows. `members` is empty unless the digests of a zone differ.
    """

    sender: str
    zone: str
    incarnation: int
    digests: Mapping[str, int]
    configuration_version: int
    contact_age_s: float | None = None
    members: tuple[Member, ...] = ()

    def to_wire(self) -> JsonObject:
        """Return the message as a JSON value.

        Digests are hexadecimal strings, because many JSON readers keep only 53 bits of a number.
        """
        return {
            "sender": self.sender,
            "zone": self.zone,
            "incarnation": self.incarnation,
            "digests": {zone: f"{value:016x}" for zone, value in sorted(self.digests.items())},
            "configuration_version": self.configuration_version,
            "contact_age_s": self.contact_age_s,
            "members": [member_to_wire(member) for member in self.members],
        }

    @classmethod
    def from_wire(cls, value: object) -> GossipMessage:
        """Parse a message; raise WireError if it is invalid."""
        fields = _FieldReader(value, "gossip")
        age_s = fields.require("contact_age_s")
        return cls(
            fields.text("sender"),
            fields.text("zone"),
            fields.integer("incarnation"),
            fields.digests("digests"),
            fields.integer("configuration_version"),
            None if age_s is None else fields.seconds("contact_age_s"),
            tuple(
                member_from_wire(item, f"gossip.members[{index}]")
                for index, item in enumerate(fields.items("members"))
            ),
        )


def member_to_wire(member: Member) -> JsonObject:
    """Return a member as a JSON value."""
    return {
        "node": member.node,
        "incarnation": member.incarnation,
        "zone": member.zone,
        "region": member.region,
        "host": member.host,
        "link_address": member.link_address,
        "control_address": member.control_address,
        "offers": [[offer.service, offer.slots] for offer in member.offers],
        "state": member.state.value,
        "sequence": member.sequence,
        "quota_slots": member.quota_slots,
    }


def member_from_wire(value: object, path: str) -> Member:
    """Parse the member at `path` in the message; raise WireError if it is invalid."""
    fields = _FieldReader(value, path)
    return Member(
        fields.text("node"),
        fields.integer("incarnation"),
        fields.text("zone"),
        fields.text("region"),
        fields.text("host"),
        fields.address("link_address"),
        fields.address("control_address"),
        tuple(
            _parse_offer(item, f"{path}.offers[{index}]")
            for index, item in enumerate(fields.items("offers"))
        ),
        fields.state("state"),
        fields.integer("sequence"),
        fields.integer("quota_slots", (1 << SLOT_COUNT) - 1),
    )


class _FieldReader:
    """Typed and validated access to the fields of a JSON object."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise WireError(path, "expected a map")
        self._values = value
        self._path = path

    def require(self, name: str) -> object:
        if name not in self._values:
            raise WireError(f"{self._path}.{name}", "is missing")
        return self._values[name]

    def text(self, name: str) -> str:
        return _parse_text(self.require(name), f"{self._path}.{name}")

    def address(self, name: str) -> str:
        return _parse_address(self.require(name), f"{self._path}.{name}")

    def integer(self, name: str, maximum: int = MAX_INTEGER) -> int:
        value = self.require(name)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
            raise WireError(f"{self._path}.{name}", f"expected a whole number from 0 to {maximum}")
        return value

    def seconds(self, name: str) -> float:
        value = self.require(name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise WireError(f"{self._path}.{name}", "expected a number")
        if not 0 <= value <= MAX_AGE_S:
            raise WireError(f"{self._path}.{name}", f"expected 0 to {MAX_AGE_S:.0f} seconds")
        return float(value)

    def items(self, name: str) -> list[object]:
        value = self.require(name)
        if not isinstance(value, list) or len(value) > MAX_COLLECTION_ITEMS:
            raise WireError(
                f"{self._path}.{name}", f"expected a list of at most {MAX_COLLECTION_ITEMS}"
            )
        return value

    def state(self, name: str) -> MemberState:
        value = self.text(name)
        if value not in set(MemberState):
            raise WireError(f"{self._path}.{name}", "expected the state of a member")
        return MemberState(value)

    def digests(self, name: str) -> dict[str, int]:
        value = self.require(name)
        if not isinstance(value, dict) or len(value) > MAX_COLLECTION_ITEMS:
            raise WireError(f"{self._path}.{name}", "expected a map of digests by zone")
        path = f"{self._path}.{name}"
        return {
            _parse_text(zone, path): _parse_digest(item, f"{path}.{zone}")
            for zone, item in value.items()
        }


def _parse_offer(value: object, path: str) -> ServiceOffer:
    if not isinstance(value, list) or len(value) != 2:
        raise WireError(path, "must be a pair of service and slots")
    service, slots = value
    if not isinstance(slots, int) or isinstance(slots, bool) or not 0 <= slots <= MAX_INTEGER:
        raise WireError(f"{path}[1]", "must be a whole number that is not negative")
    return ServiceOffer(_parse_text(service, f"{path}[0]"), slots)


def _parse_text(value: object, path: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise WireError(path, f"expected a text of 1 to {MAX_TEXT_LENGTH} characters")
    return value


def _parse_address(value: object, path: str) -> str:
    text = _parse_text(value, path)
    if ADDRESS_PATTERN.fullmatch(text) is None or not 0 < int(text.rpartition(":")[2]) < 2**16:
        raise WireError(path, "expected host:port with a port from 1 to 65535")
    return text


def _parse_digest(value: object, path: str) -> int:
    if not isinstance(value, str) or len(value) != 16 or set(value) - set("0123456789abcdef"):
        raise WireError(path, "expected 16 hexadecimal digits")
    return int(value, 16)
