"""Decodes what an endpoint states about itself in the header fields of a response."""

from __future__ import annotations

import re

from pollenglade_core.serving.endpoint_statement import EndpointStatement
from pollenglade_core.serving.endpoint_statement import checked_pace
from pollenglade_net.http_message import Headers

from .header_names import HeaderNames

RATE_LIMIT_PATTERN = re.compile(rb"\d{1,12}(\.\d{1,12})?")
"""A decimal number without sign or exponent."""

MILLISECONDS_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,12})?")
"""Milliseconds without sign or exponent, up to eleven days."""

LOAD_PATTERN = re.compile(rb"(?:\s*\d{1,9}\s*,){3}\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
"""Running and waiting requests and slots, and the pace in percent."""

SLOTS_PATTERN = re.compile(rb"[^,]*,[^,]*,\s*(\d{1,9})\s*(?:,|$)")
"""The third item of the same field."""

USUAL_PACE = 100.0
"""Pace field of an endpoint at which work takes as long as usual."""


def read_statement(names: HeaderNames, headers: Headers) -> EndpointStatement:
    """Return the statement of a response.

    If limits are given more than once, the lowest one counts. Values that are no decimal number are
    ignored beside a valid one. A malformed load field states no pace.
    """
    pace: float | None = None
    limits: list[float] = []
    names_limit = leaving = False
    warm_up_left_s: float | None = None
    for name, value in headers:
        if name in names.rate_limit:
            names_limit = True
            items = [item.strip() for item in value.split(b",")]
            limits += [float(item) for item in items if RATE_LIMIT_PATTERN.fullmatch(item)]
        elif name in names.leaving:
            leaving = leaving or value.strip() == b"1"
        elif name == names.load and (match := LOAD_PATTERN.fullmatch(value)):
            pace = checked_pace(float(match[1]) / USUAL_PACE)
        elif name == names.warm_up_ms and MILLISECONDS_PATTERN.fullmatch(value.strip()):
            warm_up_left_s = float(value) / 1000
    has_legible_limit = bool(limits) or not names_limit
    return EndpointStatement(
        min(limits, default=None), leaving, has_legible_limit, warm_up_left_s, pace
    )


def read_slots(names: HeaderNames, headers: Headers) -> int:
    """Return the number of slots that a response states; 0 if it states none."""
    for name, value in headers:
        if name == names.load and (match := SLOTS_PATTERN.match(value)):
            return int(match[1])
    return 0
