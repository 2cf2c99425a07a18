"""One run of a command: settings, connections and the configuration on the platform."""

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
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration import Stamp
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
from .report import failure
from .report import findings_report
from .report import utc
from .settings import Settings
from .settings import read_settings


class Session:
    """Connections and helpers for one command."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.http = HttpClient()
        limits = PlatformLimits(timeout_s=settings.timeout)
        source = random.SystemRandom()
        address = settings.platform_address
        self.platform = PlatformClient(address, settings.zone, source, limits, self.http)
        self.store = ConfigurationStore(self.platform, self.platform, source)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.close()

    async def load(self) -> Configuration | Report:
        """Return the configuration on the platform, or a report of why it cannot be read."""
        result = await self.store.refresh(ConfigurationHistory())
        if isinstance(result, Configuration):
            return result
        if isinstance(result, Unavailable):
            return unavailable(result)
        return failure(ExitCode.UNREADABLE, f"the configuration is not readable: {result.reason}")

    def stamp(self) -> Stamp:
        """Return a stamp with a new operation id."""
        return Stamp(self.settings.who, time.time(), uuid.uuid4().hex)

    async def commit(self, change: Change) -> Committed | Report:
        """Commit a change, or return a report of why it is not accepted."""
        result = await self.store.commit(change)
        return result if isinstance(result, Committed) else not_accepted(result)


def unavailable(result: Unavailable) -> Report:
    """Return a report of a platform that cannot be reached."""
    text = f"the platform is not available ({result.reason}); nothing changed, try again"
    return failure(ExitCode.PLATFORM_UNAVAILABLE, text)


def not_accepted(result: CommitResult) -> Report:
    """Return a report of a change that is not known to be accepted."""
    match result:
        case Conflict():
            return _conflict(result)
        case Findings():
            return findings_report(result)
        case Unavailable():
            return unavailable(result)
        case AnswerLost(operation_id, reason):
            text = (
                f"it is not known whether operation {operation_id} took effect ({reason}); "
                "look at the list before you repeat it"
            )
            return failure(ExitCode.UNKNOWN, text, operation_id=operation_id)
    return failure(ExitCode.UNREADABLE, f"the configuration is not readable: {result}")


def _conflict(conflict: Conflict) -> Report:
    label = f"{conflict.kind} '{conflict.name}'"
    data = {
        "expected_revision": conflict.expected_revision,
        "current_revision": conflict.current_revision,
    }
    other = conflict.other
    if other is None:
        text = f"{label} is not published; publish it first"
        return failure(ExitCode.CONFLICT, text, **data, other=None)
    stamp = other.stamp
    text = (
        f"{label}: another change came first ({other.action} by {stamp.who} at "
        f"{utc(stamp.when)}, operation {stamp.operation_id}, revision {other.revision}; "
        f"expected revision {conflict.expected_revision}); look at it and repeat"
    )
    about = {
        "action": str(other.action),
        "who": stamp.who,
        "when": utc(stamp.when),
        "operation_id": stamp.operation_id,
        "revision": other.revision,
    }
    return failure(ExitCode.CONFLICT, text, **data, other=about)


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
