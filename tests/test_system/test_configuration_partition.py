"""Guards against configuration and membership that a partition between zones holds back."""

from __future__ import annotations

from dataclasses import replace

from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import deployment

from pollenglade_emulator.publication import publish
from pollenglade_emulator.relay import Mode
from pollenglade_emulator.workload import Service
from pollenglade_emulator.zone_network import PLATFORM_ZONE
from pollenglade_emulator.zone_network import rules_between

IN_FORCE_S = 7.0
"""Guarantee 12: time until an accepted configuration is in force everywhere."""

DEAD_S = 20.0
NODES = ("a1", "a2", "b1", "c1")
NO_PLATFORM = rules_between(["c"], [PLATFORM_ZONE], Mode.SILENT)


async def publish_later(fleet: ZonedFleet, name: str) -> int:
    """Publish a further profile and key; return the version."""
    before = (await fleet.status("a1"))["configuration_version"]
    assert isinstance(before, int)
    other = replace(deployment(("a",), 10, 10), name=name, services=(Service(name, 1, 1, 1),))
    return before + len(await publish(fleet.platform, other)) + 1


class ConfigurationPartitionTest(ZonedCase):
    async def test_zone_without_platform_gets_configuration_from_other_zones(self) -> None:
        """A zone that waits for its own platform contact keeps withdrawn keys working."""
        fleet = await self.start(NODES, ())
        await fleet.network.apply(NO_PLATFORM)
        version = await publish_later(fleet, "later")
        await fleet.wait_status("configuration_version", version, NODES, IN_FORCE_S)

    async def test_zone_that_was_declared_dead_gets_configuration_after_the_partition(self) -> None:
        """Groups that took each other for dead must find each other without the platform."""
        fleet = await self.start(NODES, ())
        await fleet.network.isolate("c")
        await fleet.wait_status("members", 3, NODES[:3], DEAD_S)
        await fleet.wait_status("members", 1, NODES[3:], DEAD_S)
        version = await publish_later(fleet, "later")
        await fleet.wait_status("configuration_version", version, NODES[:3], IN_FORCE_S)
        await fleet.network.apply(NO_PLATFORM)
        await fleet.wait_status("configuration_version", version, NODES, IN_FORCE_S)
        await fleet.wait_joined()
