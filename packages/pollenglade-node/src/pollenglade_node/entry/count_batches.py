"""Groups the call counts into numbered batches and serves them over HTTP."""

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

from .call_counter import CALLER_FAULT_REASONS
from .call_counter import CallCounter
from .call_counter import CallKey

BATCH_INTERVAL_S = 10.0
MAX_SEQUENCE_DIGITS = 20

UNKNOWN_NAME = "(unknown)"
"""Placeholder for an organisation, service or profile that is unknown when a request is refused.

Names in profiles cannot contain parentheses, so the placeholder never equals a real name.
"""

log = structlog.get_logger()


class CountBatches:
    """Closes, retains and serves the call-count batches of a node."""

    def __init__(
        self, node: str, incarnation: int, counter: CallCounter, log_interval_s: float = 0.0
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._counter = counter
        self._log_interval_s = log_interval_s
        self._counts = CallCounts(node, incarnation)
        self._batched_totals_by_key: dict[CallKey, tuple[int, int]] = {}
        self._timer_by_name: dict[str, asyncio.TimerHandle] = {}

    def start(self) -> None:
        """Close a batch now and then every `BATCH_INTERVAL_S`; log totals if that is enabled."""
        self._close_batch_and_reschedule()
        if self._log_interval_s > 0.0:
            self._log_totals_and_reschedule()

    def _close_batch_and_reschedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer_by_name["batch"] = loop.call_later(
            BATCH_INTERVAL_S, self._close_batch_and_reschedule
        )
        self.close_batch(time.time())

    def _log_totals_and_reschedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer_by_name["log"] = loop.call_later(
            self._log_interval_s, self._log_totals_and_reschedule
        )
        self.log_totals()

    def close_batch(self, ended_at: float) -> None:
        """Close a batch with all calls that ended since the previous batch.

        `ended_at` is the wall-clock time of the end of the batch, in seconds since the epoch.
        """
        totals = {
            key: (tally.calls, tally.bad) for key, tally in self._counter.tally_by_key.items()
        }
        for reason, calls in self._counter.refused_by_reason.items():
            names = (UNKNOWN_NAME, UNKNOWN_NAME, UNKNOWN_NAME)
            bad = 0 if reason in CALLER_FAULT_REASONS else calls
            totals[CallKey(*names, Outcome.NOT_RUN, reason.value)] = (calls, bad)
        for key, (calls, bad) in totals.items():
            batched_calls, batched_bad = self._batched_totals_by_key.get(key, (0, 0))
            if calls > batched_calls:
                self._counts.add(*key[:4], calls - batched_calls, bad - batched_bad)
        self._batched_totals_by_key = totals
        self._counts.close_batch(ended_at)

    def batches_after(self, sequence: int) -> tuple[CountBatch, ...]:
        """Return the retained batches whose sequence number is above `sequence`."""
        return self._counts.batches_since(sequence)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/counts?since=<sequence>` with the retained batches after `sequence`."""
        query = parse_qs(request.target.partition(b"?")[2].decode("ascii", "replace"))
        text = query.get("since", ["0"])[0]
        batches = self.batches_after(
            int(text) if text.isdecimal() and len(text) < MAX_SEQUENCE_DIGITS else 0
        )
        document = {
            "node": self._node,
            "incarnation": self._incarnation,
            "batches": [asdict(batch) for batch in batches],
        }
        return json_response(200, document)

    def log_totals(self) -> None:
        """Log the calls since the start of the process by outcome and by reason."""
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
        """Stop the timers and log the totals, because the last batch can no longer be read."""
        for timer in self._timer_by_name.values():
            timer.cancel()
        self.log_totals()
