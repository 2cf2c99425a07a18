"""Waits until the zones have an accepted change in force."""

from __future__ import annotations

from typing import Any

from pollenglade_net.platform_api import Unavailable

from .exit_codes import ExitCode
from .nodes import NodeQueryResult
from .nodes import announced_nodes
from .nodes import query_nodes_until
from .report import Report
from .session import Session


async def wait_for_confirmation(
    session: Session, version: int, text: str, data: dict[str, Any]
) -> Report:
    """Wait until all nodes have a version in force and report which zones have confirmed it.

    A zone has confirmed the version once all its announced nodes report it or a newer one; the
    `wait` setting limits the time. `text` and `data` describe the change and begin the report.
    """
    nodes = await announced_nodes(session)
    if isinstance(nodes, Unavailable):
        note = f"accepted, but the nodes cannot be listed ({nodes.reason})"
        return Report({**data, "note": note}, f"{text}\n{note}", ExitCode.NOT_CONFIRMED)
    results = await query_nodes_until(
        session, nodes, lambda status: status.configuration_version >= version
    )
    unconfirmed = [result for result in results if not _is_confirmed(result, version)]
    zones = sorted({node.zone for node in nodes})
    unconfirmed_zones = sorted({result.node.zone for result in unconfirmed})
    confirmed_zones = [zone for zone in zones if zone not in unconfirmed_zones]
    data = {
        **data,
        "confirmed_zones": confirmed_zones,
        "unconfirmed_zones": unconfirmed_zones,
        "unconfirmed_nodes": [
            {"node": result.node.name, "zone": result.node.zone, "problem": _problem(result)}
            for result in unconfirmed
        ],
    }
    if not nodes:
        note = "accepted, but no announced node can confirm it"
        return Report({**data, "note": note}, f"{text}\n{note}", ExitCode.NOT_CONFIRMED)
    lines = [text, f"confirmed by zones: {', '.join(confirmed_zones) or 'none'}"]
    if unconfirmed:
        lines.append(f"not confirmed within {session.settings.wait:g} s by:")
        lines += [
            f"  {result.node.zone}/{result.node.name}: {_problem(result)}" for result in unconfirmed
        ]
    exit_code = ExitCode.NOT_CONFIRMED if unconfirmed else ExitCode.OK
    return Report(data, "\n".join(lines), exit_code)


def _is_confirmed(result: NodeQueryResult, version: int) -> bool:
    return result.status is not None and result.status.configuration_version >= version


def _problem(result: NodeQueryResult) -> str:
    if result.status is None and result.node.is_stale:
        return f"{result.problem}, announced {result.node.age_s:.0f} s ago"
    if result.status is None:
        return result.problem
    return f"has version {result.status.configuration_version} in force"
