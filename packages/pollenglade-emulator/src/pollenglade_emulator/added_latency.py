"""Latency that nodes add, measured by calls through a node interleaved with direct calls."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure

from .load import judge
from .measures import LatencyHistogram
from .records import REQUEST_HEADER
from .records import WORK_HEADER

PAIR_INTERVAL_S = 0.05
WORK_MS = 2
"""Fixed service time of a probe, so that its spread does not hide the added latency."""

TIMEOUT_S = 5.0


@dataclass(frozen=True)
class ProbePath:
    """The two ways to one service: through an entry node with a key, and straight to a target."""

    service: str
    entry: Address
    target: Address
    key: str


@dataclass
class AddedLatency:
    """Latencies of both ways; only pairs of which both calls succeeded count."""

    through_node: LatencyHistogram = field(default_factory=LatencyHistogram)
    direct: LatencyHistogram = field(default_factory=LatencyHistogram)
    failed_pairs: int = 0
    wrong: int = 0

    def added_s(self, quantile: float) -> float:
        """Return the difference of the two quantiles in seconds."""
        return self.through_node.quantile_s(quantile) - self.direct.quantile_s(quantile)


class LatencyProbe:
    """Sends pairs of calls until it is cancelled or the duration has passed."""

    def __init__(self, paths: Sequence[ProbePath], run_id: str) -> None:
        self._paths = paths
        self._run_id = run_id
        self._client = HttpClient()
        self.result = AddedLatency()

    async def run(self, duration_s: float) -> AddedLatency:
        """Measure for a time; the order within a pair alternates."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        number = 0
        while loop.time() < end_s:
            path = self._paths[number % len(self._paths)]
            await self._pair(path, f"{self._run_id}-{number}", number % 2 == 0)
            number += 1
            await asyncio.sleep(PAIR_INTERVAL_S)
        await self._client.close()
        return self.result

    async def _pair(self, path: ProbePath, request_id: str, node_first: bool) -> None:
        target_path = f"/probe/{request_id}"
        headers: Headers = [
            (REQUEST_HEADER, request_id.encode()),
            (WORK_HEADER, b"%d" % WORK_MS),
        ]
        keyed = [*headers, (b"authorization", b"Bearer " + path.key.encode())]
        times: dict[bool, float | None] = {}
        for through_node in (node_first, not node_first):
            if through_node:
                way = (path.entry, f"/{path.service}{target_path}", keyed)
            else:
                way = (path.target, target_path, headers)
            times[through_node] = await self._time(*way, request_id, target_path, through_node)
        node_s, direct_s = times[True], times[False]
        if node_s is None or direct_s is None:
            self.result.failed_pairs += 1
            return
        self.result.through_node.record(node_s)
        self.result.direct.record(direct_s)

    async def _time(
        self,
        address: Address,
        target: str,
        headers: Headers,
        request_id: str,
        target_path: str,
        through_node: bool,
    ) -> float | None:
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        response = await self._client.request(address, "GET", target, headers, timeout_s=TIMEOUT_S)
        spent_s = loop.time() - before_s
        if isinstance(response, HttpFailure) or response.status != 200:
            return None
        if through_node and judge(response, request_id, target_path).wrong:
            self.result.wrong += 1
            return None
        return spent_s
