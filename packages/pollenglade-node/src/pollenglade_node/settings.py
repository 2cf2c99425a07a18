"""Settings of the node from flags and environment variables."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from typing import Annotated
from typing import Any

from pydantic import AfterValidator
from pydantic import Field
from pydantic import ValidationError
from pydantic_settings import BaseSettings
from pydantic_settings import SettingsConfigDict

from pollenglade_core.configuration.profile import NAME_PATTERN
from pollenglade_core.finding import Finding
from pollenglade_core.finding import Findings
from pollenglade_core.variables import PREFIX
from pollenglade_core.variables import unknown_variables
from pollenglade_net.address import Address

NODE_NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
"""Names of hosts and regions; they may be domain names."""


def _checked_address(text: str) -> str:
    Address.parse(text)
    return text


def _checked_url(text: str) -> str:
    if not text.startswith("http://"):
        raise ValueError("write it as http://host:port")
    Address.parse(text.removeprefix("http://").rstrip("/"))
    return text.rstrip("/")


def _checked_host(text: str) -> str:
    return str(ipaddress.ip_address(text))


NodeName = Annotated[str, Field(pattern=NODE_NAME_PATTERN)]
ZoneName = Annotated[str, Field(pattern=NAME_PATTERN)]
AddressText = Annotated[str, AfterValidator(_checked_address)]
UrlText = Annotated[str, AfterValidator(_checked_url)]
HostText = Annotated[str, AfterValidator(_checked_host)]


class NodeSettings(BaseSettings):
    """Settings of one node; every field is a flag and an environment variable."""

    model_config = SettingsConfigDict(env_prefix=PREFIX, extra="forbid", frozen=True)

    node: NodeName = Field(description="Name of the node, unique in the fleet.")
    zone: ZoneName = Field(description="Availability zone of the host, as profiles name it.")
    region: NodeName = Field(default="default", description="Region of the availability zone.")
    caller_address: AddressText = Field(description="host:port for callers and nested calls.")
    link_address: AddressText = Field(description="host:port for links from other nodes.")
    control_address: AddressText = Field(
        description="host:port for target announcements, gossip, health and metrics."
    )
    advertised_link_address: AddressText | None = Field(
        default=None,
        description="host:port at which other nodes reach the link port; the bound one if not set.",
    )
    advertised_control_address: AddressText | None = Field(
        default=None,
        description="host:port at which other nodes reach the control port; the bound one if not "
        "set.",
    )
    source_host: HostText | None = Field(
        default=None, description="IP address that connections to nodes and the platform come from."
    )
    platform_url: UrlText = Field(description="http://host:port of the platform.")
    concurrency_limit: Annotated[str, Field(pattern=r"^(gradient|none|fixed)$")] = Field(
        default="gradient", description="Concurrency limit for each target."
    )
    drain_limit_s: float = Field(
        default=30.0, ge=0.0, le=600.0, description="Longest wait for running calls at a stop, s."
    )
    log_totals_s: float = Field(
        default=0.0,
        ge=0.0,
        le=86_400.0,
        description="Interval of log lines with totals, s; 0 for none.",
    )
    log_level: Annotated[str, Field(pattern=r"^(debug|info|warning|error)$")] = Field(
        default="info", description="Lowest level that is logged."
    )


def load_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str] = os.environ
) -> NodeSettings | Findings:
    """Return the settings, or all findings with key, value seen and what to do."""
    given = {key: value for key, value in flags.items() if value is not None}
    findings = unknown_variables(environment)
    try:
        settings = NodeSettings(**given)
    except ValidationError as error:
        findings += [_finding(dict(item), environment) for item in error.errors()]
        return Findings(tuple(findings))
    return Findings(tuple(findings)) if findings else settings


def _finding(error: Mapping[str, Any], environment: Mapping[str, str]) -> Finding:
    key = ".".join(str(part) for part in error["loc"])
    variable = PREFIX + key.upper()
    if error["type"] == "missing":
        flag = "--" + key.replace("_", "-")
        return Finding(variable, f"is not set; set it or pass {flag}")
    seen = error.get("input")
    return Finding(variable, f"is {seen!r}: {error['msg']}; correct the value")
