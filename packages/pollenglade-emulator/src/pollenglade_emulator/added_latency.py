"""Latency that nodes add, measured by pairs of a call through a node and a direct call."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure

from .load import check_response
from .measures import LatencyHistogram
from .records import REQUEST_HEADER
from .records import WORK_HEADER

PAIR_INTERVAL_S = 0.05
WORK_MS = 2
"""Fixed service time of a probe, so that its variance does not hide the added latency."""

TIMEOUT_S = 5.0


@dataclass(frozen=True)
class ProbePath:
    """Two paths to a service: through an entry node with a key, and directly to a target."""

    service: str
    entry: Address
    target: Address
    key: str


@dataclass
class AddedLatency:
    """Latencies of both paths; only pairs in which both calls succeeded are recorded."""

    through_node: LatencyHistogram = field(default_factory=LatencyHistogram)
    direct: LatencyHistogram = field(default_factory=LatencyHistogram)
    failed_pairs: int = 0
    wrong: int = 0

    def added_s(self, quantile: float) -> float:
        """Return the difference of the quantiles of both paths in seconds."""
        return self.through_node.quantile_s(quantile) - self.direct.quantile_s(quantile)


class LatencyProbe:
    """Sends pairs of calls for a given time; an instance runs once."""

    def __init__(self, paths: Sequence[ProbePath], run_id: str) -> None:
        self._paths = paths
        self._run_id = run_id
        self._client = HttpClient()
        self.result = AddedLatency()

    async def run(self, duration_s: float) -> AddedLatency:
        """Measure for a duration; the order of the calls alternates between pairs."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        number = 0
        while loop.time() < end_s:
            path = self._paths[number % len(self._paths)]
            await self._measure_pair(path, f"{self._run_id}-{number}", number % 2 == 0)
            number += 1
            await asyncio.sleep(PAIR_INTERVAL_S)
        await self._client.close()
        return self.result

    async def _measure_pair(self, path: ProbePath, request_id: str, node_first: bool) -> None:
        target_path = f"/probe/{request_id}"
        headers: Headers = [
            (REQUEST_HEADER, request_id.encode()),
            (WORK_HEADER, b"%d" % WORK_MS),
        ]
        headers_with_key = [*headers, (b"authorization", b"Bearer " + path.key.encode())]
        latencies_s: dict[bool, float | None] = {}
        for through_node in (node_first, not node_first):
            if through_node:
                request = (path.entry, f"/{path.service}{target_path}", headers_with_key)
            else:
                request = (path.target, target_path, headers)
            latencies_s[through_node] = await self._measure_call(
                *request, request_id, target_path, through_node
            )
        node_s, direct_s = latencies_s[True], latencies_s[False]
        if node_s is None or direct_s is None:
            self.result.failed_pairs += 1
            return
        self.result.through_node.record(node_s)
        self.result.direct.record(direct_s)

    async def _measure_call(
        self,
        address: Address,
        target: str,
        headers: Headers,
        request_id: str,
        target_path: str,
        through_node: bool,
    ) -> float | None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = await self._client.request(address, "GET", target, headers, timeout_s=TIMEOUT_S)
        latency_s = loop.time() - started_s
        if isinstance(response, HttpFailure) or response.status != 200:
            return None
        if through_node and check_response(response, request_id, target_path).wrong:
            self.result.wrong += 1
            return None
        return latency_s
