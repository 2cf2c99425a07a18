"""Commands for an external monitor."""

from __future__ import annotations

import typer

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_net.platform_api import Unavailable

from .exit_codes import ExitCode
from .nodes import AnnouncedNode
from .nodes import NodeAnswer
from .nodes import announced_nodes
from .nodes import ask_until
from .report import Report
from .report import aligned
from .session import Session
from .session import run
from .session import unavailable
from .settings import OutputOption
from .settings import PlatformUrlOption
from .settings import TimeoutOption
from .settings import WaitOption
from .settings import ZoneOption
from .settings import settings_flags

app = typer.Typer(no_args_is_help=True, help="Check that what is published is in force.")


@app.callback()
def monitor() -> None:
    """Check that what is published is in force."""


@app.command()
def verify(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    wait: WaitOption = None,
) -> None:
    """List nodes that differ from the published configuration or do not answer.

    Nodes may take up to --wait seconds to follow a change that has just been accepted. Nodes that
    have not renewed their announcement for 60 s count as ended: they are not asked, but named. A
    zone of a profile without any announced node is a finding.
    """
    flags = settings_flags(locals())
    run(flags, _verify)


async def _verify(session: Session) -> Report:
    published = await session.load()
    if isinstance(published, Report):
        return published
    known = await announced_nodes(session)
    if isinstance(known, Unavailable):
        return unavailable(known)
    nodes = [node for node in known if not node.is_stale]
    version, digest = published.version, published.digest()
    answers = await ask_until(
        session,
        nodes,
        lambda s: s.configuration_version > version or s.configuration_digest == digest,
    )
    if any(a.status is not None and a.status.configuration_version > version for a in answers):
        # A change was accepted meanwhile; the nodes that follow it are compared with it.
        newer = await session.load()
        if isinstance(newer, Report):
            return newer
        published = newer
        answers = await ask_until(
            session, nodes, lambda s: s.configuration_digest == newer.digest()
        )
    return _report(published, known, answers)


def _report(
    published: Configuration, known: list[AnnouncedNode], answers: list[NodeAnswer]
) -> Report:
    nodes = [node for node in known if not node.is_stale]
    ended = sorted(f"{node.zone}/{node.name}" for node in known if node.is_stale)
    findings = [
        {"node": a.node.name, "zone": a.node.zone, "state": state, "problem": problem}
        for a in answers
        for state, problem in [_judge(published, a)]
        if problem
    ]
    findings += _absent_zones(published, nodes)
    data = {
        "version": published.version,
        "digest": published.digest(),
        "nodes": len(nodes),
        "ended": ended,
        "findings": findings,
    }
    if not nodes:
        # An empty list can come from a wrong platform address, so it must not pass the monitor.
        text = f"version {published.version} is published, but no node is announced"
        return Report({**data, "note": text}, text, ExitCode.NODES_DIFFER)
    head = f"version {published.version} is published; {len(nodes)} nodes are announced"
    if ended:
        head += f" (without renewal for 60 s: {', '.join(ended)})"
    if not findings:
        return Report(data, f"{head}; all have it in force")
    rows = [list(finding.values()) for finding in findings]
    text = f"{head}; {len(rows)} findings:\n{aligned(('NODE', 'ZONE', 'STATE', 'PROBLEM'), rows)}"
    return Report(data, text, ExitCode.NODES_DIFFER)


def _absent_zones(published: Configuration, nodes: list[AnnouncedNode]) -> list[dict[str, str]]:
    """Return a finding for each zone of a profile without a node.

    A zone that is cut off from the platform would otherwise pass once its announcements are old.
    """
    expected = {zone for p in published.profiles_by_name.values() for zone in p.zones}
    problem = "a profile names this zone, but no node of it is announced"
    return [
        {"node": "", "zone": zone, "state": "absent", "problem": problem}
        for zone in sorted(expected - {node.zone for node in nodes})
    ]


def _judge(published: Configuration, answer: NodeAnswer) -> tuple[str, str]:
    """Return the state and the problem of a node; no problem where it agrees."""
    if answer.status is None:
        return "silent", answer.problem
    if answer.status.configuration_digest == published.digest():
        return "same", ""
    if answer.status.configuration_version == published.version:
        return "differs", f"version {published.version} with another content"
    return "differs", f"version {answer.status.configuration_version}"
