"""Cuts the call counts into numbered batches and serves them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import asdict
from urllib.parse import parse_qs

import structlog

from pollenglade_core.calls.call_counts import CallCounts
from pollenglade_core.calls.call_counts import CountBatch
from pollenglade_core.calls.outcome import Outcome
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.http_message import json_response

from .call_counter import CALLER_REASONS
from .call_counter import CallCounter
from .call_counter import CallKey

BATCH_INTERVAL_S = 10.0
MAX_DIGITS = 20

UNKNOWN_NAME = "(unknown)"
"""Stands for the organisation, service and profile of a request that was refused before they were
known; no name in a profile has parentheses."""

log = structlog.get_logger()


class CountBatches:
    """Owner of the batches of a node."""

    def __init__(
        self, node: str, incarnation: int, counter: CallCounter, log_interval_s: float = 0.0
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._counter = counter
        self._log_interval_s = log_interval_s
        self._counts = CallCounts(node, incarnation)
        self._reported_by_key: dict[CallKey, tuple[int, int]] = {}
        self._timer_by_name: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Cut a batch now and at each interval from then on."""
        self._cut_and_repeat()
        if self._log_interval_s > 0.0:
            self._log_and_repeat()

    def _cut_and_repeat(self) -> None:
        self.cut(time.time())
        loop = asyncio.get_running_loop()
        self._timer_by_name["cut"] = loop.call_later(BATCH_INTERVAL_S, self._cut_and_repeat)

    def _log_and_repeat(self) -> None:
        self.log_totals()
        loop = asyncio.get_running_loop()
        self._timer_by_name["log"] = loop.call_later(self._log_interval_s, self._log_and_repeat)

    def cut(self, ended_at: float) -> None:
        """Close a batch with all calls that ended since the last one."""
        totals = {
            key: (tally.calls, tally.bad) for key, tally in self._counter.tally_by_key.items()
        }
        for reason, calls in self._counter.refused_by_reason.items():
            names = (UNKNOWN_NAME, UNKNOWN_NAME, UNKNOWN_NAME)
            bad = 0 if reason in CALLER_REASONS else calls
            totals[CallKey(*names, Outcome.NOT_RUN, reason.value)] = (calls, bad)
        for key, (calls, bad) in totals.items():
            known_calls, known_bad = self._reported_by_key.get(key, (0, 0))
            if calls > known_calls:
                self._counts.add(*key[:4], calls - known_calls, bad - known_bad)
        self._reported_by_key = totals
        self._counts.cut(ended_at)

    def since(self, sequence: int) -> tuple[CountBatch, ...]:
        """Return the kept batches with a higher sequence number."""
        return self._counts.batches_since(sequence)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/counts?since=<sequence>` with the kept batches after that one."""
        query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
        text = query.get("since", ["0"])[0]
        batches = self.since(int(text) if text.isdecimal() and len(text) < MAX_DIGITS else 0)
        document = {
            "node": self._node,
            "incarnation": self._incarnation,
            "batches": [asdict(batch) for batch in batches],
        }
        return json_response(200, document)

    def log_totals(self) -> None:
        """Write one line with the calls since the start by outcome and by reason."""
        by_outcome: Counter[str] = Counter()
        by_reason: Counter[str] = Counter()
        for reason, calls in self._counter.refused_by_reason.items():
            by_reason[reason.value] += calls
        by_outcome[Outcome.NOT_RUN.value] += by_reason.total()
        for key, tally in self._counter.tally_by_key.items():
            by_outcome[key.outcome.value] += tally.calls
            if key.reason:
                by_reason[key.reason] += tally.calls
        log.info("call_totals", by_outcome=dict(by_outcome), by_reason=dict(by_reason))

    def close(self) -> None:
        """Stop the timers and log the totals, because nobody can read the last batch any more."""
        for timer in self._timer_by_name.values():
            timer.cancel()
        self.log_totals()
