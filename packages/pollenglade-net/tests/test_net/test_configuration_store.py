"""Guards against configuration changes that are lost, applied twice or wrongly refused."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_core.configuration.configuration import Change
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration import Stamp
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_emulator.platform_faults import Faults
from pollenglade_emulator.platform_standin import PlatformStandIn
from pollenglade_net.configuration_store import CommitResult
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.configuration_store import Unreadable
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_client import PlatformClient
from pollenglade_net.platform_client import PlatformLimits

LIMITS = PlatformLimits(attempts=3, timeout_s=5.0, backoff_s=0.001)


def publish(name: str, operation_id: str) -> Change:
    """A change that publishes a key."""
    return KeyChange(name, 0, KeyRecord(name, "acme", "00"), Stamp("w", 1.0, operation_id))


class Bench:
    """A stand-in with several operators, each with a client of its own."""

    def __init__(self, operators: int) -> None:
        self.stand_in = PlatformStandIn()
        self._operators = operators
        self.clients: list[PlatformClient] = []
        self.stores: list[ConfigurationStore] = []

    async def __aenter__(self) -> Bench:
        address = await self.stand_in.start()
        for number in range(self._operators):
            source = random.Random(number)
            client = PlatformClient(address, "z", source, LIMITS)
            self.clients.append(client)
            self.stores.append(ConfigurationStore(client, client, source))
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            await client.close()
        await self.stand_in.close()


async def race(names: list[str], lose_every: int) -> None:
    """Commit one change per operator at once and compare the results with the configuration."""
    async with Bench(len(names)) as bench:
        bench.stand_in.faults = Faults(lose_every_nth_answer=lose_every)
        changes = [publish(name, str(number)) for number, name in enumerate(names)]
        results: list[CommitResult] = await asyncio.gather(
            *(store.commit(c) for store, c in zip(bench.stores, changes, strict=True))
        )
        final = await bench.stores[0].refresh(ConfigurationHistory())
        assert isinstance(final, Configuration)
        pairs = list(zip(names, results, strict=True))
        winners = Counter(name for name, result in pairs if isinstance(result, Committed))
        assert winners == Counter(set(names)), (names, results)
        assert final.version == len(set(names))
        for number, (name, result) in enumerate(pairs):
            accepted = final.acceptance(Kind.KEY, name)
            assert accepted is not None
            if isinstance(result, Committed):
                assert (str(number), result.version) == (
                    accepted.stamp.operation_id,
                    accepted.revision,
                )
            else:
                assert isinstance(result, Conflict) and result.other == accepted


class RaceTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=5), st.integers(0, 3))
    def test_exactly_one_change_of_a_name_wins(self, names: list[str], lose_every: int) -> None:
        """Changes of other names must not conflict, and lost answers must not change the result."""
        asyncio.run(race(names, lose_every))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_snapshots_and_followers(self) -> None:
        """A node that follows, one that starts late and the committer must agree."""
        async with Bench(1) as bench:
            store, follower = bench.stores[0], ConfigurationHistory()
            for number in range(140):
                result = await store.commit(publish(f"k{number}", f"{number:032x}"))
                self.assertIsInstance(result, Committed)
                if number % 50 == 0:
                    await store.refresh(follower)
            head = bench.stand_in.rows_by_name["configuration/head"].value
            # Relays read the head each second; a node has 7 KB/s for its whole control plane.
            self.assertLess(len(json.dumps(head)), 7_000)
            self.assertLessEqual(len(head["changes"]), 64)
            late = ConfigurationHistory()
            assert isinstance(result, Committed)
            for history in (late, follower):
                await store.refresh(history)
                self.assertEqual(140, history.current.version)
                self.assertEqual(result.configuration.digest(), history.digest())
            repeated = await store.commit(publish("k80", f"{80:032x}"))
            assert isinstance(repeated, Committed)
            self.assertEqual(81, repeated.version)

    async def test_outage_and_damage_are_typed(self) -> None:
        """A platform that is down or holds foreign data must not replace what is known."""
        async with Bench(1) as bench:
            store, history = bench.stores[0], ConfigurationHistory()
            await store.commit(publish("a", "1"))
            await store.refresh(history)
            bench.stand_in.faults = Faults(down=True)
            self.assertIsInstance(await store.refresh(history), Unavailable)
            self.assertIsInstance(await store.commit(publish("b", "2")), Unavailable)
            bench.stand_in.faults = Faults(lose_next_answers=3)
            self.assertIsInstance(await store.commit(publish("b", "3")), Committed)
            bench.stand_in.faults = Faults()
            await bench.clients[0].write("configuration/head", {"changes": 1}, 2, "x")
            self.assertIsInstance(await store.refresh(history), Unreadable)
            self.assertIsInstance(await store.commit(publish("c", "4")), Unreadable)
            self.assertEqual(1, history.current.version)
