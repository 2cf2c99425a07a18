"""Messages of the link between two nodes: msgpack arrays that start with a kind.

A reader ignores elements beyond those that it knows and kinds that it does not know, so that nodes
of two releases can work together during a rolling replacement.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.importance import Importance
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.calls.retry import RetryAllowance

from .http_message import Headers
from .http_message import HttpRequest

LOWEST_VERSION = 1
HIGHEST_VERSION = 1

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest request body on a link, that of the largest request which an entry node holds."""

MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 64 * 1024
READ_AHEAD_BYTES = 512 * 1024
MAX_ITEMS = 1024


class Kind(IntEnum):
    """First element of every message."""

    HELLO = 0
    REQUEST = 1
    RESPONSE = 2
    BODY = 3
    CANCEL = 4
    WINDOW = 5
    PING = 6
    PONG = 7
    DRAIN = 8
    REFUSED = 9
    FAILED = 10
    ASK = 11
    ANSWER = 12


class LinkError(Exception):
    """A message that breaks the format of the link."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction."""

    node: str
    incarnation: int
    zone: str
    lowest: int = LOWEST_VERSION
    highest: int = HIGHEST_VERSION

    def to_wire(self) -> bytes:
        """Encode the message."""
        return pack([Kind.HELLO, self.lowest, self.highest, self.node, self.incarnation, self.zone])

    @classmethod
    def from_wire(cls, message: Sequence[object]) -> Hello:
        """Decode the message; raise LinkError where a field is missing or has another type."""
        lowest, highest, node, incarnation, zone = _fields(message, 5, int, int, str, int, str)
        return cls(node, incarnation, zone, lowest, highest)

    def version_with(self, other: Hello) -> int | None:
        """Return the highest version that both ranges contain, or None."""
        version = min(self.highest, other.highest)
        return version if version >= max(self.lowest, other.lowest) else None


@dataclass(frozen=True, slots=True)
class Feedback:
    """What a serving node tells the entry node with every final message of a call.

    `unspent` is the part of the lent retry allowance that was not used. Calls below the importance
    `level` are refused at present, and the fraction `level_fraction` of those at the level.
    `target_s` is the time at the target in seconds; it is sent with responses only. `usage` has the
    calls, slot seconds and seconds in queues of the call tree by service. `load` has the running
    and waiting calls, the limit, the expected seconds at the endpoint and its failure rate. Both
    are empty where the peer does not tell.
    """

    unspent: int = 0
    level: int = 0
    level_fraction: float = 0.0
    target_s: float = 0.0
    usage: tuple[tuple[str, float, float, float], ...] = ()
    load: tuple[float, ...] = ()


def _is_accepted(value: object, kind: type) -> bool:
    accepted = (int, float) if kind is float else kind
    return isinstance(value, accepted) and not isinstance(value, bool)


def _fields(message: Sequence[Any], count: int, *types: type) -> list[Any]:
    if len(message) < count + 1:
        raise LinkError(f"message of kind {message[0]!r} has {len(message) - 1} of {count} fields")
    fields = list(message[1 : count + 1])
    for position, (value, kind) in enumerate(zip(fields, types, strict=False), start=1):
        # Nearly all fields have exactly the type; the other forms that are accepted are rare.
        if type(value) is not kind and not _is_accepted(value, kind):
            raise LinkError(
                f"message of kind {message[0]!r}: field {position} is "
                f"{type(value).__name__}, not {kind.__name__}"
            )
    return fields


def pack(message: Sequence[object]) -> bytes:
    """Encode one message."""
    return bytes(msgpack.packb(message, use_bin_type=True))


def new_unpacker() -> msgpack.Unpacker:
    """Return a streaming decoder with the size limits of the link."""
    return msgpack.Unpacker(
        raw=False,
        strict_map_key=True,
        max_buffer_size=MAX_MESSAGE_BYTES + READ_AHEAD_BYTES,
        max_bin_len=MAX_BODY_BYTES,
        max_str_len=64 * 1024,
        max_array_len=MAX_ITEMS,
        max_map_len=MAX_ITEMS,
        max_ext_len=0,
    )


def pack_request(stream: int, context: CallContext, request: HttpRequest, now: float) -> bytes:
    """Encode a call; the deadline travels as the remaining time in milliseconds."""
    wire_context = [
        context.call_id,
        context.organisation,
        context.profile,
        context.service,
        int(context.importance),
        int(context.remaining_s(now) * 1000),
        context.allowance.remaining,
        context.weight,
        context.depth,
        context.idempotent,
        context.fingerprint,
        context.crash_count,
        int((context.objective_at - now) * 1000),
        context.nested,
        context.rank,
    ]
    return pack(
        [
            Kind.REQUEST,
            stream,
            wire_context,
            request.method,
            request.target,
            request.headers,
            request.body,
        ]
    )


def unpack_request(message: Sequence[object], now: float) -> tuple[CallContext, HttpRequest]:
    """Decode a call; raise LinkError where a field is missing or has another type."""
    _, wire, method, target, headers, body = _fields(message, 6, int, list, str, bytes, list, bytes)
    context = _context([0, *wire], now)
    request = HttpRequest(method, target, unpack_headers(headers), body)
    return context, request


def _context(wire: Sequence[object], now: float) -> CallContext:
    fields = _fields(wire, 12, str, str, str, str, int, int, int, int, int, bool, str, int)
    call_id, organisation, profile, service, importance, remaining_ms = fields[:6]
    allowance, weight, depth, idempotent, fingerprint, crash_count = fields[6:]
    objective_ms, nested, rank = wire[13:16] if len(wire) >= 16 else (remaining_ms, False, 0)
    if not isinstance(objective_ms, int) or not isinstance(rank, int):
        raise LinkError("the latency objective or the rank of a call is not a whole number")
    try:
        level = Importance(importance)
    except ValueError:
        level = Importance.NORMAL
    return CallContext(
        call_id=call_id,
        organisation=organisation,
        profile=profile,
        service=service,
        importance=level,
        deadline=now + remaining_ms / 1000,
        allowance=RetryAllowance(max(0, allowance)),
        weight=weight,
        depth=depth,
        idempotent=idempotent,
        fingerprint=fingerprint,
        crash_count=crash_count,
        objective_at=now + objective_ms / 1000,
        nested=nested is True,
        rank=rank,
    )


def unpack_headers(value: object) -> Headers:
    """Decode header fields; raise LinkError where one is not a pair of byte strings."""
    if not isinstance(value, list):
        raise LinkError("the header fields are not an array")
    headers: Headers = []
    for item in value:
        if type(item) is not list or len(item) != 2:
            raise LinkError("a header field is not a pair")
        name, content = item
        if type(name) is not bytes or type(content) is not bytes:
            raise LinkError("a header field is not a pair of byte strings")
        headers.append((name, content))
    return headers


def pack_response(
    stream: int, status: int, headers: Headers, body: bytes, end: bool, feedback: Feedback
) -> bytes:
    """Encode the head of a response with the first part of its body, or the whole of it."""
    return pack(
        [
            Kind.RESPONSE,
            stream,
            status,
            headers,
            body,
            end,
            feedback.unspent,
            feedback.level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load,
        ]
    )


def pack_body(stream: int, data: bytes, end: bool, feedback: Feedback) -> bytes:
    """Encode a further part of the body."""
    return pack(
        [
            Kind.BODY,
            stream,
            data,
            end,
            feedback.unspent,
            feedback.level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load,
        ]
    )


def pack_refusal(kind: Kind, stream: int, refusal: Refusal, feedback: Feedback) -> bytes:
    """Encode a refusal, or with kind FAILED the failure of a response that had begun."""
    return pack(
        [
            kind,
            stream,
            refusal.reason.value,
            refusal.outcome.value,
            refusal.retry_after_s,
            refusal.detail,
            feedback.unspent,
            feedback.level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load,
        ]
    )


def unpack_refusal(message: Sequence[object]) -> tuple[Refusal, Feedback]:
    """Decode a refusal; an unknown reason of a later release becomes LINK_FAILED."""
    _, reason_text, outcome_text, retry_after, detail, unspent, level, fraction = _fields(
        message, 8, int, str, str, object, str, int, int, float
    )
    try:
        reason = Reason(reason_text)
    except ValueError:
        reason = Reason.LINK_FAILED
    try:
        outcome = Outcome(outcome_text)
    except ValueError:
        outcome = Outcome.UNKNOWN
    retry_after_s = float(retry_after) if isinstance(retry_after, int | float) else None
    refusal = Refusal(reason, outcome, retry_after_s, detail)
    usage, load = _usage_and_load(message, 10)
    return refusal, Feedback(unspent, level, fraction, usage=usage, load=load)


def unpack_feedback(message: Sequence[object], position: int) -> Feedback:
    """Decode the feedback that starts at a position; missing elements get their defaults."""
    values = message[position : position + 4]
    if len(values) < 3:
        return Feedback()
    unspent, level, *numbers = values
    if not isinstance(unspent, int) or not isinstance(level, int):
        raise LinkError("feedback is not a number")
    fractions = [float(item) if isinstance(item, int | float) else 0.0 for item in numbers]
    fraction, target_s = (*fractions, 0.0)[:2]
    usage, load = _usage_and_load(message, position + 4)
    return Feedback(unspent, level, fraction, target_s, usage, load)


def _usage_and_load(
    message: Sequence[object], position: int
) -> tuple[tuple[tuple[str, float, float, float], ...], tuple[float, ...]]:
    """Decode the usage and the load of feedback; peers of an older release send neither."""
    if len(message) < position + 2:
        return (), ()
    usage, load = message[position : position + 2]
    if not isinstance(usage, list) or not isinstance(load, list):
        raise LinkError("the usage or the load of feedback is not an array")
    items: list[tuple[str, float, float, float]] = []
    for item in usage:
        if not isinstance(item, list) or len(item) != 4 or not isinstance(item[0], str):
            raise LinkError("a usage is not a service with three numbers")
        calls, slot_s, wait_s = (_number(value) for value in item[1:])
        items.append((item[0], calls, slot_s, wait_s))
    return tuple(items), tuple(_number(value) for value in load)


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise LinkError(f"feedback has {type(value).__name__} in place of a number")
    return float(value)
