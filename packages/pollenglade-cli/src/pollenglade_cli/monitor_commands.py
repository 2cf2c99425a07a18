"""The `monitor` commands, for use by an external monitoring system."""

from __future__ import annotations

import typer

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_net.platform_api import Unavailable

from .exit_codes import ExitCode
from .nodes import AnnouncedNode
from .nodes import NodeQueryResult
from .nodes import announced_nodes
from .nodes import query_nodes_until
from .report import Report
from .report import format_table
from .session import Session
from .session import run
from .session import unavailable_report
from .settings import OutputOption
from .settings import PlatformUrlOption
from .settings import TimeoutOption
from .settings import WaitOption
from .settings import ZoneOption
from .settings import settings_flags

app = typer.Typer(no_args_is_help=True, help="Check that the published configuration is in force.")


@app.callback()
def monitor() -> None:
    """Check that the published configuration is in force."""


@app.command()
def verify(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    wait: WaitOption = None,
) -> None:
    """List nodes that differ from the published configuration or do not respond.

    Nodes have up to --wait seconds to apply a change that has just been accepted. Nodes that have
    not renewed their announcement for 60 s count as ended: they are listed, but not queried. A zone
    that a profile names and that has no announced node is a finding.
    """
    flags = settings_flags(locals())
    run(flags, _verify)


async def _verify(session: Session) -> Report:
    published = await session.load_configuration()
    if isinstance(published, Report):
        return published
    announced = await announced_nodes(session)
    if isinstance(announced, Unavailable):
        return unavailable_report(announced)
    nodes = [node for node in announced if not node.is_stale]
    version, digest = published.version, published.digest()
    results = await query_nodes_until(
        session,
        nodes,
        lambda status: status.configuration_version > version
        or status.configuration_digest == digest,
    )
    if any(
        result.status is not None and result.status.configuration_version > version
        for result in results
    ):
        # Another change was accepted in the meantime, so nodes are compared with the newer version.
        newer = await session.load_configuration()
        if isinstance(newer, Report):
            return newer
        published = newer
        results = await query_nodes_until(
            session, nodes, lambda status: status.configuration_digest == newer.digest()
        )
    return _verification_report(published, announced, results)


def _verification_report(
    published: Configuration, announced: list[AnnouncedNode], results: list[NodeQueryResult]
) -> Report:
    nodes = [node for node in announced if not node.is_stale]
    ended = sorted(f"{node.zone}/{node.name}" for node in announced if node.is_stale)
    findings = [
        {"node": result.node.name, "zone": result.node.zone, "state": state, "problem": problem}
        for result in results
        for state, problem in [_state_and_problem(published, result)]
        if problem
    ]
    findings += _absent_zone_findings(published, nodes)
    data = {
        "version": published.version,
        "digest": published.digest(),
        "nodes": len(nodes),
        "ended": ended,
        "findings": findings,
    }
    if not nodes:
        # A wrong platform address can yield an empty list, so it must not count as success.
        text = f"version {published.version} is published, but no node is announced"
        return Report({**data, "note": text}, text, ExitCode.NODES_DIFFER)
    head = f"version {published.version} is published; {len(nodes)} nodes are announced"
    if ended:
        head += f" (without renewal for 60 s: {', '.join(ended)})"
    if not findings:
        return Report(data, f"{head}; it is in force on all of them")
    rows = [list(finding.values()) for finding in findings]
    text = (
        f"{head}; {len(rows)} findings:\n{format_table(('NODE', 'ZONE', 'STATE', 'PROBLEM'), rows)}"
    )
    return Report(data, text, ExitCode.NODES_DIFFER)


def _absent_zone_findings(
    published: Configuration, nodes: list[AnnouncedNode]
) -> list[dict[str, str]]:
    """Return a finding for each zone that a profile names and that has no announced node.

    Without it, a zone that is cut off from the platform would pass once its announcements are
    stale.
    """
    expected = {zone for p in published.profiles_by_name.values() for zone in p.zones}
    problem = "a profile names this zone, but it has no announced node"
    return [
        {"node": "", "zone": zone, "state": "absent", "problem": problem}
        for zone in sorted(expected - {node.zone for node in nodes})
    ]


def _state_and_problem(published: Configuration, result: NodeQueryResult) -> tuple[str, str]:
    """Return the state of a node and its problem, empty if it has the published configuration."""
    if result.status is None:
        return "silent", result.problem
    if result.status.configuration_digest == published.digest():
        return "same", ""
    if result.status.configuration_version == published.version:
        return "differs", f"version {published.version} with different content"
    return "differs", f"version {result.status.configuration_version}"
