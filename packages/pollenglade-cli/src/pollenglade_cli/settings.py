"""Settings by flags and `POLLENGLADE_*` variables; a flag takes precedence."""

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

# Values stay text until all settings are checked together, so that every finding is reported.
PlatformUrlOption = Annotated[
    str | None, typer.Option("--platform-url", help="URL of the platform, http://host:port.")
]
ZoneOption = Annotated[str | None, typer.Option("--zone", help="Zone of this machine.")]
OutputOption = Annotated[str | None, typer.Option("--output", help="'table' or 'json'.")]
TimeoutOption = Annotated[
    str | None, typer.Option("--timeout", help="Seconds for one request (default 2).")
]
WaitOption = Annotated[
    str | None, typer.Option("--wait", help="Seconds to wait for the nodes (default 10).")
]
WhoOption = Annotated[
    str | None, typer.Option("--who", help="Name recorded with a change (default: the user).")
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show what would change; commit nothing.")
]


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


class Settings(BaseSettings):
    """All settings of the command."""

    model_config = SettingsConfigDict(env_prefix=PREFIX, extra="forbid")

    platform_url: str
    zone: str = Field(default="", pattern=rf"^$|{NAME_PATTERN}")
    output: Literal["table", "json"] = "table"
    timeout: float = Field(default=2.0, ge=0.05, le=60.0)
    wait: float = Field(default=10.0, ge=0.0, le=600.0)
    who: str = Field(default_factory=_user, min_length=1, max_length=100)

    @field_validator("platform_url")
    @classmethod
    def _is_url(cls, value: str) -> str:
        if not value.startswith(SCHEME):
            raise ValueError("write it as http://host:port")
        Address.parse(value.removeprefix(SCHEME).rstrip("/"))
        return value

    @property
    def platform_address(self) -> Address:
        """Address of the platform."""
        return Address.parse(self.platform_url.removeprefix(SCHEME).rstrip("/"))


def read_settings(flags: Mapping[str, str | None]) -> Settings | Findings:
    """Return the settings, or every finding about flags and variables."""
    given = {name: value for name, value in flags.items() if value is not None}
    findings = unknown_variables(os.environ)
    try:
        settings = Settings(**given)  # type: ignore[arg-type]
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Findings((*findings, *(_finding(detail, given) for detail in details)))
    return Findings(tuple(findings)) if findings else settings


def _finding(detail: Any, given: Mapping[str, str]) -> Finding:
    name = str(detail["loc"][0])
    flag, variable = "--" + name.replace("_", "-"), PREFIX + name.upper()
    if detail["type"] == "missing":
        return Finding(flag, f"is missing; give the flag or set {variable}")
    place = flag if name in given else variable
    text = str(detail["msg"]).removeprefix("Value error, ")
    return Finding(place, f"{text[:1].lower()}{text[1:]}; correct the value")


def settings_flags(values: Mapping[str, Any]) -> dict[str, str | None]:
    """Return the flags among the local variables of a command function.

    It has to be the first statement of the function.
    """
    return {name: values[name] for name in COMMAND_SETTINGS if name in values}
