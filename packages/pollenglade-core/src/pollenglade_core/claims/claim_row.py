"""Platform row that records the claim and outcome of a non-idempotent call."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

MAX_INLINE_BODY_BYTES = 64 * 1024
"""Largest response body stored in a row; longer ones would put load on the table service."""


class RowState(StrEnum):
    """Recorded state of the call."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A complete response of a target; `body` is None if it was too long to be stored."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""

    def for_row(self) -> RecordedResponse:
        """Return the response to store, without its body if that is too long for the row."""
        if self.body is None or len(self.body) <= MAX_INLINE_BODY_BYTES:
            return self
        return RecordedResponse(self.status, self.headers, None)


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """A row that cannot be decoded; its call may have run and must not run again."""

    detail: str


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim; `entry_node` consists of the entry node's name and incarnation.

    `attempt_id` is unique for each request that reaches an entry node, including repeats.
    """

    organisation: str
    key_hash: str
    attempt_id: str
    fingerprint: str
    entry_node: str
    state: RowState = RowState.CLAIMED
    response: RecordedResponse | None = None

    @property
    def name(self) -> str:
        """Name of the row in the table service."""
        return f"claims/{self.organisation}/{self.key_hash}"

    def to_wire(self) -> dict[str, object]:
        """Return the row as a JSON-compatible mapping."""
        wire: dict[str, object] = {
            "organisation": self.organisation,
            "key_hash": self.key_hash,
            "attempt_id": self.attempt_id,
            "fingerprint": self.fingerprint,
            "entry_node": self.entry_node,
            "state": self.state.value,
        }
        if self.response is not None:
            body = self.response.body
            wire["status"] = self.response.status
            wire["headers"] = [list(pair) for pair in self.response.headers]
            wire["body"] = None if body is None else b64encode(body).decode("ascii")
        return wire

    @classmethod
    def from_wire(cls, wire: Mapping[str, object]) -> ClaimRow | InvalidRow:
        """Decode a row; unknown fields are ignored, so that newer nodes can add fields."""
        try:
            return cls(
                organisation=_string_field(wire, "organisation"),
                key_hash=_string_field(wire, "key_hash"),
                attempt_id=_string_field(wire, "attempt_id"),
                fingerprint=_string_field(wire, "fingerprint"),
                entry_node=_string_field(wire, "entry_node"),
                state=(state := RowState(_string_field(wire, "state"))),
                response=_recorded_response(wire) if state is RowState.DONE else None,
            )
        except (KeyError, TypeError, ValueError) as error:
            return InvalidRow(f"claim row cannot be read: {error!r}")


def hash_idempotency_key(idempotency_key: str) -> str:
    """Return the SHA-256 hash of an idempotency key in hexadecimal."""
    return sha256(idempotency_key.encode("utf-8", "surrogateescape")).hexdigest()


def _string_field(wire: Mapping[str, object], field: str) -> str:
    value = wire[field]
    if not isinstance(value, str):
        raise TypeError(f"{field} is not a string")
    return value


def _recorded_response(wire: Mapping[str, object]) -> RecordedResponse:
    status, headers, body = wire["status"], wire["headers"], wire["body"]
    if not isinstance(status, int) or not isinstance(headers, list):
        raise TypeError("status is not an integer or headers is not a list")
    if body is not None and not isinstance(body, str):
        raise TypeError("body is not a string")
    header_pairs = tuple((str(name), str(value)) for name, value in headers)
    return RecordedResponse(
        status, header_pairs, None if body is None else b64decode(body, validate=True)
    )
