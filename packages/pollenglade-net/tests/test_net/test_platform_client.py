"""Guards against writes that take effect twice or report a wrong result."""

from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pollenglade_emulator.platform_faults import PlatformFaults
from pollenglade_emulator.platform_standin import PlatformStandIn
from pollenglade_net.platform_api import AnswerLost
from pollenglade_net.platform_api import NotFound
from pollenglade_net.platform_api import ObjectStored
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict
from pollenglade_net.platform_api import WriteResult
from pollenglade_net.platform_client import PlatformClient
from pollenglade_net.platform_client import PlatformLimits

SHORT_TIMEOUT_LIMITS = PlatformLimits(attempts=3, timeout_s=0.05, backoff_s=0.001)
LONG_TIMEOUT_LIMITS = PlatformLimits(attempts=3, timeout_s=5.0, backoff_s=0.001)
ROW_NAME = "claims/acme/ü?x"

FAULTS = st.builds(
    PlatformFaults,
    down=st.sampled_from([False, False, False, True]),
    delay_s=st.sampled_from([0.0, 0.0, 0.0, 0.07]),
    lose_next_answers=st.integers(0, 5),
    lose_every_nth_answer=st.integers(0, 3),
)


async def append_operation_id(
    client: PlatformClient, operation_id: str
) -> WriteResult | Unavailable:
    """Append an operation id to the list in the row with a single write call."""
    row = await client.read(ROW_NAME)
    if isinstance(row, Unavailable):
        return row
    version, value = (row.version, row.value) if isinstance(row, Row) else (0, [])
    return await client.write(ROW_NAME, [*value, operation_id], version, operation_id)


async def run_writers(phases: list[PlatformFaults], writers: int) -> None:
    """Append from concurrent writers while faults change; compare results with the row."""
    stand_in = PlatformStandIn()
    address = await stand_in.start()
    clients = [
        PlatformClient(address, "z", random.Random(i), SHORT_TIMEOUT_LIMITS) for i in range(writers)
    ]
    result_by_id: dict[str, WriteResult] = {}

    async def write(client: PlatformClient, operation_id: str) -> None:
        result_by_id[operation_id] = await append_operation_id(client, operation_id)

    for phase, faults in enumerate(phases):
        stand_in.faults = faults.model_copy()
        await asyncio.gather(*(write(client, f"{phase}-{i}") for i, client in enumerate(clients)))
    await asyncio.sleep(max(faults.delay_s for faults in phases))
    stand_in.faults = PlatformFaults()
    row = await clients[0].read(ROW_NAME)
    applied_operation_ids = row.value if isinstance(row, Row) else []
    for client in clients:
        await client.close()
    await stand_in.close()
    check_results(result_by_id, applied_operation_ids)


def check_results(result_by_id: dict[str, WriteResult], applied_operation_ids: list[str]) -> None:
    """Assert that each result is consistent with the operation ids in the row."""
    assert len(applied_operation_ids) == len(set(applied_operation_ids)), applied_operation_ids
    for operation_id, result in result_by_id.items():
        match result:
            case RowWritten(version):
                assert applied_operation_ids[version - 1] == operation_id, (
                    operation_id,
                    applied_operation_ids,
                )
            case VersionConflict() | Unavailable():
                assert operation_id not in applied_operation_ids, (operation_id, result)
            case AnswerLost(lost_id):
                assert lost_id == operation_id


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    async def start(
        self, limits: PlatformLimits = LONG_TIMEOUT_LIMITS
    ) -> tuple[PlatformStandIn, PlatformClient]:
        """Start a platform stand-in and a client that are closed after the test."""
        stand_in = PlatformStandIn()
        address = await stand_in.start()
        self.addAsyncCleanup(stand_in.close)
        client = PlatformClient(address, "north", random.Random(1), limits)
        self.addAsyncCleanup(client.close)
        return stand_in, client

    async def test_write_with_a_lost_response_reports_its_result(self) -> None:
        """A write that took effect must not be reported as a conflict with itself."""
        stand_in, client = await self.start()
        stand_in.faults = PlatformFaults(lose_next_answers=1, cut_zones=frozenset({"south"}))
        self.assertEqual(NotFound(), await client.read(ROW_NAME))
        self.assertEqual(RowWritten(1), await client.write(ROW_NAME, {"a": 1}, 0, "x"))
        stand_in.faults = PlatformFaults(lose_next_answers=3)
        self.assertEqual(RowWritten(2), await client.write(ROW_NAME, {"a": 2}, 1, "y"))
        conflict = await client.write(ROW_NAME, {"a": 3}, 0, "z")
        self.assertEqual(VersionConflict(Row(ROW_NAME, 2, {"a": 2}, "y")), conflict)

    async def test_cut_zone_and_outage_are_reported_in_bounded_time(self) -> None:
        """Without the platform, an operation must end in bounded time with a typed result."""
        stand_in, client = await self.start(SHORT_TIMEOUT_LIMITS)
        for faults in (PlatformFaults(cut_zones=frozenset({"north"})), PlatformFaults(down=True)):
            stand_in.faults = faults
            self.assertIsInstance(await client.read(ROW_NAME), Unavailable)
            self.assertIsInstance(await client.read_prefix("n"), Unavailable)
            self.assertIsInstance(await client.write(ROW_NAME, 1, 0, "x"), AnswerLost)

    async def test_refused_connection_is_reported_as_not_written(self) -> None:
        """A write of which no byte was sent must be reported as having no effect."""
        stand_in = PlatformStandIn()
        address = await stand_in.start()
        await stand_in.close()
        # This client has no pooled connections; a write on one may have been received.
        client = PlatformClient(address, "north", random.Random(1), SHORT_TIMEOUT_LIMITS)
        self.addAsyncCleanup(client.close)
        self.assertIsInstance(await client.write(ROW_NAME, 1, 0, "x"), Unavailable)

    async def test_names_with_special_characters_survive_the_url(self) -> None:
        """Row and object names with separators and non-ASCII characters must survive the URL."""
        _, client = await self.start()
        for name in ("nodes/a/1", "nodes/ü/2", "quota/a"):
            await client.write(name, name, 0, "x")
        rows = await client.read_prefix("nodes/")
        assert not isinstance(rows, Unavailable)
        self.assertEqual(["nodes/a/1", "nodes/ü/2"], [row.value for row in rows])
        self.assertEqual(NotFound(), await client.read_object("s/ü 1"))
        self.assertEqual(ObjectStored(), await client.write_object("s/ü 1", b"\0data"))
        self.assertEqual(b"\0data", await client.read_object("s/ü 1"))


class ConcurrentWriterTest(unittest.TestCase):
    @settings(max_examples=25)
    @given(st.lists(FAULTS, min_size=1, max_size=6), st.integers(1, 3))
    def test_reported_results_match_the_row(
        self, phases: list[PlatformFaults], writers: int
    ) -> None:
        """A wrong result would run a payment twice or give a quota slot to two holders."""
        asyncio.run(run_writers(phases, writers))
