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
from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import Configuration
from pollenglade_core.configuration.configuration import Conflict
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.configuration import Kind
from pollenglade_core.configuration.configuration_history import ConfigurationHistory
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_emulator.platform_faults import PlatformFaults
from pollenglade_emulator.platform_standin import PlatformStandIn
from pollenglade_net.configuration_store import CommitResult
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.configuration_store import Unreadable
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_client import PlatformClient
from pollenglade_net.platform_client import PlatformLimits

LIMITS = PlatformLimits(attempts=3, timeout_s=5.0, backoff_s=0.001)


def key_change(name: str, operation_id: str) -> Change:
    """Return a change that publishes the key `name`."""
    return KeyChange(name, 0, KeyRecord(name, "acme", "00"), ChangeOrigin("w", 1.0, operation_id))


class OperatorFixture:
    """A platform stand-in and several operators, each with a separate client and store."""

    def __init__(self, operators: int) -> None:
        self.stand_in = PlatformStandIn()
        self._operators = operators
        self.clients: list[PlatformClient] = []
        self.stores: list[ConfigurationStore] = []

    async def __aenter__(self) -> OperatorFixture:
        address = await self.stand_in.start()
        for number in range(self._operators):
            generator = random.Random(number)
            client = PlatformClient(address, "z", generator, LIMITS)
            self.clients.append(client)
            self.stores.append(ConfigurationStore(client, client, generator))
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self.clients:
            await client.close()
        await self.stand_in.close()


async def commit_concurrently(names: list[str], lost_answer_interval: int) -> None:
    """Commit one change per operator concurrently and compare results and configuration."""
    async with OperatorFixture(len(names)) as fixture:
        fixture.stand_in.faults = PlatformFaults(lose_every_nth_answer=lost_answer_interval)
        changes = [key_change(name, str(number)) for number, name in enumerate(names)]
        results: list[CommitResult] = await asyncio.gather(
            *(store.commit(change) for store, change in zip(fixture.stores, changes, strict=True))
        )
        final = await fixture.stores[0].refresh(ConfigurationHistory())
        assert isinstance(final, Configuration)
        named_results = list(zip(names, results, strict=True))
        committed_count_by_name = Counter(
            name for name, result in named_results if isinstance(result, Committed)
        )
        assert committed_count_by_name == Counter(set(names)), (names, results)
        assert final.version == len(set(names))
        for number, (name, result) in enumerate(named_results):
            acceptance = final.acceptance(Kind.KEY, name)
            assert acceptance is not None
            if isinstance(result, Committed):
                assert (str(number), result.version) == (
                    acceptance.stamp.operation_id,
                    acceptance.revision,
                )
            else:
                assert isinstance(result, Conflict) and result.other == acceptance


class ConcurrentCommitTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=5), st.integers(0, 3))
    def test_one_of_several_changes_to_a_name_is_committed(
        self, names: list[str], lost_answer_interval: int
    ) -> None:
        """Changes to different names must not conflict; lost responses must not alter results."""
        asyncio.run(commit_concurrently(names, lost_answer_interval))


class ConfigurationStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_following_and_late_nodes_agree_with_the_committer(self) -> None:
        """A node that follows all along and one that starts late must reach the committed state."""
        async with OperatorFixture(1) as fixture:
            store, follower = fixture.stores[0], ConfigurationHistory()
            for number in range(140):
                result = await store.commit(key_change(f"k{number}", f"{number:032x}"))
                self.assertIsInstance(result, Committed)
                if number % 50 == 0:
                    await store.refresh(follower)
            head = fixture.stand_in.rows_by_name["configuration/head"].value
            # Relays read the head every second; a node has 7 KB/s for its whole control plane.
            self.assertLess(len(json.dumps(head)), 7_000)
            self.assertLessEqual(len(head["changes"]), 64)
            late_follower = ConfigurationHistory()
            assert isinstance(result, Committed)
            for history in (late_follower, follower):
                await store.refresh(history)
                self.assertEqual(140, history.current.version)
                self.assertEqual(result.configuration.digest(), history.digest())
            repeated = await store.commit(key_change("k80", f"{80:032x}"))
            assert isinstance(repeated, Committed)
            self.assertEqual(81, repeated.version)

    async def test_outage_or_invalid_data_does_not_replace_the_known_configuration(self) -> None:
        """An unavailable platform or an invalid head must not change the loaded configuration."""
        async with OperatorFixture(1) as fixture:
            store, history = fixture.stores[0], ConfigurationHistory()
            await store.commit(key_change("a", "1"))
            await store.refresh(history)
            fixture.stand_in.faults = PlatformFaults(down=True)
            self.assertIsInstance(await store.refresh(history), Unavailable)
            self.assertIsInstance(await store.commit(key_change("b", "2")), Unavailable)
            fixture.stand_in.faults = PlatformFaults(lose_next_answers=3)
            self.assertIsInstance(await store.commit(key_change("b", "3")), Committed)
            fixture.stand_in.faults = PlatformFaults()
            await fixture.clients[0].write("configuration/head", {"changes": 1}, 2, "x")
            self.assertIsInstance(await store.refresh(history), Unreadable)
            self.assertIsInstance(await store.commit(key_change("c", "4")), Unreadable)
            self.assertEqual(1, history.current.version)
