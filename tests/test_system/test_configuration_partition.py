"""Guards against configuration and membership that do not spread in a network partition."""

from __future__ import annotations

from dataclasses import replace

from support.zoned_fleet import ZonedCase
from support.zoned_fleet import ZonedFleet
from support.zoned_fleet import zoned_deployment

from pollenglade_emulator.publication import publish
from pollenglade_emulator.relay import RelayMode
from pollenglade_emulator.workload import Service
from pollenglade_emulator.zone_network import PLATFORM_ZONE
from pollenglade_emulator.zone_network import rules_between

IN_FORCE_LIMIT_S = 7.0
"""Guarantee 12: limit for an accepted configuration to be in force everywhere, in seconds."""

DEAD_LIMIT_S = 20.0
NODES = ("a1", "a2", "b1", "c1")
PLATFORM_CUT_RULES = rules_between(["c"], [PLATFORM_ZONE], RelayMode.SILENT)


async def publish_another_profile(fleet: ZonedFleet, name: str) -> int:
    """Publish another profile with a key; return the resulting configuration version."""
    before = (await fleet.status("a1"))["configuration_version"]
    assert isinstance(before, int)
    other = replace(zoned_deployment(("a",), 10, 10), name=name, services=(Service(name, 1, 1, 1),))
    return before + len(await publish(fleet.platform, other)) + 1


class ConfigurationPartitionTest(ZonedCase):
    async def test_zone_without_platform_gets_configuration_from_other_zones(self) -> None:
        """A zone that gets changes only from the platform would keep accepting withdrawn keys."""
        fleet = await self.start_fleet(NODES, ())
        await fleet.network.apply(PLATFORM_CUT_RULES)
        version = await publish_another_profile(fleet, "later")
        await fleet.wait_status("configuration_version", version, NODES, IN_FORCE_LIMIT_S)

    async def test_zone_that_was_declared_dead_gets_configuration_after_the_partition(self) -> None:
        """Groups of nodes that declared each other dead must rejoin without the platform."""
        fleet = await self.start_fleet(NODES, ())
        await fleet.network.isolate("c")
        await fleet.wait_status("members", 3, NODES[:3], DEAD_LIMIT_S)
        await fleet.wait_status("members", 1, NODES[3:], DEAD_LIMIT_S)
        version = await publish_another_profile(fleet, "later")
        await fleet.wait_status("configuration_version", version, NODES[:3], IN_FORCE_LIMIT_S)
        await fleet.network.apply(PLATFORM_CUT_RULES)
        await fleet.wait_status("configuration_version", version, NODES, IN_FORCE_LIMIT_S)
        await fleet.wait_joined()
