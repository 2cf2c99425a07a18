"""Which zones have an accepted change in force."""

from __future__ import annotations

from typing import Any

from pollenglade_net.platform_api import Unavailable

from .exit_codes import ExitCode
from .nodes import NodeAnswer
from .nodes import announced_nodes
from .nodes import ask_until
from .report import Report
from .session import Session


async def confirmed(session: Session, version: int, text: str, data: dict[str, Any]) -> Report:
    """Wait until nodes have a version in force and report which zones have confirmed it."""
    nodes = await announced_nodes(session)
    if isinstance(nodes, Unavailable):
        note = f"accepted, but the nodes are not known ({nodes.reason})"
        return Report({**data, "note": note}, f"{text}\n{note}", ExitCode.NOT_CONFIRMED)
    answers = await ask_until(session, nodes, lambda s: s.configuration_version >= version)
    missing = [answer for answer in answers if not _confirms(answer, version)]
    zones = sorted({node.zone for node in nodes})
    open_zones = sorted({answer.node.zone for answer in missing})
    closed_zones = [zone for zone in zones if zone not in open_zones]
    data = {
        **data,
        "confirmed_zones": closed_zones,
        "unconfirmed_zones": open_zones,
        "unconfirmed_nodes": [
            {"node": a.node.name, "zone": a.node.zone, "problem": _problem(a)} for a in missing
        ],
    }
    if not nodes:
        note = "accepted, but no node is announced that could confirm it"
        return Report({**data, "note": note}, f"{text}\n{note}", ExitCode.NOT_CONFIRMED)
    lines = [text, f"confirmed by zones: {', '.join(closed_zones) or 'none'}"]
    if missing:
        lines.append(f"not confirmed within {session.settings.wait:g} s by:")
        lines += [f"  {a.node.zone}/{a.node.name}: {_problem(a)}" for a in missing]
    code = ExitCode.NOT_CONFIRMED if missing else ExitCode.OK
    return Report(data, "\n".join(lines), code)


def _confirms(answer: NodeAnswer, version: int) -> bool:
    return answer.status is not None and answer.status.configuration_version >= version


def _problem(answer: NodeAnswer) -> str:
    if answer.status is None and answer.node.is_stale:
        return f"{answer.problem}, announced {answer.node.age_s:.0f} s ago"
    if answer.status is None:
        return answer.problem
    return f"has version {answer.status.configuration_version} in force"
