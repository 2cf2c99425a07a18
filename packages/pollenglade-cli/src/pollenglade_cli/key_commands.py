"""The `key` commands."""

from __future__ import annotations

import re
import secrets
from typing import Annotated

import typer

from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration import apply
from pollenglade_core.configuration.keys import SECRET_BYTES
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import hash_secret
from pollenglade_core.configuration.keys import key_text
from pollenglade_core.configuration.keys import parse_key
from pollenglade_core.finding import Finding
from pollenglade_core.finding import Findings
from pollenglade_net.configuration_store import Committed

from .confirmation import wait_for_confirmation
from .exit_codes import ExitCode
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

app = typer.Typer(no_args_is_help=True, help="Publish, withdraw and list keys.")

KEY_ID_BYTES = 8
_ORGANISATION_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

OrganisationArgument = Annotated[str, typer.Argument(help="Organisation that the key belongs to.")]
KeyIdArgument = Annotated[str, typer.Argument(help="Key ID (not the secret).")]


@app.command()
def publish(
    organisation: OrganisationArgument,
    dry_run: DryRunOption = False,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    who: WhoOption = None,
) -> None:
    """Publish a new key; it is shown only once and cannot be recovered."""
    flags = settings_flags(locals())
    run(flags, lambda session: _publish(session, organisation, dry_run))


@app.command()
def withdraw(
    key_id: KeyIdArgument,
    dry_run: DryRunOption = False,
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
    wait: WaitOption = None,
    who: WhoOption = None,
) -> None:
    """Withdraw a key and report which zones have confirmed the withdrawal."""
    flags = settings_flags(locals())
    run(flags, lambda session: _withdraw(session, key_id, dry_run))


@app.command("list")
def list_keys(
    platform_url: PlatformUrlOption = None,
    zone: ZoneOption = None,
    output: OutputOption = None,
    timeout: TimeoutOption = None,
) -> None:
    """List the published keys, without secrets."""
    run(settings_flags(locals()), _list)


async def _publish(session: Session, organisation: str, dry_run: bool) -> Report:
    if not _ORGANISATION_PATTERN.fullmatch(organisation):
        text = "must be 1 to 63 lower-case letters, digits and '-', and not start with '-'"
        return findings_report(Findings((Finding("organisation", text),)))
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    profiles = configuration.profiles_by_name.values()
    is_known = any(organisation in profile.organisations_by_id for profile in profiles)
    note = "" if is_known else f"organisation '{organisation}' is not in any published profile yet"
    if dry_run:
        text = f"would publish a key of organisation '{organisation}'"
        data = {"organisation": organisation, "dry_run": True, "note": note}
        return Report(data, _join_lines(text, note))
    key_id = secrets.token_hex(KEY_ID_BYTES)
    text = key_text(key_id, secrets.token_bytes(SECRET_BYTES))
    key = parse_key(text)
    assert key is not None
    record = KeyRecord(key_id, organisation, hash_secret(key.secret))
    committed = await session.commit(KeyChange(key_id, 0, record, session.new_stamp()))
    if isinstance(committed, Report):
        # The secret is not shown, so the key is unusable and must be withdrawn if it was published.
        hint = f"key id {key_id}; withdraw it if it is listed"
        return failure_report(
            committed.exit_code,
            f"{committed.text} ({hint})",
            **_data_without_error(committed),
            key_id=key_id,
        )
    return _publication_report(committed, key_id, organisation, text, note)


def _publication_report(
    committed: Committed, key_id: str, organisation: str, text: str, note: str
) -> Report:
    data = {
        "key_id": key_id,
        "organisation": organisation,
        "key": text,
        "version": committed.version,
        "note": note,
    }
    accepted = f"accepted as version {committed.version}, key id {key_id}"
    return Report(data, _join_lines(accepted, note, "the key is shown only once:", text))


def _data_without_error(report: Report) -> dict[str, object]:
    return {name: value for name, value in report.data.items() if name != "error"}


def _join_lines(*lines: str) -> str:
    return "\n".join(line for line in lines if line)


async def _withdraw(session: Session, key_id: str, dry_run: bool) -> Report:
    parsed_key = parse_key(key_id)
    key_id = parsed_key.id if parsed_key else key_id
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    revision = configuration.revision(Kind.KEY, key_id)
    if revision == 0:
        text = "the key id is not published; see 'pollenglade key list'"
        return failure_report(ExitCode.NOT_PUBLISHED, text)
    change = KeyChange(key_id, revision, None, session.new_stamp())
    organisation = configuration.keys_by_id[key_id].organisation
    data = {"key_id": key_id, "organisation": organisation}
    if dry_run:
        result = apply(configuration, change)
        if not isinstance(result, Configuration):
            return commit_failure_report(result)
        text = f"would create version {result.version}:\n- key {key_id} of '{organisation}'"
        return Report({**data, "dry_run": True, "version": result.version}, text)
    committed = await session.commit(change)
    if isinstance(committed, Report):
        return committed
    text = f"accepted as version {committed.version}: key {key_id} is withdrawn"
    return await wait_for_confirmation(
        session,
        committed.version,
        text,
        {**data, "version": committed.version, "operation_id": change.stamp.operation_id},
    )


async def _list(session: Session) -> Report:
    configuration = await session.load_configuration()
    if isinstance(configuration, Report):
        return configuration
    items: list[dict[str, str | int]] = []
    for key_id, record in sorted(configuration.keys_by_id.items()):
        accepted = configuration.acceptance(Kind.KEY, key_id)
        item: dict[str, str | int] = {
            "key_id": key_id,
            "organisation": record.organisation,
            "revision": record.revision,
            "published_by": accepted.stamp.who if accepted else "",
            "published": format_utc(accepted.stamp.when) if accepted else "",
        }
        items.append(item)
    header = ("KEY ID", "ORGANISATION", "REVISION", "PUBLISHED BY", "PUBLISHED")
    text = format_table(header, [list(item.values()) for item in items])
    return Report({"version": configuration.version, "keys": items}, text)
