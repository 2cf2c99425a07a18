"""Gossip messages as JSON-able values, validated when read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..quota.lease_rows import SLOT_COUNT
from .member import Member
from .member import MemberState
from .member import ServiceOffer

MAX_TEXT = 255
MAX_ITEMS = 4_096
MAX_AGE_S = 1e9
MAX_NUMBER = 2**63 - 1

Wire = dict[str, object]


class WireError(ValueError):
    """A message that does not have the agreed form; `place` names the offending part."""

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """One side of a gossip exchange.

    `contact_age_s` is the age of the latest platform contact that the sender knows in its zone.
    `members` is empty unless the digests of a zone differ.
    """

    sender: str
    zone: str
    incarnation: int
    digests: Mapping[str, int]
    configuration_version: int
    contact_age_s: float | None = None
    members: tuple[Member, ...] = ()

    def to_wire(self) -> Wire:
        """Return a value that JSON can carry.

        Digests are hexadecimal, because many JSON readers keep only 53 bits of a number.
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
        """Return the message; raise WireError if the value has another form."""
        fields = _Fields(value, "gossip")
        age_s = fields.value("contact_age_s")
        return cls(
            fields.text("sender"),
            fields.text("zone"),
            fields.number("incarnation"),
            fields.digests("digests"),
            fields.number("configuration_version"),
            None if age_s is None else fields.age("contact_age_s"),
            tuple(
                member_from_wire(item, f"gossip.members[{index}]")
                for index, item in enumerate(fields.items("members"))
            ),
        )


def member_to_wire(member: Member) -> Wire:
    """Return a member as a value that JSON can carry."""
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


def member_from_wire(value: object, place: str) -> Member:
    """Return the member at `place`; raise WireError if the value has another form."""
    fields = _Fields(value, place)
    return Member(
        fields.text("node"),
        fields.number("incarnation"),
        fields.text("zone"),
        fields.text("region"),
        fields.text("host"),
        fields.text("link_address"),
        fields.text("control_address"),
        tuple(
            _offer(item, f"{place}.offers[{index}]")
            for index, item in enumerate(fields.items("offers"))
        ),
        fields.state("state"),
        fields.number("sequence"),
        fields.number("quota_slots", (1 << SLOT_COUNT) - 1),
    )


class _Fields:
    """Typed access to the fields of one map."""

    def __init__(self, value: object, place: str) -> None:
        if not isinstance(value, dict):
            raise WireError(place, "expected a map")
        self._map = value
        self._place = place

    def value(self, name: str) -> object:
        if name not in self._map:
            raise WireError(f"{self._place}.{name}", "is missing")
        return self._map[name]

    def text(self, name: str) -> str:
        return _text(self.value(name), f"{self._place}.{name}")

    def number(self, name: str, largest: int = MAX_NUMBER) -> int:
        value = self.value(name)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= largest:
            raise WireError(f"{self._place}.{name}", f"expected a whole number from 0 to {largest}")
        return value

    def age(self, name: str) -> float:
        value = self.value(name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise WireError(f"{self._place}.{name}", "expected a number")
        if not 0 <= value <= MAX_AGE_S:
            raise WireError(f"{self._place}.{name}", f"expected 0 to {MAX_AGE_S:.0f} seconds")
        return float(value)

    def items(self, name: str) -> list[object]:
        value = self.value(name)
        if not isinstance(value, list) or len(value) > MAX_ITEMS:
            raise WireError(f"{self._place}.{name}", f"expected a list of at most {MAX_ITEMS}")
        return value

    def state(self, name: str) -> MemberState:
        value = self.text(name)
        if value not in set(MemberState):
            raise WireError(f"{self._place}.{name}", "expected the state of a member")
        return MemberState(value)

    def digests(self, name: str) -> dict[str, int]:
        value = self.value(name)
        if not isinstance(value, dict) or len(value) > MAX_ITEMS:
            raise WireError(f"{self._place}.{name}", "expected a map of digests by zone")
        place = f"{self._place}.{name}"
        return {
            _text(zone, place): _digest(item, f"{place}.{zone}") for zone, item in value.items()
        }


def _offer(value: object, place: str) -> ServiceOffer:
    if not isinstance(value, list) or len(value) != 2:
        raise WireError(place, "must be a pair of service and slots")
    service, slots = value
    if not isinstance(slots, int) or isinstance(slots, bool) or not 0 <= slots <= MAX_NUMBER:
        raise WireError(f"{place}[1]", "must be a whole number that is not negative")
    return ServiceOffer(_text(service, f"{place}[0]"), slots)


def _text(value: object, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT:
        raise WireError(place, f"expected a text of 1 to {MAX_TEXT} characters")
    return value


def _digest(value: object, place: str) -> int:
    if not isinstance(value, str) or len(value) != 16 or set(value) - set("0123456789abcdef"):
        raise WireError(place, "expected 16 hexadecimal digits")
    return int(value, 16)
