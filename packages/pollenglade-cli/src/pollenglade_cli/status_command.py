"""The command that shows what is published and how zones, nodes and targets are."""

from __future__ import annotations

from collections import Counter
from typing import Any

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_net.platform_api import Unavailable

from .nodes import NodeAnswer
from .nodes import announced_nodes
from .nodes import ask_all
from .report import Report
from .report import aligned
from .session import Session
from .session import run
from .session import unavailable
from .settings import OutputOption
from .settings import PlatformUrlOption
from .settings import TimeoutOption
from .settings import ZoneOption
from .settings import settings_flags


def status(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
) -> None:
    """Show the published version, and for each node its version, quota slots and targets."""
    run(settings_flags(locals()), _status)


async def _status(session: Session) -> Report:
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    known = await announced_nodes(session)
    if isinstance(known, Unavailable):
        return unavailable(known)
    answers = await ask_all(session, [node for node in known if not node.is_stale])
    data = {**_published(configuration), **_found(answers)}
    return Report(data, _text(data, answers))


def _published(configuration: Configuration) -> dict[str, Any]:
    return {
        "version": configuration.version,
        "digest": configuration.digest(),
        "profiles": len(configuration.profiles_by_name),
        "keys": len(configuration.keys_by_id),
    }


def _found(answers: list[NodeAnswer]) -> dict[str, Any]:
    zones = Counter(answer.node.zone for answer in answers)
    return {
        "nodes_by_zone": dict(sorted(zones.items())),
        "nodes": [
            {
                "node": answer.node.name,
                "zone": answer.node.zone,
                "problem": answer.problem,
                "status": answer.status.model_dump() if answer.status is not None else None,
            }
            for answer in answers
        ],
    }


def _text(data: dict[str, Any], answers: list[NodeAnswer]) -> str:
    head = f"version {data['version']}, {data['profiles']} profiles, {data['keys']} keys"
    zones = aligned(
        ("ZONE", "NODES", "SILENT", "QUOTA SLOTS"),
        [
            (zone, count, _silent(answers, zone), _slots_held(answers, zone))
            for zone, count in data["nodes_by_zone"].items()
        ],
    )
    nodes = aligned(
        ("NODE", "ZONE", "VERSION", "QUOTA SLOTS", "OPEN CALLS", "STATE"),
        [_node_row(answer) for answer in answers],
    )
    targets = aligned(
        ("TARGET", "SERVICE", "NODE", "STATE", "SLOTS", "RUNNING", "WAITING", "LEVEL"),
        [row for answer in answers for row in _target_rows(answer)],
    )
    return "\n\n".join([f"{head}\ndigest {data['digest']}", zones, nodes, targets])


def _silent(answers: list[NodeAnswer], zone: str) -> int:
    return sum(answer.status is None for answer in answers if answer.node.zone == zone)


def _slots_held(answers: list[NodeAnswer], zone: str) -> int:
    in_zone = [a.status for a in answers if a.node.zone == zone and a.status is not None]
    return len({slot for status in in_zone for slot in status.slots_held})


def _node_row(answer: NodeAnswer) -> tuple[object, ...]:
    name, zone, status = answer.node.name, answer.node.zone, answer.status
    if status is None:
        return name, zone, "", "", "", answer.problem
    state = "draining" if status.draining else "serving"
    held = len(status.slots_held)
    return name, zone, status.configuration_version, held, status.open_calls, state


def _target_rows(answer: NodeAnswer) -> list[tuple[object, ...]]:
    if answer.status is None:
        return []
    return [
        (
            target.address,
            target.service,
            answer.node.name,
            target.state,
            target.slots,
            target.in_flight,
            target.waiting,
            f"{target.level} {target.level_fraction:.2f}",
        )
        for target in answer.status.targets
    ]
