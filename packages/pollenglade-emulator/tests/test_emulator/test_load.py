"""Guards against a load generator that misses wrong responses or distorts the load."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

import orjson
from hypothesis import given
from hypothesis import strategies as st

from pollenglade_emulator.caller import LoadDocument
from pollenglade_emulator.caller import encode_result
from pollenglade_emulator.caller import read_records
from pollenglade_emulator.deployments import RESIDENCIES
from pollenglade_emulator.load import MAX_HARD_ATTEMPTS
from pollenglade_emulator.load import AttemptResult
from pollenglade_emulator.load import LoadGenerator
from pollenglade_emulator.load import RetryStyle
from pollenglade_emulator.load import check_response
from pollenglade_emulator.load import retry_delay_s
from pollenglade_emulator.records import RequestRecord
from pollenglade_net.async_handler import async_handler
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response
from pollenglade_net.http_server import HttpServer

RAN = [(b"pollenglade-outcome", b"ran")]
REFUSED = [(b"pollenglade-outcome", b"not-run"), (b"pollenglade-reason", b"overloaded")]


class CheckResponseTest(unittest.TestCase):
    @given(st.text("ab-1", min_size=1), st.text("ab-1", min_size=1), st.booleans())
    def test_response_of_another_request_is_wrong(
        self, own: str, other: str, is_repeat: bool
    ) -> None:
        """Without this check a response to the wrong caller (guarantee 7) would not be found."""
        document = {"request": other, "path": f"/x/{other}"}
        result = check_response(json_response(200, document, RAN), own, f"/x/{own}", is_repeat)
        self.assertEqual(own != other, result.wrong)
        self.assertTrue(check_response(json_response(200, document), other, f"/x/{other}").wrong)
        self.assertEqual(
            not is_repeat, check_response(HttpResponse(200, RAN), own, "/", is_repeat).wrong
        )

    @given(st.integers(1, 100), st.sampled_from([200, 429, 503, 0]), st.floats(0, 5))
    def test_retries_are_bounded(self, attempts: int, status: int, after_s: float) -> None:
        """Unbounded retries would make the load generator cause the overload that it measures."""
        result = AttemptResult(status, retry_after_s=after_s)
        self.assertIsNone(retry_delay_s(RetryStyle.NONE, result, attempts))
        polite = retry_delay_s(RetryStyle.POLITE, result, attempts)
        self.assertIn(polite, (None, after_s))
        hard = retry_delay_s(RetryStyle.HARD, result, attempts)
        self.assertEqual(hard is None, status == 200 or attempts >= MAX_HARD_ATTEMPTS)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests: list[HttpRequest] = []
        self.status = 200
        self.swap_ids = False
        self.server = HttpServer(async_handler(self.respond))
        self.port = await self.server.start("127.0.0.1", 0)

    async def asyncTearDown(self) -> None:
        await self.server.close()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Respond like a node with a target."""
        self.requests.append(request)
        number = (request.header(b"emulator-request") or b"").decode()
        if self.swap_ids and number.endswith("7"):
            number += "0"
        if self.status != 200:
            return json_response(self.status, {}, [*REFUSED, (b"retry-after", b"0.01")])
        path = "/" + request.target.decode().split("/", 2)[2]
        return json_response(200, {"request": number, "path": path}, RAN)

    def document(self, **changes: object) -> LoadDocument:
        """Return settings for a short load on the stand-in."""
        keys = {entry.id: f"pgk_{entry.id}_secret" for entry in RESIDENCIES.organisations}
        fields: dict[str, object] = {
            "workload": "residencies",
            "scale": 0.02,
            "entries": [f"127.0.0.1:{self.port}"],
            "keys_by_organisation": keys,
            "duration_s": 1.0,
        }
        return LoadDocument.model_validate({**fields, **changes})

    async def run_shards(self, document: LoadDocument) -> list[RequestRecord]:
        """Run two shards and return their records, read back from output files."""
        loads = [LoadGenerator(document.settings(shard, 2)) for shard in range(2)]
        results = await asyncio.gather(*(load.run() for load in loads))
        records: list[RequestRecord] = []
        with tempfile.TemporaryDirectory() as folder:
            for result in results:
                path = Path(folder) / "records"
                path.write_bytes(encode_result(result))
                records += read_records(path)
        return records

    async def test_every_arrival_is_sent_once_with_key_and_organisation(self) -> None:
        """A lost arrival reduces the load; a wrong key sends it for another organisation."""
        records = await self.run_shards(self.document())
        self.assertGreater(len(records), 20)
        numbers = sorted(int(record.request_id.split("-")[1]) for record in records)
        self.assertEqual(list(range(len(records))), numbers)
        self.assertEqual(len(records), len(self.requests))
        self.assertTrue(all(record.good for record in records))
        for request in self.requests:
            organisation = (request.header(b"emulator-organisation") or b"").decode()
            key = request.header(b"authorization")
            self.assertEqual(f"Bearer pgk_{organisation}_secret".encode(), key)
            self.assertEqual(
                request.method == "POST", request.header(b"idempotency-key") is not None
            )

    async def test_wrong_responses_are_found(self) -> None:
        """A response to another request must not count as goodput."""
        self.swap_ids = True
        records = await self.run_shards(self.document())
        wrong = {record.request_id for record in records if record.wrong}
        self.assertEqual({r.request_id for r in records if r.request_id.endswith("7")}, wrong)
        self.assertTrue(wrong)

    async def test_hard_retries_multiply_the_load(self) -> None:
        """Retries must reach the node as more requests without adding records."""
        self.status = 503
        records = await self.run_shards(self.document(retries="hard", duration_s=0.5))
        self.assertEqual(len(self.requests), sum(record.attempts for record in records))
        self.assertGreater(len(self.requests), 2 * len(records))
        self.assertEqual({"overloaded"}, {record.reason for record in records})

    def test_settings_reject_unknown_fields(self) -> None:
        """With an ignored misspelt field the load would silently use a default."""
        with self.assertRaises(ValueError):
            LoadDocument.model_validate_json(orjson.dumps({"workloads": "residencies"}))
