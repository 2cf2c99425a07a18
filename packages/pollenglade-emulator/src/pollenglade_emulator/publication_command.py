"""Publishes a profile and keys through the `pollenglade` command, as an operator does."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from pollenglade_core.configuration.profile import Profile
from pollenglade_net.address import Address

from .publication import build_profile
from .workload import Deployment


def profile_text(profile: Profile) -> str:
    """Return a profile as TOML for the profile file; request rules are not written."""
    services = ", ".join(f'"{service}"' for service in profile.services)
    lines = [f'name = "{profile.name}"', f"services = [{services}]", "", "[zones]"]
    lines += [f"{zone} = {weight}" for zone, weight in profile.zones.items()]
    for contract in profile.organisations_by_id.values():
        lines += ["", f"[organisations.{contract.organisation}]"]
        lines += [f"rate_per_s = {contract.rate_per_s}", f"burst = {contract.burst}"]
        lines += [f"weight = {contract.weight}"]
    return "\n".join(lines) + "\n"


async def publish_by_command(platform: Address, deployment: Deployment) -> dict[str, str]:
    """Publish profile and keys; return the key of each organisation by its id.

    The published profile has no request rules, because `profile_text` does not write them. Raise
    RuntimeError with the error output if the command fails.
    """
    with TemporaryDirectory() as folder:
        path = Path(folder) / "profile.toml"
        path.write_text(profile_text(build_profile(deployment)))
        await _run_command(platform, "profile", "publish", str(path))
    keys: dict[str, str] = {}
    for organisation in deployment.organisations:
        document = await _run_command(platform, "key", "publish", organisation.id)
        keys[organisation.id] = document["key"]
    return keys


async def _run_command(platform: Address, *arguments: str) -> dict[str, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pollenglade_cli",
        *arguments,
        "--output",
        "json",
        "--platform-url",
        f"http://{platform}",
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    if process.returncode != 0:
        error_output = errors.decode(errors="replace")
        raise RuntimeError(
            f"pollenglade {' '.join(arguments)} exited {process.returncode}: {error_output}"
        )
    document: dict[str, Any] = orjson.loads(output)
    return document
