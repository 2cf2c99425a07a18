"""Which availability zones are evacuated, according to the store and to other nodes.

An operator evacuates a zone by a row in the store and withdraws this by deleting the row. Nodes
exchange one record for each zone. Merging keeps the later record, so that nodes agree whatever the
order of messages. Records of a later era of the store are later: the store gives out versions anew
after it has returned from an older copy.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import replace

from ..finding import Finding

MAX_ZONE_CHARS = 128
"""Longest name of a zone; state messages carry the names of all zones with a record."""


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """The latest known state of a zone, with the era and version of the store that it is from."""

    zone: str
    era: int
    version: int
    active: bool

    def is_later_than(self, other: ZoneRecord) -> bool:
        """Whether this record replaces another one; if in doubt, the zone remains evacuated."""
        own_order = (self.era, self.version, self.active)
        return own_order > (other.era, other.version, other.active)

    def to_wire(self) -> list[object]:
        """Return the record as a list of plain values for the link."""
        return [self.zone, self.era, self.version, self.active]

    @classmethod
    def from_wire(cls, value: object) -> ZoneRecord | None:
        """Decode a record; None if it is malformed."""
        match value:
            case [str(zone), int(era), int(version), bool(active)]:
                if isinstance(era, bool) or isinstance(version, bool) or zone_finding(zone):
                    return None
                return cls(zone, era, version, active)
        return None


def decode_records(value: object) -> tuple[ZoneRecord, ...]:
    """Return the well-formed records of a list; others are left out."""
    if not isinstance(value, list):
        return ()
    records = (ZoneRecord.from_wire(item) for item in value)
    return tuple(record for record in records if record is not None)


def zone_finding(zone: str) -> Finding | None:
    """Return why a name cannot be that of a zone, or None."""
    if 0 < len(zone) <= MAX_ZONE_CHARS:
        return None
    return Finding(
        zone[:MAX_ZONE_CHARS], f"not the name of a zone; use 1 to {MAX_ZONE_CHARS} characters"
    )


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """What a row, a read or a message changed.

    `has_new_records` says whether other nodes should be told, which is also the case if a record
    has a later version and the zone is evacuated as before.
    """

    applied: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    has_new_records: bool = False
    findings: tuple[Finding, ...] = ()


class EvacuationRecords:
    """The record of each zone that an operator has evacuated, also after the evacuation ended.

    Records of ended evacuations remain, because a message with the previous record may still
    arrive. A record of an unknown zone is kept too: this node may not know the zone yet.
    """

    def __init__(self) -> None:
        self.record_by_zone: dict[str, ZoneRecord] = {}
        self.active_zones: frozenset[str] = frozenset()

    def merge(self, records: Iterable[ZoneRecord]) -> EvacuationChange:
        """Apply records of another node; later records replace earlier ones."""
        has_new_records = False
        for record in records:
            known_record = self.record_by_zone.get(record.zone)
            if known_record is None or record.is_later_than(known_record):
                self.record_by_zone[record.zone] = record
                has_new_records = True
        if not has_new_records:
            return EvacuationChange()
        before = self.active_zones
        records_now = self.record_by_zone.values()
        self.active_zones = frozenset(record.zone for record in records_now if record.active)
        return EvacuationChange(
            tuple(sorted(self.active_zones - before)),
            tuple(sorted(before - self.active_zones)),
            has_new_records=True,
        )

    def apply_row(self, zone: str, era: int, version: int) -> EvacuationChange:
        """Apply a row of the store that evacuates a zone."""
        finding = zone_finding(zone)
        if finding is not None:
            return EvacuationChange(findings=(finding,))
        known_record = self.record_by_zone.get(zone)
        change = self.merge([ZoneRecord(zone, era, version, True)])
        if (
            change.has_new_records
            and known_record is not None
            and known_record.active
            and known_record.era == era
        ):
            finding = Finding(zone, "already evacuated; the repeated row changes nothing")
            return replace(change, findings=(finding,))
        return change

    def apply_deletion(self, zone: str, era: int, version: int) -> EvacuationChange:
        """Apply the deletion of a row, which ends the evacuation of a zone."""
        finding = zone_finding(zone)
        if finding is not None:
            return EvacuationChange(findings=(finding,))
        change = self.merge([ZoneRecord(zone, era, version, False)])
        if change.has_new_records and not change.ended:
            finding = Finding(zone, "not evacuated; the deletion of its row changes nothing")
            return replace(change, findings=(finding,))
        return change

    def apply_read(
        self, era: int, version: int, version_by_zone: Mapping[str, int]
    ) -> EvacuationChange:
        """Apply all rows of the store as of one version.

        A row that is missing ends the evacuation only if the record is from the same era and an
        earlier version. After a change of era it may be missing from the copy alone.
        """
        findings = [finding for zone in version_by_zone if (finding := zone_finding(zone))]
        rows = [
            ZoneRecord(zone, era, row_version, True)
            for zone, row_version in version_by_zone.items()
            if zone_finding(zone) is None
        ]
        deletions = [
            ZoneRecord(record.zone, era, version, False)
            for record in self.record_by_zone.values()
            if record.active
            and record.zone not in version_by_zone
            and record.era == era
            and record.version < version
        ]
        return replace(self.merge([*rows, *deletions]), findings=tuple(findings))

    def findings(self, known_zones: Set[str]) -> tuple[Finding, ...]:
        """Return a finding for each evacuated zone that is not among the known ones."""
        return tuple(
            Finding(
                zone, "no host is in this zone; check its name and delete the row if it is wrong"
            )
            for zone in sorted(self.active_zones - known_zones)
        )

    def are_all_evacuated(self, known_zones: Set[str]) -> bool:
        """Whether none of the known zones is left for requests."""
        return bool(known_zones) and known_zones <= self.active_zones
