"""The `profile` commands."""

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

from .confirmation import wait_for_confirmation
from .exit_codes import ExitCode
from .profile_difference import profile_difference
from .profile_difference import profile_values
from .report import Report
from .report import failure_report
from .report import findings_report
from .report import format_table
from .report import format_utc
from .session import Session
from .session import commit_failure_report
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

FileArgument = Annotated[Path, typer.Argument(help="Profile file (TOML).")]
NameArgument = Annotated[str, typer.Argument(help="Name of the profile.")]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--expected-revision",
        min=1,
        help="Revision that the change replaces (default: the current one).",
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
        profile = _read_profile_file(file)
        if isinstance(profile, Findings):
            return findings_report(profile)
        change = ProfileChange(profile.name, 0, profile, session.new_stamp())
        return await _commit(session, change, dry_run, waits_for_zones=False)

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
    """Change a published profile and wait for all zones to confirm."""
    flags = settings_flags(locals())

    async def command(session: Session) -> Report:
        profile = _read_profile_file(file)
        if isinstance(profile, Findings):
            return findings_report(profile)
        return await _change_published(session, profile.name, profile, expected_revision, dry_run)

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
    """Withdraw a profile and wait for all zones to confirm."""
    flags = settings_flags(locals())
    run(flags, lambda session: _change_published(session, name, None, expected_revision, dry_run))


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


def _read_profile_file(file: Path) -> Profile | Findings:
    try:
        with file.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"cannot be read ({error.strerror}); give the path of a readable profile file"
        return Findings((Finding(str(file), text),))
    return read_profile(data)


async def _change_published(
    session: Session, name: str, profile: Profile | None, revision: int | None, dry_run: bool
) -> Report:
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    current = configuration.revision(Kind.PROFILE, name)
    if current == 0:
        text = f"profile '{name}' is not published; see 'pollenglade profile list'"
        return failure_report(ExitCode.NOT_PUBLISHED, text)
    change = ProfileChange(name, revision or current, profile, session.new_stamp())
    return await _commit(session, change, dry_run, waits_for_zones=True)


async def _commit(
    session: Session, change: ProfileChange, dry_run: bool, waits_for_zones: bool
) -> Report:
    before = await session.load_configuration()
    if isinstance(before, Report):
        return before
    lines = profile_difference(before.profiles_by_name.get(change.name), change.profile)
    data: dict[str, Any] = {"profile": change.name, "difference": lines}
    if dry_run:
        result = apply(before, change)
        if not isinstance(result, Configuration):
            return commit_failure_report(result)
        text = "\n".join([f"would create version {result.version}:", *(lines or ["no difference"])])
        return Report({**data, "dry_run": True, "version": result.version}, text)
    committed = await session.commit(change)
    if isinstance(committed, Report):
        return committed
    data |= {"version": committed.version, "operation_id": change.stamp.operation_id}
    text = "\n".join([f"accepted as version {committed.version}", *lines])
    if not waits_for_zones:
        return Report(data, text)
    return await wait_for_confirmation(session, committed.version, text, data)


async def _list(session: Session) -> Report:
    configuration = await session.load_configuration()
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
    return Report({"version": configuration.version, "profiles": items}, format_table(header, rows))


async def _show(session: Session, name: str) -> Report:
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    profile = configuration.profiles_by_name.get(name)
    if profile is None:
        text = f"profile '{name}' is not published; see 'pollenglade profile list'"
        return failure_report(ExitCode.NOT_PUBLISHED, text)
    values = profile_values(profile)
    revision = configuration.revision(Kind.PROFILE, name)
    contracts = [[key, *contract.values()] for key, contract in values["organisations"].items()]
    rules = [_rule_cells(rule) for rule in values["rules"]]
    text = "\n".join(
        [
            f"profile {name}, revision {revision}, services: {', '.join(profile.services)}",
            "",
            format_table(("ZONE", "WEIGHT"), list(values["zones"].items())),
            "",
            format_table(("ORGANISATION", "RATE/S", "BURST", "WEIGHT"), contracts),
            "",
            format_table(
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
    return {"changed_by": accepted.stamp.who, "changed": format_utc(accepted.stamp.when)}
