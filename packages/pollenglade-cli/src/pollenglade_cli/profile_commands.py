"""Commands for profiles."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration import ProfileChange
from pollenglade_core.configuration.configuration import apply
from pollenglade_core.configuration.profile import Profile
from pollenglade_core.configuration.profile_file import MAX_FILE_BYTES
from pollenglade_core.configuration.profile_file import read_profile
from pollenglade_core.finding import Finding
from pollenglade_core.finding import Findings

from .confirmation import confirmed
from .difference import difference
from .difference import profile_values
from .exit_codes import ExitCode
from .report import Report
from .report import aligned
from .report import failure
from .report import findings_report
from .report import utc
from .session import Session
from .session import not_accepted
from .session import run
from .settings import DryRunOption
from .settings import OutputOption
from .settings import PlatformUrlOption
from .settings import TimeoutOption
from .settings import WaitOption
from .settings import WhoOption
from .settings import ZoneOption
from .settings import settings_flags

app = typer.Typer(no_args_is_help=True, help="Publish, change, withdraw and show profiles.")

FileArgument = Annotated[Path, typer.Argument(help="Profile file in TOML.")]
NameArgument = Annotated[str, typer.Argument(help="Name of the profile.")]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--expected-revision",
        min=1,
        help="Revision on which the change is based (default: the current one).",
    ),
]


@app.command()
def publish(
    file: FileArgument,
    dry_run: DryRunOption = False,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    who: WhoOption = None,
) -> None:
    """Publish a new profile."""
    flags = settings_flags(locals())

    async def command(session: Session) -> Report:
        profile = _read(file)
        if isinstance(profile, Findings):
            return findings_report(profile)
        change = ProfileChange(profile.name, 0, profile, session.stamp())
        return await _carry_out(session, change, dry_run, waits=False)

    run(flags, command)


@app.command()
def change(
    file: FileArgument,
    expected_revision: RevisionOption = None,
    dry_run: DryRunOption = False,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    wait: WaitOption = None,
    who: WhoOption = None,
) -> None:
    """Change a published profile and wait until the zones confirm."""
    flags = settings_flags(locals())

    async def command(session: Session) -> Report:
        profile = _read(file)
        if isinstance(profile, Findings):
            return findings_report(profile)
        return await _replace(session, profile.name, profile, expected_revision, dry_run)

    run(flags, command)


@app.command()
def withdraw(
    name: NameArgument,
    expected_revision: RevisionOption = None,
    dry_run: DryRunOption = False,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    wait: WaitOption = None,
    who: WhoOption = None,
) -> None:
    """Withdraw a profile and wait until the zones confirm."""
    flags = settings_flags(locals())
    run(flags, lambda session: _replace(session, name, None, expected_revision, dry_run))


@app.command("list")
def list_profiles(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
) -> None:
    """List the published profiles."""
    run(settings_flags(locals()), _list)


@app.command()
def show(
    name: NameArgument,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
) -> None:
    """Show a published profile."""
    flags = {"platform_url": platform_url, "zone": zone, "output": output, "timeout": timeout}
    run(flags, lambda session: _show(session, name))


def _read(file: Path) -> Profile | Findings:
    try:
        with file.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"cannot be read ({error.strerror}); give the path of a profile file"
        return Findings((Finding(str(file), text),))
    return read_profile(data)


async def _replace(
    session: Session, name: str, profile: Profile | None, revision: int | None, dry_run: bool
) -> Report:
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    current = configuration.revision(Kind.PROFILE, name)
    if current == 0:
        text = f"profile '{name}' is not published; see 'pollenglade profile list'"
        return failure(ExitCode.NOT_PUBLISHED, text)
    change = ProfileChange(name, revision or current, profile, session.stamp())
    return await _carry_out(session, change, dry_run, waits=True)


async def _carry_out(session: Session, change: ProfileChange, dry_run: bool, waits: bool) -> Report:
    before = await session.load()
    if isinstance(before, Report):
        return before
    lines = difference(before.profiles_by_name.get(change.name), change.profile)
    data: dict[str, Any] = {"profile": change.name, "difference": lines}
    if dry_run:
        result = apply(before, change)
        if not isinstance(result, Configuration):
            return not_accepted(result)
        text = "\n".join([f"would make version {result.version}:", *(lines or ["no difference"])])
        return Report({**data, "dry_run": True, "version": result.version}, text)
    committed = await session.commit(change)
    if isinstance(committed, Report):
        return committed
    data |= {"version": committed.version, "operation_id": change.stamp.operation_id}
    text = "\n".join([f"accepted as version {committed.version}", *lines])
    if not waits:
        return Report(data, text)
    return await confirmed(session, committed.version, text, data)


async def _list(session: Session) -> Report:
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    items: list[dict[str, Any]] = [
        {
            "name": name,
            "revision": configuration.revision(Kind.PROFILE, name),
            "services": list(profile.services),
            "organisations": len(profile.organisations_by_id),
            **_last_change(configuration, name),
        }
        for name, profile in sorted(configuration.profiles_by_name.items())
    ]
    header = ("NAME", "REVISION", "SERVICES", "ORGANISATIONS", "CHANGED BY", "CHANGED")
    rows = [[*{**item, "services": ", ".join(item["services"])}.values()] for item in items]
    return Report({"version": configuration.version, "profiles": items}, aligned(header, rows))


async def _show(session: Session, name: str) -> Report:
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    profile = configuration.profiles_by_name.get(name)
    if profile is None:
        text = f"profile '{name}' is not published; see 'pollenglade profile list'"
        return failure(ExitCode.NOT_PUBLISHED, text)
    values = profile_values(profile)
    revision = configuration.revision(Kind.PROFILE, name)
    contracts = [[key, *c.values()] for key, c in values["organisations"].items()]
    rules = [_rule_cells(rule) for rule in values["rules"]]
    text = "\n".join(
        [
            f"profile {name}, revision {revision}, services: {', '.join(profile.services)}",
            "",
            aligned(("ZONE", "WEIGHT"), list(values["zones"].items())),
            "",
            aligned(("ORGANISATION", "RATE/S", "BURST", "WEIGHT"), contracts),
            "",
            aligned(
                ("METHOD", "PATH", "IMPORTANCE", "IDEMPOTENT", "EXTRA ATTEMPTS", "DEADLINE MS"),
                rules,
            ),
        ]
    )
    return Report({**values, "revision": revision, **_last_change(configuration, name)}, text)


def _rule_cells(rule: dict[str, Any]) -> list[object]:
    by_method = rule["idempotent"] is None
    return [*{**rule, "idempotent": "by method" if by_method else rule["idempotent"]}.values()]


def _last_change(configuration: Configuration, name: str) -> dict[str, str]:
    accepted = configuration.acceptance(Kind.PROFILE, name)
    if accepted is None:
        return {"changed_by": "", "changed": ""}
    return {"changed_by": accepted.stamp.who, "changed": utc(accepted.stamp.when)}
