"""The command that shows what is published and which nodes are announced."""

from __future__ import annotations

from collections import Counter

from pollenglade_net.platform_api import Unavailable

from .nodes import announced_nodes
from .report import Report
from .report import aligned
from .session import Session
from .session import run
from .session import unavailable
from .settings import OutputOption
from .settings import PlatformUrlOption
from .settings import TimeoutOption
from .settings import ZoneOption


def status(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
) -> None:
    """Show the published version and the announced nodes of each zone."""
    run({"platform_url": platform_url, "zone": zone, "output": output, "timeout": timeout}, _status)


async def _status(session: Session) -> Report:
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    nodes = await announced_nodes(session)
    if isinstance(nodes, Unavailable):
        return unavailable(nodes)
    nodes_by_zone = dict(sorted(Counter(node.zone for node in nodes).items()))
    data = {
        "version": configuration.version,
        "digest": configuration.digest(),
        "profiles": len(configuration.profiles_by_name),
        "keys": len(configuration.keys_by_id),
        "nodes_by_zone": nodes_by_zone,
    }
    head = (
        f"version {configuration.version}, {data['profiles']} profiles, {data['keys']} keys\n"
        f"digest {data['digest']}\n"
    )
    return Report(data, head + aligned(("ZONE", "NODES"), list(nodes_by_zone.items())))
