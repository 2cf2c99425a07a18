"""The `status` command: the published version and the state of zones, nodes and targets."""

from __future__ import annotations

from collections import Counter
from typing import Any

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_net.platform_api import Unavailable

from .nodes import NodeQueryResult
from .nodes import announced_nodes
from .nodes import query_nodes
from .report import Report
from .report import format_table
from .session import Session
from .session import run
from .session import unavailable_report
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
    """Show the published version and the nodes that renewed their announcement in the last 60 s.

    For each of these nodes, show its version, quota slots and targets.
    """
    run(settings_flags(locals()), _status)


async def _status(session: Session) -> Report:
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    announced = await announced_nodes(session)
    if isinstance(announced, Unavailable):
        return unavailable_report(announced)
    results = await query_nodes(session, [node for node in announced if not node.is_stale])
    data = {**_configuration_data(configuration), **_nodes_data(results)}
    return Report(data, _status_text(data, results))


def _configuration_data(configuration: Configuration) -> dict[str, Any]:
    return {
        "version": configuration.version,
        "digest": configuration.digest(),
        "profiles": len(configuration.profiles_by_name),
        "keys": len(configuration.keys_by_id),
    }


def _nodes_data(results: list[NodeQueryResult]) -> dict[str, Any]:
    zones = Counter(result.node.zone for result in results)
    return {
        "nodes_by_zone": dict(sorted(zones.items())),
        "nodes": [
            {
                "node": result.node.name,
                "zone": result.node.zone,
                "problem": result.problem,
                "status": result.status.model_dump() if result.status is not None else None,
            }
            for result in results
        ],
    }


def _status_text(data: dict[str, Any], results: list[NodeQueryResult]) -> str:
    summary = f"version {data['version']}, {data['profiles']} profiles, {data['keys']} keys"
    zones = format_table(
        ("ZONE", "NODES", "SILENT", "QUOTA SLOTS"),
        [
            (zone, count, _unreachable_count(results, zone), _slots_held_count(results, zone))
            for zone, count in data["nodes_by_zone"].items()
        ],
    )
    nodes = format_table(
        ("NODE", "ZONE", "VERSION", "QUOTA SLOTS", "OPEN CALLS", "STATE"),
        [_node_row(result) for result in results],
    )
    targets = format_table(
        ("TARGET", "SERVICE", "NODE", "STATE", "SLOTS", "RUNNING", "WAITING", "LEVEL"),
        [row for result in results for row in _target_rows(result)],
    )
    return "\n\n".join([f"{summary}\ndigest {data['digest']}", zones, nodes, targets])


def _unreachable_count(results: list[NodeQueryResult], zone: str) -> int:
    return sum(result.status is None for result in results if result.node.zone == zone)


def _slots_held_count(results: list[NodeQueryResult], zone: str) -> int:
    in_zone = [a.status for a in results if a.node.zone == zone and a.status is not None]
    return len({slot for status in in_zone for slot in status.slots_held})


def _node_row(result: NodeQueryResult) -> tuple[object, ...]:
    name, zone, status = result.node.name, result.node.zone, result.status
    if status is None:
        return name, zone, "", "", "", result.problem
    state = "draining" if status.draining else "serving"
    slot_count = len(status.slots_held)
    return name, zone, status.configuration_version, slot_count, status.open_calls, state


def _target_rows(result: NodeQueryResult) -> list[tuple[object, ...]]:
    if result.status is None:
        return []
    return [
        (
            target.address,
            target.service,
            result.node.name,
            target.state,
            target.slots,
            target.in_flight,
            target.waiting,
            f"{target.level} {target.level_fraction:.2f}",
        )
        for target in result.status.targets
    ]
