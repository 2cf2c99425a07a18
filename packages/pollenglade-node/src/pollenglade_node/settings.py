"""Settings of the node, read from flags and environment variables."""

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
"""Pattern of the names of nodes and regions, which may be domain names."""


def _validate_address(text: str) -> str:
    Address.parse(text)
    return text


def _validate_url(text: str) -> str:
    if not text.startswith("http://"):
        raise ValueError("write it as http://host:port")
    Address.parse(text.removeprefix("http://").rstrip("/"))
    return text.rstrip("/")


def _validate_host(text: str) -> str:
    return str(ipaddress.ip_address(text))


NodeName = Annotated[str, Field(pattern=NODE_NAME_PATTERN)]
ZoneName = Annotated[str, Field(pattern=NAME_PATTERN)]
AddressText = Annotated[str, AfterValidator(_validate_address)]
UrlText = Annotated[str, AfterValidator(_validate_url)]
HostText = Annotated[str, AfterValidator(_validate_host)]


class NodeSettings(BaseSettings):
    """Settings of a node; each field is also a flag and an environment variable."""

    model_config = SettingsConfigDict(env_prefix=PREFIX, extra="forbid", frozen=True)

    node: NodeName = Field(description="Name of the node, unique in the fleet.")
    zone: ZoneName = Field(
        description="Availability zone of the host, with the name that profiles use."
    )
    region: NodeName = Field(default="default", description="Region of the availability zone.")
    caller_address: AddressText = Field(
        description="host:port that accepts root calls and nested calls."
    )
    link_address: AddressText = Field(description="host:port that accepts links from other nodes.")
    control_address: AddressText = Field(
        description="host:port that accepts target announcements, gossip, health and metrics."
    )
    advertised_link_address: AddressText | None = Field(
        default=None,
        description="host:port at which other nodes reach the link port; link_address if not set.",
    )
    advertised_control_address: AddressText | None = Field(
        default=None,
        description="host:port at which other nodes reach the control port; control_address if "
        "not set.",
    )
    source_host: HostText | None = Field(
        default=None,
        description="Source IP address of connections to other nodes and the platform.",
    )
    platform_url: UrlText = Field(description="http://host:port of the platform.")
    concurrency_limit: Annotated[str, Field(pattern=r"^(gradient|none|fixed)$")] = Field(
        default="gradient",
        description="Kind of concurrency limit of each target: gradient, fixed or none.",
    )
    drain_limit_s: float = Field(
        default=30.0,
        ge=0.0,
        le=600.0,
        description="Longest wait for running calls when the node stops, in seconds.",
    )
    log_totals_s: float = Field(
        default=0.0,
        ge=0.0,
        le=86_400.0,
        description="Interval between log lines with call totals, in seconds; 0 disables them.",
    )
    log_level: Annotated[str, Field(pattern=r"^(debug|info|warning|error)$")] = Field(
        default="info", description="Lowest severity of the events that are logged."
    )


def load_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str] = os.environ
) -> NodeSettings | Findings:
    """Return the settings, or findings for all invalid, missing and unknown settings.

    Flags take precedence over the environment variables of the process; a flag that is None is not
    set. `environment` is searched for unknown variables only. Each finding names the variable, the
    invalid value and what to do.
    """
    passed_flags = {key: value for key, value in flags.items() if value is not None}
    findings = unknown_variables(environment)
    try:
        settings = NodeSettings(**passed_flags)
    except ValidationError as error:
        findings += [_finding_from_error(dict(item), environment) for item in error.errors()]
        return Findings(tuple(findings))
    return Findings(tuple(findings)) if findings else settings


def _finding_from_error(error: Mapping[str, Any], environment: Mapping[str, str]) -> Finding:
    key = ".".join(str(part) for part in error["loc"])
    variable = PREFIX + key.upper()
    if error["type"] == "missing":
        flag = "--" + key.replace("_", "-")
        return Finding(variable, f"is not set; set it or pass {flag}")
    invalid_value = error.get("input")
    return Finding(variable, f"is {invalid_value!r}: {error['msg']}; correct the value")
