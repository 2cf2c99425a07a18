"""The HTTP response to a call that ends without a response from a target."""

from __future__ import annotations

from math import ceil

import orjson

from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers


def send_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Send outcome, reason, detail and retry delay of a refusal to the caller."""
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"pollenglade-outcome", refusal.outcome.value.encode()),
        (b"pollenglade-reason", refusal.reason.value.encode()),
    ]
    if refusal.retry_after_s is not None:
        # Retry-After holds whole seconds, so a separate header carries the delay in milliseconds.
        headers.append((b"retry-after", b"%d" % max(1, ceil(refusal.retry_after_s))))
        delay_ms = int(refusal.retry_after_s * 1000)
        headers.append((b"pollenglade-retry-after-ms", b"%d" % delay_ms))
    body = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
    exchange.respond(refusal.status, headers, orjson.dumps(body))
