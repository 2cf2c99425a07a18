"""What nodes of the mesh tell each other about themselves, and its form on the links."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from math import inf

from pollenglade_core.dispatch.evacuation import ZoneRecord
from pollenglade_core.dispatch.evacuation import decode_records
from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.slot_use import PRIORITY_COUNT
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.numbers import MAX_INTEGER
from pollenglade_core.numbers import MAX_SECONDS
from pollenglade_core.numbers import is_in_range
from pollenglade_core.serving.endpoint_statement import UNKNOWN_INCARNATION
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_core.serving.endpoint_statement import checked_pace
from pollenglade_net.address import Address

MAX_NAME_CHARS = 255
"""Longest name of a node, a zone or a service."""

MAX_COUNT = 1e9
"""Most slots or requests that are taken for a figure of one node."""

EVACUATIONS_FIELD = "evacuations"
"""Key of the records of evacuated zones in the map at the end of a state message."""

SOURCE_AGE_FIELD = "source-age"
"""Key of the age of the latest check of the policy source in a map at the end of a state message.
"""

MAX_SENT_SOURCE_AGE_S = 10.0
"""Age in seconds of a check from which on other nodes are not told of it; they make their own."""


@dataclass(frozen=True, slots=True)
class MeshMember:
    """A node's announcement of itself; `link_address` is `host:port`."""

    node: str
    zone: str
    service: str
    link_address: str
    incarnation: int

    def to_wire(self) -> list[object]:
        """Return the member as a list of plain values for the link."""
        return [self.node, self.zone, self.service, self.link_address, self.incarnation]

    @classmethod
    def checked(
        cls, node: str, zone: str, service: str, link_address: str, incarnation: int
    ) -> MeshMember | None:
        """Return a member; None if no node can have these values."""
        try:
            Address.parse_peer(link_address)
        except ValueError:
            return None
        names_are_valid = all(0 < len(name) <= MAX_NAME_CHARS for name in (node, zone, service))
        if not names_are_valid or not 0 <= incarnation <= MAX_INTEGER:
            return None
        return cls(node, zone, service, link_address, incarnation)

    @classmethod
    def from_wire(cls, value: object) -> MeshMember | None:
        """Decode a member; None if a field is missing, has the wrong type or is out of range."""
        match value:
            case [str(node), str(zone), str(service), str(address), int(incarnation)]:
                return cls.checked(node, zone, service, address, incarnation)
        return None

    def has_same_location(self, other: MeshMember) -> bool:
        """Whether zone, service and link address are equal; incarnations are not compared."""
        location = (self.zone, self.service, self.link_address)
        return location == (other.zone, other.service, other.link_address)


@dataclass(frozen=True, slots=True)
class NodeState:
    """The state of a node and its endpoint, as in its state messages.

    `ready` is `EndpointServing.is_available` of the node: whether its endpoint accepts calls. It
    differs from `MeshNode.is_ready`, which says whether the node accepts requests of clients.
    `leaving` says that the endpoint itself is shutting down. `evacuations` are the node's records
    of evacuated zones. `source_age_s` is the age in seconds of the latest check of the policy
    source that the node knows of.
    """

    member: MeshMember
    ready: bool
    endpoint: EndpointIdentity
    load: EndpointLoad
    policy_version: int
    use_by_service: Mapping[str, SlotUse] = field(default_factory=dict)
    leaving: bool = False
    evacuations: tuple[ZoneRecord, ...] = ()
    source_age_s: float = inf

    def to_wire(self) -> list[object]:
        """Return the state as a list of plain values for the link."""
        member, load = self.member, self.load
        # A map, because an older release expects three values in the list before it.
        pace = () if load.pace is None else ({"pace": load.pace},)
        # Only sent if there are any; an older release ignores further elements.
        evacuations = [{EVACUATIONS_FIELD: [record.to_wire() for record in self.evacuations]}]
        return [
            member.node,
            member.zone,
            member.service,
            member.link_address,
            member.incarnation,
            self.ready,
            self.endpoint.endpoint_id,
            [load.running, load.waiting, load.limit, load.expected_s, load.failure_rate or 0],
            self.policy_version,
            {
                name: figures
                for name, use in self.use_by_service.items()
                if any(figures := _slot_use_to_wire(use))
            },
            [self.endpoint.incarnation, self.leaving, load.rate_limit],
            *pace,
            *(evacuations if self.evacuations else ()),
            *self._source_age_to_wire(),
        ]

    def _source_age_to_wire(self) -> list[object]:
        if self.source_age_s > MAX_SENT_SOURCE_AGE_S:
            return []
        return [{SOURCE_AGE_FIELD: round(self.source_age_s, 2)}]

    @classmethod
    def from_wire(cls, value: object) -> NodeState | None:
        """Decode a state; None if a field is missing or has the wrong type.

        Malformed entries of the slot use are left out.
        """
        match value:
            case [
                str(node),
                str(zone),
                str(service),
                str(address),
                int(incarnation),
                bool(ready),
                str(endpoint_id),
                [
                    int(running),
                    int(waiting),
                    int(limit),
                    float() | int() as expected_s,
                    float() | int() as failure_rate,
                ],
                int(version),
                dict(slot_use_by_service),
                *statement,
            ]:
                member = MeshMember.checked(node, zone, service, address, incarnation)
                endpoint_incarnation, leaving, rate_limit = _decode_statement(statement)
                figures_are_valid = (
                    all(is_in_range(item, 0, MAX_COUNT) for item in (running, waiting))
                    and limit <= MAX_COUNT
                    and is_in_range(expected_s, 0.0, MAX_SECONDS)
                    and is_in_range(failure_rate, 0.0, 1.0)
                    and UNKNOWN_INCARNATION <= endpoint_incarnation <= MAX_INTEGER
                    and version <= MAX_INTEGER
                )
                if member is None or not figures_are_valid:
                    return None
                pace = _decode_pace(statement)
                load = EndpointLoad(
                    running,
                    waiting,
                    max(1, limit),
                    float(expected_s),
                    float(failure_rate),
                    rate_limit,
                    pace,
                )
                use_by_service = {
                    name: SlotUse(tuple(use[:PRIORITY_COUNT]), tuple(use[PRIORITY_COUNT:]))
                    for name, use in slot_use_by_service.items()
                    if isinstance(name, str) and _is_slot_use(use)
                }
                endpoint = EndpointIdentity(endpoint_id, endpoint_incarnation)
                return cls(
                    member,
                    ready,
                    endpoint,
                    load,
                    version,
                    use_by_service,
                    leaving,
                    _decode_evacuations(statement),
                    _decode_source_age(statement),
                )
        return None


def _decode_statement(value: list[object]) -> tuple[int, bool, float | None]:
    """Return incarnation, leaving and rate limit of an endpoint; an older release sends none."""
    match value:
        case [[int(incarnation), bool(leaving), None], *_]:
            return incarnation, leaving, None
        case [[int(incarnation), bool(leaving), float() | int() as rate_limit], *_]:
            is_valid = is_in_range(rate_limit, 0.0, inf)
            return incarnation, leaving, float(rate_limit) if is_valid else 0.0
    return UNKNOWN_INCARNATION, False, None


def _decode_evacuations(elements: list[object]) -> tuple[ZoneRecord, ...]:
    for element in elements:
        if isinstance(element, dict) and EVACUATIONS_FIELD in element:
            return decode_records(element[EVACUATIONS_FIELD])
    return ()


def _decode_source_age(elements: list[object]) -> float:
    for element in elements:
        match element:
            case {"source-age": float() | int() as age_s} if is_in_range(age_s, 0.0, inf):
                return float(age_s)
    return inf


def _decode_pace(value: list[object]) -> float | None:
    """Return the pace of an endpoint that states one, from the map among the trailing values."""
    for item in value:
        match item:
            case {"pace": float() | int() as pace}:
                return checked_pace(pace)
    return None


def _slot_use_to_wire(use: SlotUse) -> list[float]:
    # An integer takes 1 byte in place of 9, and most of the figures of a node are 0.
    return [round(slots, 2) or 0 for slots in (*use.occupied, *use.offered)]


def _is_slot_use(value: object) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 2 * PRIORITY_COUNT
        and all(is_in_range(item, 0.0, MAX_COUNT) for item in value)
    )
