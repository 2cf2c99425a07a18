"""Publishes the profile and the keys of a deployment through the configuration store."""

from __future__ import annotations

import secrets
import time
from random import Random
from uuid import uuid4

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import ProfileChange
from pollenglade_core.configuration.keys import SECRET_BYTES
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import hash_secret
from pollenglade_core.configuration.keys import key_text
from pollenglade_core.configuration.keys import parse_key
from pollenglade_core.configuration.profile import OrganisationContract
from pollenglade_core.configuration.profile import Profile
from pollenglade_core.configuration.profile import RequestRule
from pollenglade_net.address import Address
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.platform_client import PlatformClient

from .workload import Deployment

EXTRA_ATTEMPTS = 2
PUBLISHER = "emulator"


def build_profile(deployment: Deployment) -> Profile:
    """Return the profile with the contracts and request rules of a deployment."""
    contracts = {
        entry.id: OrganisationContract(entry.id, entry.rate_per_s, entry.burst, entry.weight)
        for entry in deployment.organisations
    }
    rules = tuple(
        RequestRule(
            method=route.method,
            path=route.target_path("*"),
            importance=route.importance,
            idempotent=route.idempotent,
            extra_attempts=EXTRA_ATTEMPTS if route.idempotent else 0,
            deadline_ms=route.deadline_ms,
        )
        for route in deployment.routes
    )
    services = tuple(service.name for service in deployment.services)
    zones = dict.fromkeys(deployment.zones, 1)
    return Profile(deployment.name, services, contracts, rules, zones)


async def publish(platform: Address, deployment: Deployment) -> dict[str, str]:
    """Publish profile and keys; return the key of each organisation by its id.

    Raise RuntimeError if a change is not committed.
    """
    random = Random()
    client = PlatformClient(platform, "operators", random)
    store = ConfigurationStore(client, client, random)
    keys: dict[str, str] = {}
    try:
        await _commit(
            store, ProfileChange(deployment.name, 0, build_profile(deployment), _new_stamp())
        )
        for organisation in deployment.organisations:
            key_id = f"{deployment.name}-{organisation.id}"
            key = key_text(key_id, secrets.token_bytes(SECRET_BYTES))
            parsed = parse_key(key)
            assert parsed is not None
            record = KeyRecord(key_id, organisation.id, hash_secret(parsed.secret))
            await _commit(store, KeyChange(key_id, 0, record, _new_stamp()))
            keys[organisation.id] = key
    finally:
        await client.close()
    return keys


def _new_stamp() -> ChangeOrigin:
    return ChangeOrigin(PUBLISHER, time.time(), uuid4().hex)


async def _commit(store: ConfigurationStore, change: Change) -> None:
    result = await store.commit(change)
    if not isinstance(result, Committed):
        raise RuntimeError(f"the configuration change was not committed: {result}")
