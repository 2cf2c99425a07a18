"""Connections to the store go silent; a manifest that is sent later is not applied in time."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import BROKEN
from standins import HELD
from standins import CouldNotRunError
from standins import Fleet
from standins import SilencingProxy
from standins import manifest
from standins import route
from standins import run_case
from standins import tenant
from standins import trouble

SERVICES = ["calls", "fees"]
STABLE_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
CALM_S = 2 * STABLE_S + 1.0
"""Time between the disruption and the manifest; all machines are in touch before it."""
WATCH_S = 30.0


async def play(fleet: Fleet) -> int:
    proxy = SilencingProxy(fleet.record)
    fleet.proxies.append(proxy)
    await proxy.start(f"{fleet.prefix}.253", fleet.store.address)
    routes = [route("browse", "calls"), route("moved", "calls")]
    tenants = [tenant("artist", "key-1"), tenant("guest", "key-2")]
    fleet.store.put("op", "config", manifest(3, SERVICES, *routes, *tenants))
    for number in range(4):
        fleet.add(SERVICES[number % 2]).store_address = proxy.address
    await fleet.start_nodes()
    await asyncio.sleep(3.0)
    # An earlier version, as operators send them all day; it reaches all machines.
    fleet.store.put("op", "config", manifest(5, SERVICES, *routes, *tenants))
    await asyncio.sleep(3.0)
    if trouble():
        fleet.record.show(f"{proxy.silence_open()} open connections to the store go silent")
    await asyncio.sleep(CALM_S)
    # This version moves a route to another service and takes a key away.
    moved = [route("browse", "calls"), route("moved", "fees")]
    fleet.store.put("op", "config", manifest(8, SERVICES, *moved, tenants[0]))
    confirmed_at = time.monotonic()
    fleet.record.show("version r8 is confirmed: /moved/ goes to fees, the key of guest is gone")
    old_effects: list[tuple[float, str]] = []
    new_effects = 0
    for node in itertools.cycle(fleet.nodes):
        sent_after_s = time.monotonic() - confirmed_at
        if sent_after_s > WATCH_S:
            break
        _, status, body = await fleet.send(node, "/moved/a", key="key-1")
        if status == 200 and body.startswith(b"calls"):
            old_effects.append((sent_after_s, "run by the old service"))
        elif status == 200:
            new_effects += 1
        _, status, body = await fleet.send(node, "/browse/a", key="key-2")
        if status == 200:
            old_effects.append((sent_after_s, "run with a dropped key"))
        await asyncio.sleep(0.05)
    if not new_effects and not old_effects:
        raise CouldNotRunError("no request was served")
    # The bound with all of the stretch that any excuse could add.
    late = [item for item in old_effects if item[0] > CONFIG_APPLY_S + MAX_STRETCH_S]
    past_bound = [item for item in old_effects if item[0] > CONFIG_APPLY_S]
    last = max((item[0] for item in old_effects), default=0.0)
    fleet.record.show(
        f"{len(past_bound)} requests sent more than {CONFIG_APPLY_S} s after the confirmation were "
        f"handled as only older versions allow, {len(late)} of them more than "
        f"{CONFIG_APPLY_S + MAX_STRETCH_S} s after it, the last {last:.1f} s after it; "
        f"{new_effects} were run by the new service"
    )
    return BROKEN if past_bound else HELD


run_case(Path(__file__).resolve().parent, play)
