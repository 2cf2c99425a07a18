"""Settings, connections and access to the published configuration for one command."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

import typer

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.finding import Findings
from pollenglade_net.configuration_store import CommitResult
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.http_client import HttpClient
from pollenglade_net.platform_api import AnswerLost
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_client import PlatformClient
from pollenglade_net.platform_client import PlatformLimits

from .exit_codes import ExitCode
from .report import Report
from .report import failure_report
from .report import findings_report
from .report import format_utc
from .settings import Settings
from .settings import read_settings


class Session:
    """Connections to the platform and to nodes for one run of a command."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.http = HttpClient()
        limits = PlatformLimits(timeout_s=settings.timeout)
        random_source = random.SystemRandom()
        address = settings.platform_address
        self.platform = PlatformClient(address, settings.zone, random_source, limits, self.http)
        self.store = ConfigurationStore(self.platform, self.platform, random_source)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

    async def load_configuration(self) -> Configuration | Report:
        """Return the published configuration, or a failure report if it cannot be read."""
        result = await self.store.refresh(ConfigurationHistory())
        if isinstance(result, Configuration):
            return result
        if isinstance(result, Unavailable):
            return unavailable_report(result)
        return failure_report(
            ExitCode.UNREADABLE, f"the configuration cannot be read: {result.reason}"
        )

    def new_stamp(self) -> ChangeOrigin:
        """Return a stamp with the user, the current time and a new operation ID."""
        return ChangeOrigin(self.settings.who, time.time(), uuid.uuid4().hex)

    async def commit(self, change: Change) -> Committed | Report:
        """Commit a change; return a failure report if it is not known to be accepted."""
        result = await self.store.commit(change)
        return result if isinstance(result, Committed) else commit_failure_report(result)


def unavailable_report(result: Unavailable) -> Report:
    """Return the failure report for an unreachable platform."""
    text = f"the platform is unavailable ({result.reason}); nothing changed, try again"
    return failure_report(ExitCode.PLATFORM_UNAVAILABLE, text)


def commit_failure_report(result: CommitResult) -> Report:
    """Return the failure report for a change that is not known to be accepted."""
    match result:
        case Conflict():
            return _conflict_report(result)
        case Findings():
            return findings_report(result)
        case Unavailable():
            return unavailable_report(result)
        case AnswerLost(operation_id, reason):
            text = (
                f"it is unknown whether operation {operation_id} took effect ({reason}); "
                "check the published list before you repeat the command"
            )
            return failure_report(ExitCode.UNKNOWN, text, operation_id=operation_id)
    return failure_report(ExitCode.UNREADABLE, f"the configuration cannot be read: {result}")


def _conflict_report(conflict: Conflict) -> Report:
    label = f"{conflict.kind} '{conflict.name}'"
    data = {
        "expected_revision": conflict.expected_revision,
        "current_revision": conflict.current_revision,
    }
    other = conflict.other
    if other is None:
        text = f"{label} is not published; publish it first"
        return failure_report(ExitCode.CONFLICT, text, **data, other=None)
    stamp = other.stamp
    text = (
        f"{label}: another change was accepted first ({other.action} by {stamp.who} at "
        f"{format_utc(stamp.when)}, operation {stamp.operation_id}, revision {other.revision}; "
        f"expected revision {conflict.expected_revision}); review it and repeat the command"
    )
    other_change = {
        "action": str(other.action),
        "who": stamp.who,
        "when": format_utc(stamp.when),
        "operation_id": stamp.operation_id,
        "revision": other.revision,
    }
    return failure_report(ExitCode.CONFLICT, text, **data, other=other_change)


def run(flags: Mapping[str, str | None], command: Callable[[Session], Awaitable[Report]]) -> None:
    """Run a command with settings from flags and variables, print its report and exit."""
    settings = read_settings(flags)
    if isinstance(settings, Findings):
        report, output = findings_report(settings), flags.get("output") or "table"
    else:
        report, output = asyncio.run(_run(settings, command)), settings.output
    report.print(output)
    raise typer.Exit(report.exit_code)


async def _run(settings: Settings, command: Callable[[Session], Awaitable[Report]]) -> Report:
    session = Session(settings)
    try:
        return await command(session)
    finally:
        await session.close()
