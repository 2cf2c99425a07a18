"""The value of the platform row `configuration/head`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from pydantic import BaseModel
from pydantic import Field
from pydantic import ValidationError

from ..finding import Finding
from ..finding import Findings
from .configuration import Change
from .configuration import Configuration
from .configuration_history import SNAPSHOT_INTERVAL_CHANGES
from .configuration_wire import change_from_wire
from .configuration_wire import change_to_wire

HEAD_ROW = "configuration/head"

SNAPSHOT_DUE_BYTES = 2_048
"""Size of the serialised changes at which a snapshot is due.

The nodes that poll the platform for their zone read the whole head every second, and the control
plane of a node may use 7 KB/s. 64 changes of profiles with 8 organisations have 119 KB.
"""


@dataclass(frozen=True, slots=True)
class Head:
    """Reference to the snapshot, and the changes after it.

    `earlier_operations` has the versions of the 64 changes before the snapshot, by operation id. If
    the operator's command commits a change and loses the response, it finds the change there after
    a new snapshot.
    """

    snapshot_version: int = 0
    snapshot_name: str = ""
    changes: tuple[Change, ...] = ()
    earlier_operations: Mapping[str, int] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Configuration version after all changes of the head."""
        return self.snapshot_version + len(self.changes)

    @property
    def needs_snapshot(self) -> bool:
        """Whether the next change should follow a new snapshot."""
        if len(self.changes) >= SNAPSHOT_INTERVAL_CHANGES:
            return True
        sizes = (len(json.dumps(change_to_wire(change))) for change in self.changes)
        return sum(sizes) >= SNAPSHOT_DUE_BYTES

    def operations(self) -> dict[str, int]:
        """Return the versions of all changes in the head, by operation id."""
        versions = dict(self.earlier_operations)
        for version, change in enumerate(self.changes, self.snapshot_version + 1):
            versions[change.stamp.operation_id] = version
        return versions

    def extended(self, change: Change) -> Head:
        """Return the head with another change appended."""
        return replace(self, changes=(*self.changes, change))

    def with_snapshot(self, configuration: Configuration) -> Head:
        """Return the head with a snapshot of `configuration`, which must have its version."""
        last_omitted_version = self.version - SNAPSHOT_INTERVAL_CHANGES
        recent = {
            operation_id: version
            for operation_id, version in self.operations().items()
            if version > last_omitted_version
        }
        return Head(self.version, snapshot_name(configuration), (), recent)


def snapshot_name(configuration: Configuration) -> str:
    """Return the object name of a snapshot; it identifies the content."""
    return f"configuration/snapshot-{configuration.version}-{configuration.digest()}"


class _Wire(BaseModel):
    snapshot_version: int = Field(ge=0)
    snapshot_name: str
    changes: list[Any]
    earlier_operations: dict[str, int]


def head_to_wire(head: Head) -> dict[str, Any]:
    """Return the head as a JSON-compatible mapping."""
    return {
        "snapshot_version": head.snapshot_version,
        "snapshot_name": head.snapshot_name,
        "changes": [change_to_wire(change) for change in head.changes],
        "earlier_operations": dict(head.earlier_operations),
    }


def head_from_wire(wire: object) -> Head | Findings:
    """Return the head from decoded JSON, or all findings."""
    try:
        model = _Wire.model_validate(wire)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        return Findings(
            tuple(Finding(".".join(map(str, detail["loc"])), detail["msg"]) for detail in details)
        )
    changes: list[Change] = []
    findings: list[Finding] = []
    for index, item in enumerate(model.changes):
        change = change_from_wire(item)
        if isinstance(change, Findings):
            findings += [Finding(f"changes[{index}].{f.place}", f.text) for f in change.items]
        else:
            changes.append(change)
    if findings:
        return Findings(tuple(findings))
    return Head(
        model.snapshot_version, model.snapshot_name, tuple(changes), model.earlier_operations
    )
