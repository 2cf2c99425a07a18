"""Commands for keys."""

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

from .confirmation import confirmed
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

app = typer.Typer(no_args_is_help=True, help="Publish, withdraw and list keys.")

KEY_ID_BYTES = 8
_ORGANISATION = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

OrganisationArgument = Annotated[str, typer.Argument(help="Organisation that the key acts for.")]
KeyIdArgument = Annotated[str, typer.Argument(help="Id of the key (not its secret).")]


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
    """Publish a new key; its secret is shown once and cannot be shown again."""
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
    """Withdraw a key and list the zones that have confirmed it."""
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
    if not _ORGANISATION.fullmatch(organisation):
        text = "use 1 to 63 lower-case letters, digits and '-'"
        return findings_report(Findings((Finding("organisation", text),)))
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    profiles = configuration.profiles_by_name.values()
    known = any(organisation in profile.organisations_by_id for profile in profiles)
    note = "" if known else f"organisation '{organisation}' is in no published profile yet"
    if dry_run:
        text = f"would publish a key of organisation '{organisation}'"
        data = {"organisation": organisation, "dry_run": True, "note": note}
        return Report(data, _lines(text, note))
    key_id = secrets.token_hex(KEY_ID_BYTES)
    text = key_text(key_id, secrets.token_bytes(SECRET_BYTES))
    key = parse_key(text)
    assert key is not None
    record = KeyRecord(key_id, organisation, hash_secret(key.secret))
    committed = await session.commit(KeyChange(key_id, 0, record, session.stamp()))
    if isinstance(committed, Report):
        # The secret is not shown, so a key that may have been published has to be withdrawn.
        hint = f"key id {key_id}; withdraw it if it is listed"
        return failure(
            committed.exit_code, f"{committed.text} ({hint})", **_rest(committed), key_id=key_id
        )
    return _published(committed, key_id, organisation, text, note)


def _published(
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
    return Report(data, _lines(accepted, note, "the key is shown only once:", text))


def _rest(report: Report) -> dict[str, object]:
    return {name: value for name, value in report.data.items() if name != "error"}


def _lines(*lines: str) -> str:
    return "\n".join(line for line in lines if line)


async def _withdraw(session: Session, key_id: str, dry_run: bool) -> Report:
    presented = parse_key(key_id)
    key_id = presented.id if presented else key_id
    configuration = await session.load()
    if isinstance(configuration, Report):
        return configuration
    revision = configuration.revision(Kind.KEY, key_id)
    if revision == 0:
        text = "the key id is not published; see 'pollenglade key list'"
        return failure(ExitCode.NOT_PUBLISHED, text)
    change = KeyChange(key_id, revision, None, session.stamp())
    organisation = configuration.keys_by_id[key_id].organisation
    data = {"key_id": key_id, "organisation": organisation}
    if dry_run:
        result = apply(configuration, change)
        if not isinstance(result, Configuration):
            return not_accepted(result)
        text = f"would make version {result.version}:\n- key {key_id} of '{organisation}'"
        return Report({**data, "dry_run": True, "version": result.version}, text)
    committed = await session.commit(change)
    if isinstance(committed, Report):
        return committed
    text = f"accepted as version {committed.version}: key {key_id} is withdrawn"
    return await confirmed(
        session,
        committed.version,
        text,
        {**data, "version": committed.version, "operation_id": change.stamp.operation_id},
    )


async def _list(session: Session) -> Report:
    configuration = await session.load()
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
            "published": utc(accepted.stamp.when) if accepted else "",
        }
        items.append(item)
    header = ("KEY ID", "ORGANISATION", "REVISION", "PUBLISHED BY", "PUBLISHED")
    text = aligned(header, [list(item.values()) for item in items])
    return Report({"version": configuration.version, "keys": items}, text)
