"""Messages of the link between two nodes: msgpack arrays whose first element is the kind.

Additional elements and unknown kinds are ignored, so that nodes of two releases can work together
during a rolling replacement.
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
from pollenglade_core.numbers import MAX_SECONDS
from pollenglade_core.numbers import is_in_range

from .http_head import MAX_FIELDS
from .http_message import Headers
from .http_message import HttpRequest

LOWEST_VERSION = 1
HIGHEST_VERSION = 2

BODY_PARTS_VERSION = 2
"""Lowest version of the format in which a large request body is sent in parts."""

BODY_PART_BYTES = 128 * 1024
"""Size of the parts of a request body, and of the largest body that is sent with the request.

Other messages, such as pings, are sent between the parts.
"""

MAX_LINK_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a body, or of a part of one, in one message."""

MAX_MESSAGE_BYTES = MAX_LINK_BODY_BYTES + 64 * 1024
"""Maximum size of a message: the largest body, and 64 KiB for the other fields."""

READ_AHEAD_BYTES = 512 * 1024
"""Space in the decoder's buffer for data that is read together with the end of a message."""

INITIAL_BUFFER_BYTES = 16 * 1024
"""Size of a decoder's buffer before it grows with a larger message; most messages are smaller.

By default msgpack allocates 1 MiB, all of which is touched in turn even by small messages.
"""

MAX_CONTAINER_ITEMS = 2 * MAX_FIELDS
"""Maximum number of elements of an array or entries of a map; a message with more is malformed.

A peer closes the link on such a message, so the fields of a request or response must fit, also
those that the nodes add.
"""


class Kind(IntEnum):
    """Kind of a message, its first element."""

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
    REQUEST_BODY = 13


class LinkError(Exception):
    """A message that violates the link format."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction, with the supported range of format versions."""

    node: str
    incarnation: int
    zone: str
    lowest_version: int = LOWEST_VERSION
    highest_version: int = HIGHEST_VERSION

    def to_wire(self) -> bytes:
        """Encode the message."""
        return pack(
            [
                Kind.HELLO,
                self.lowest_version,
                self.highest_version,
                self.node,
                self.incarnation,
                self.zone,
            ]
        )

    @classmethod
    def from_wire(cls, message: Sequence[object]) -> Hello:
        """Decode the message; raise LinkError if a field is missing or has the wrong type."""
        lowest_version, highest_version, node, incarnation, zone = _checked_fields(
            message, 5, int, int, str, int, str
        )
        return cls(node, incarnation, zone, lowest_version, highest_version)

    def highest_common_version(self, other: Hello) -> int | None:
        """Return the highest version that both ends support, or None."""
        version = min(self.highest_version, other.highest_version)
        return version if version >= max(self.lowest_version, other.lowest_version) else None


@dataclass(frozen=True, slots=True)
class Feedback:
    """Feedback that a serving node adds to each final message of a call.

    `unused_retries` is the number of unused retries in the allowance that came with the call. The
    serving node currently refuses calls below the importance `admission_level`, and the fraction
    `level_fraction` of calls at that level. `target_s` is the time at the target in seconds; only
    responses have it. `usage` has one entry per service of the call tree: its name, calls, slot
    seconds and seconds in queues. `load_report` has the running and waiting calls, the limit, the
    expected seconds at the endpoint and its failure rate. `usage` and `load_report` are empty if
    the peer does not report them.
    """

    unused_retries: int = 0
    admission_level: int = 0
    level_fraction: float = 0.0
    target_s: float = 0.0
    usage: tuple[tuple[str, float, float, float], ...] = ()
    load_report: tuple[float, ...] = ()


def _is_compatible(value: object, expected: type) -> bool:
    accepted = (int, float) if expected is float else expected
    return isinstance(value, accepted) and not isinstance(value, bool)


def _checked_fields(message: Sequence[Any], count: int, *types: type) -> list[Any]:
    if len(message) < count + 1:
        raise LinkError(f"message of kind {message[0]!r} has {len(message) - 1} of {count} fields")
    fields = list(message[1 : count + 1])
    for position, (value, expected) in enumerate(zip(fields, types, strict=False), start=1):
        # Nearly all fields have exactly the expected type; other compatible types are rare.
        if type(value) is not expected and not _is_compatible(value, expected):
            raise LinkError(
                f"message of kind {message[0]!r}: field {position} is "
                f"{type(value).__name__}, not {expected.__name__}"
            )
    return fields


def pack(message: Sequence[object]) -> bytes:
    """Encode one message."""
    return bytes(msgpack.packb(message, use_bin_type=True))


def new_unpacker() -> msgpack.Unpacker:
    """Return a streaming decoder that enforces the size limits of the link."""
    return msgpack.Unpacker(
        raw=False,
        strict_map_key=True,
        read_size=INITIAL_BUFFER_BYTES,
        max_buffer_size=MAX_MESSAGE_BYTES + READ_AHEAD_BYTES,
        max_bin_len=MAX_LINK_BODY_BYTES,
        max_str_len=64 * 1024,
        max_array_len=MAX_CONTAINER_ITEMS,
        max_map_len=MAX_CONTAINER_ITEMS,
        max_ext_len=0,
    )


def pack_request(
    stream: int,
    context: CallContext,
    request: HttpRequest,
    now: float,
    sends_parts: bool = False,
) -> bytes:
    """Encode a call; deadline and objective are sent as milliseconds remaining after `now`.

    If the body is sent in parts, the message has its size in place of it.
    """
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
        context.may_wait,
    ]
    return pack(
        [
            Kind.REQUEST,
            stream,
            wire_context,
            request.method,
            request.target,
            request.headers,
            *((b"", len(request.body)) if sends_parts else (request.body,)),
        ]
    )


def pack_request_body(stream: int, data: bytes | bytearray) -> bytes:
    """Encode a part of the body of a call."""
    return pack([Kind.REQUEST_BODY, stream, data])


def unpack_body_size(message: Sequence[object]) -> int:
    """Return the size of the body that follows a call in parts; 0 if the call is complete."""
    size = message[7] if len(message) > 7 else 0
    if not isinstance(size, int) or size < 0:
        raise LinkError("the size of a request body is not a whole number")
    return size


def unpack_request(message: Sequence[object], now: float) -> tuple[CallContext, HttpRequest]:
    """Decode a call; raise LinkError if a field is missing or has the wrong type."""
    _, wire, method, target, headers, body = _checked_fields(
        message, 6, int, list, str, bytes, list, bytes
    )
    context = _unpack_context([0, *wire], now)
    request = HttpRequest(method, target, unpack_headers(headers), body)
    return context, request


def _unpack_context(wire: Sequence[object], now: float) -> CallContext:
    fields = _checked_fields(wire, 12, str, str, str, str, int, int, int, int, int, bool, str, int)
    call_id, organisation, profile, service, importance, remaining_ms = fields[:6]
    allowance, weight, depth, idempotent, fingerprint, crash_count = fields[6:]
    objective_ms, nested, rank = wire[13:16] if len(wire) >= 16 else (remaining_ms, False, 0)
    may_wait = len(wire) < 17 or wire[16] is not False
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
        may_wait=may_wait,
    )


def unpack_headers(value: object) -> Headers:
    """Decode header fields; raise LinkError if a field is not a pair of byte strings."""
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
    """Encode the head of a response and the first chunk of its body.

    `end` is True if the body is complete in this message.
    """
    return pack(
        [
            Kind.RESPONSE,
            stream,
            status,
            headers,
            body,
            end,
            feedback.unused_retries,
            feedback.admission_level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load_report,
        ]
    )


def pack_body(stream: int, data: bytes, end: bool, feedback: Feedback) -> bytes:
    """Encode a further chunk of the body; `end` marks the last one."""
    return pack(
        [
            Kind.BODY,
            stream,
            data,
            end,
            feedback.unused_retries,
            feedback.admission_level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load_report,
        ]
    )


def pack_refusal(kind: Kind, stream: int, refusal: Refusal, feedback: Feedback) -> bytes:
    """Encode a refusal, or with kind FAILED the failure of a response that had started."""
    return pack(
        [
            kind,
            stream,
            refusal.reason.value,
            refusal.outcome.value,
            refusal.retry_after_s,
            refusal.detail,
            feedback.unused_retries,
            feedback.admission_level,
            feedback.level_fraction,
            feedback.target_s,
            feedback.usage,
            feedback.load_report,
        ]
    )


def unpack_refusal(message: Sequence[object]) -> tuple[Refusal, Feedback]:
    """Decode a refusal; raise LinkError if a field is missing or has the wrong type.

    An unknown reason from a later release becomes LINK_FAILED, an unknown outcome UNKNOWN.
    """
    _, reason_text, outcome_text, retry_after, detail, unspent, level, fraction = _checked_fields(
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
    retry_after_s = float(retry_after) if is_in_range(retry_after, 0.0, MAX_SECONDS) else None
    refusal = Refusal(reason, outcome, retry_after_s, detail)
    usage, load = _unpack_usage_and_load(message, 10)
    return refusal, Feedback(unspent, level, fraction, usage=usage, load_report=load)


def unpack_feedback(message: Sequence[object], position: int) -> Feedback:
    """Decode the feedback that starts at index `position`; missing elements get their defaults.

    Raises LinkError if an element has the wrong type.
    """
    values = message[position : position + 4]
    if len(values) < 3:
        return Feedback()
    unspent, level, *numbers = values
    if not isinstance(unspent, int) or not isinstance(level, int):
        raise LinkError("feedback is not a number")
    fractions = [
        float(item) if isinstance(item, int | float) and 0.0 <= item <= MAX_SECONDS else 0.0
        for item in numbers
    ]
    fraction, target_s = (*fractions, 0.0)[:2]
    usage, load = _unpack_usage_and_load(message, position + 4)
    return Feedback(unspent, level, fraction, target_s, usage, load)


def _unpack_usage_and_load(
    message: Sequence[object], position: int
) -> tuple[tuple[tuple[str, float, float, float], ...], tuple[float, ...]]:
    """Decode the usage and load of feedback; peers of an older release send neither."""
    if len(message) < position + 2:
        return (), ()
    usage, load = message[position : position + 2]
    if not isinstance(usage, list) or not isinstance(load, list):
        raise LinkError("the usage or the load of feedback is not an array")
    items: list[tuple[str, float, float, float]] = []
    for item in usage:
        if not isinstance(item, list) or len(item) != 4 or not isinstance(item[0], str):
            raise LinkError("a usage is not a service with three numbers")
        calls, slot_s, wait_s = (_checked_number(value) for value in item[1:])
        # A figure that is none would stay in each average that it enters.
        if (
            0.0 <= calls <= MAX_SECONDS
            and 0.0 <= slot_s <= MAX_SECONDS
            and 0.0 <= wait_s <= MAX_SECONDS
        ):
            items.append((item[0], calls, slot_s, wait_s))
    return tuple(items), tuple(_checked_number(value) for value in load)


def _checked_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise LinkError(f"feedback has {type(value).__name__} in place of a number")
    return float(value)
