"""Commands for an external monitor."""

from __future__ import annotations

import typer

from pollenglade_core.configuration import Configuration
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

    Nodes may take up to --wait seconds to follow a change that has just been accepted.
    """
    flags = {
        "platform_url": platform_url,
        "zone": zone,
        "output": output,
        "timeout": timeout,
        "wait": wait,
    }
    run(flags, _verify)


async def _verify(session: Session) -> Report:
    published = await session.load()
    if isinstance(published, Report):
        return published
    nodes = await announced_nodes(session)
    if isinstance(nodes, Unavailable):
        return unavailable(nodes)
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
    return _report(published, nodes, answers)


def _report(
    published: Configuration, nodes: list[AnnouncedNode], answers: list[NodeAnswer]
) -> Report:
    findings = [
        {"node": a.node.name, "zone": a.node.zone, "state": state, "problem": problem}
        for a in answers
        for state, problem in [_judge(published, a)]
        if problem
    ]
    data = {
        "version": published.version,
        "digest": published.digest(),
        "nodes": len(nodes),
        "findings": findings,
    }
    if not nodes:
        # An empty list can come from a wrong platform address, so it must not pass the monitor.
        text = f"version {published.version} is published, but no node is announced"
        return Report({**data, "note": text}, text, ExitCode.NODES_DIFFER)
    head = f"version {published.version} is published; {len(nodes)} nodes are announced"
    if not findings:
        return Report(data, f"{head}; all have it in force")
    rows = [list(finding.values()) for finding in findings]
    text = f"{head}; {len(rows)} findings:\n{aligned(('NODE', 'ZONE', 'STATE', 'PROBLEM'), rows)}"
    return Report(data, text, ExitCode.NODES_DIFFER)


def _judge(published: Configuration, answer: NodeAnswer) -> tuple[str, str]:
    """Return the state and the problem of a node; no problem where it agrees."""
    if answer.status is None:
        return "silent", answer.problem
    if answer.status.configuration_digest == published.digest():
        return "same", ""
    if answer.status.configuration_version == published.version:
        return "differs", f"version {published.version} with another content"
    return "differs", f"version {answer.status.configuration_version}"
