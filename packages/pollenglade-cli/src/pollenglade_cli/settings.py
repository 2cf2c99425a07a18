"""Settings from flags and `POLLENGLADE_*` environment variables; a flag takes precedence."""

from __future__ import annotations

import getpass
import os
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import Literal

import typer
from pydantic import Field
from pydantic import ValidationError
from pydantic import field_validator
from pydantic_settings import BaseSettings
from pydantic_settings import SettingsConfigDict

from pollenglade_core.configuration.profile import NAME_PATTERN
from pollenglade_core.finding import Finding
from pollenglade_core.finding import Findings
from pollenglade_core.variables import COMMAND_SETTINGS
from pollenglade_core.variables import PREFIX
from pollenglade_core.variables import unknown_variables
from pollenglade_net.address import Address

SCHEME = "http://"

# Flags are passed on as text and validated together, so that all findings are reported at once.
PlatformUrlOption = Annotated[
    str | None, typer.Option("--platform-url", help="URL of the platform, http://host:port.")
]
ZoneOption = Annotated[str | None, typer.Option("--zone", help="Zone of this host.")]
OutputOption = Annotated[str | None, typer.Option("--output", help="'table' or 'json'.")]
TimeoutOption = Annotated[
    str | None, typer.Option("--timeout", help="Timeout of one request in seconds (default 2).")
]
WaitOption = Annotated[
    str | None,
    typer.Option("--wait", help="Seconds to wait for nodes to apply a change (default 10)."),
]
WhoOption = Annotated[
    str | None, typer.Option("--who", help="Name recorded with a change (default: the user).")
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show what would change; commit nothing.")
]


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


class Settings(BaseSettings):
    """Settings of the command; `timeout` and `wait` are in seconds."""

    model_config = SettingsConfigDict(env_prefix=PREFIX, extra="forbid")

    platform_url: str
    zone: str = Field(default="", pattern=rf"^$|{NAME_PATTERN}")
    output: Literal["table", "json"] = "table"
    timeout: float = Field(default=2.0, ge=0.05, le=60.0)
    wait: float = Field(default=10.0, ge=0.0, le=600.0)
    who: str = Field(default_factory=_current_user, min_length=1, max_length=100)

    @field_validator("platform_url")
    @classmethod
    def _is_url(cls, value: str) -> str:
        if not value.startswith(SCHEME):
            raise ValueError("write it as http://host:port")
        Address.parse(value.removeprefix(SCHEME).rstrip("/"))
        return value

    @property
    def platform_address(self) -> Address:
        """Address of the platform, parsed from `platform_url`."""
        return Address.parse(self.platform_url.removeprefix(SCHEME).rstrip("/"))


def read_settings(flags: Mapping[str, str | None]) -> Settings | Findings:
    """Return the settings, or all findings about flags and environment variables."""
    given_flags = {name: value for name, value in flags.items() if value is not None}
    findings = unknown_variables(os.environ)
    try:
        settings = Settings(**given_flags)  # type: ignore[arg-type]
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Findings((*findings, *(_to_finding(detail, given_flags) for detail in details)))
    return Findings(tuple(findings)) if findings else settings


def _to_finding(detail: Any, given_flags: Mapping[str, str]) -> Finding:
    name = str(detail["loc"][0])
    flag, variable = "--" + name.replace("_", "-"), PREFIX + name.upper()
    if detail["type"] == "missing":
        return Finding(flag, f"is missing; give the flag or set {variable}")
    setting = flag if name in given_flags else variable
    text = str(detail["msg"]).removeprefix("Value error, ")
    return Finding(setting, f"{text[:1].lower()}{text[1:]}; correct the value")


def settings_flags(values: Mapping[str, Any]) -> dict[str, str | None]:
    """Return the settings flags among the local variables of a command function.

    Call it in the first statement of the function, before other local variables exist.
    """
    return {name: values[name] for name in COMMAND_SETTINGS if name in values}
