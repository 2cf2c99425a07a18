"""The response to a call that has no response of a target."""

from __future__ import annotations

from math import ceil

import orjson

from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.exchange import Exchange
from pollenglade_net.http_message import Headers


def respond_refusal(exchange: Exchange, refusal: Refusal) -> None:
    """Answer a call that has no response of a target."""
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"pollenglade-outcome", refusal.outcome.value.encode()),
        (b"pollenglade-reason", refusal.reason.value.encode()),
    ]
    if refusal.retry_after_s is not None:
        # Retry-After has whole seconds; the exact delay in milliseconds is in a field of its own.
        headers.append((b"retry-after", b"%d" % max(1, ceil(refusal.retry_after_s))))
        delay_ms = int(refusal.retry_after_s * 1000)
        headers.append((b"pollenglade-retry-after-ms", b"%d" % delay_ms))
    document = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
    exchange.respond(refusal.status, headers, orjson.dumps(document))
