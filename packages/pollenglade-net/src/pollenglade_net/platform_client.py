"""Client of the platform's table and object store over HTTP+JSON."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

import orjson

from pollenglade_core.randomness import RandomSource
from pollenglade_core.randomness import jittered

from .address import Address
from .http_client import HttpClient
from .http_message import HttpFailure
from .http_message import HttpResponse
from .platform_api import Absent
from .platform_api import AnswerLost
from .platform_api import ReadResult
from .platform_api import Row
from .platform_api import Stored
from .platform_api import Unavailable
from .platform_api import VersionConflict
from .platform_api import WriteResult
from .platform_api import Written

NOT_EXECUTED_STATUS = frozenset({429, 503})
"""Statuses by which the platform says that it did not execute a request."""


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Bounds on one operation; the longest operation takes about 5 s with these defaults.

    The backoff doubles with each attempt and has jitter.
    """

    attempts: int = 3
    timeout_s: float = 1.0
    backoff_s: float = 0.05


@dataclass(frozen=True, slots=True)
class _Failed:
    """An attempt without a usable answer; `executed` is False where it had no effect."""

    reason: str
    executed: bool


class PlatformClient:
    """Reads and writes rows and objects; implements `Table` and `ObjectStore`."""

    def __init__(
        self,
        address: Address,
        zone: str,
        random: RandomSource,
        limits: PlatformLimits | None = None,
        client: HttpClient | None = None,
    ) -> None:
        self._address = address
        self._headers = [
            (b"pollenglade-zone", zone.encode()),
            (b"content-type", b"application/json"),
        ]
        self._random = random
        self._limits = limits or PlatformLimits()
        self._client = client or HttpClient()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def read(self, name: str) -> ReadResult:
        """Return the current row."""
        answer = await self._retried("GET", _row_target(name))
        if isinstance(answer, _Failed):
            return Unavailable(answer.reason)
        if answer.status == 404:
            return Absent()
        row = _row(_decoded(answer))
        return row or Unavailable("the platform answered with a malformed row")

    async def read_prefix(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        """Return all rows whose name starts with the prefix, by name."""
        answer = await self._retried("GET", "/table?" + urlencode({"prefix": prefix}))
        if isinstance(answer, _Failed):
            return Unavailable(answer.reason)
        body = _decoded(answer)
        items = body.get("rows") if isinstance(body, dict) else None
        rows = [_row(item) for item in items] if isinstance(items, list) else [None]
        whole = tuple(row for row in rows if row is not None)
        if len(whole) != len(rows):
            return Unavailable("the platform answered with malformed rows")
        return whole

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write where the row has the expected version; 0 inserts.

        An attempt without an answer is repeated with the same version and operation id, so at most
        one attempt takes effect, and the row tells which write did.
        """
        body = {
            "value": value,
            "expected_version": expected_version,
            "operation_id": operation_id,
        }
        lost = False
        reason = ""
        for attempt in range(self._limits.attempts):
            await self._pause(attempt)
            answer = await self._attempt("PUT", _row_target(name), orjson.dumps(body))
            if isinstance(answer, _Failed):
                lost, reason = lost or answer.executed, answer.reason
                continue
            result = _write_result(answer, expected_version, operation_id, lost)
            if not isinstance(result, _Failed):
                return result
            lost, reason = True, result.reason
        if not lost:
            return Unavailable(reason)
        return await self._settle(name, expected_version, operation_id, reason)

    async def _settle(
        self, name: str, expected_version: int, operation_id: str, reason: str
    ) -> WriteResult:
        row = await self.read(name)
        if isinstance(row, Row):
            settled = _settled(row, expected_version, operation_id)
            if settled is not None:
                return settled
        return AnswerLost(operation_id, reason)

    async def read_object(self, name: str) -> bytes | Absent | Unavailable:
        """Return the content of an object."""
        answer = await self._retried("GET", f"/objects/{quote(name)}")
        if isinstance(answer, _Failed):
            return Unavailable(answer.reason)
        if answer.status == 404:
            return Absent()
        return answer.body if answer.status == 200 else Unavailable(_status_text(answer))

    async def write_object(self, name: str, data: bytes) -> Stored | Unavailable:
        """Store an object; after `Unavailable` it may be stored or not."""
        answer = await self._retried("PUT", f"/objects/{quote(name)}", data)
        if isinstance(answer, _Failed):
            return Unavailable(answer.reason)
        return Stored() if answer.status < 300 else Unavailable(_status_text(answer))

    async def _retried(self, method: str, target: str, body: bytes = b"") -> HttpResponse | _Failed:
        answer: HttpResponse | _Failed = _Failed("no attempt was allowed", executed=False)
        for attempt in range(self._limits.attempts):
            await self._pause(attempt)
            answer = await self._attempt(method, target, body)
            if isinstance(answer, HttpResponse):
                break
        return answer

    async def _attempt(self, method: str, target: str, body: bytes) -> HttpResponse | _Failed:
        answer = await self._client.request(
            self._address, method, target, self._headers, body, self._limits.timeout_s
        )
        if isinstance(answer, HttpFailure):
            return _Failed(f"{answer.reason}: {answer.detail}", executed=answer.sent)
        if answer.status in NOT_EXECUTED_STATUS:
            return _Failed(_status_text(answer), executed=False)
        if answer.status in (200, 201, 204, 404, 409):
            return answer
        return _Failed(_status_text(answer), executed=answer.status >= 500)

    async def _pause(self, attempt: int) -> None:
        if attempt > 0:
            await asyncio.sleep(jittered(self._limits.backoff_s * 2 ** (attempt - 1), self._random))


def _write_result(
    answer: HttpResponse, expected_version: int, operation_id: str, lost: bool
) -> WriteResult | _Failed:
    body = _decoded(answer)
    if answer.status == 409 and isinstance(body, dict) and "row" in body:
        row = _row(body["row"])
        if body["row"] is not None and row is None:
            return _Failed("malformed row in a conflict", executed=True)
        if row is None:
            return VersionConflict(None)
        settled = _settled(row, expected_version, operation_id)
        if settled is not None or not lost:
            return settled or VersionConflict(row)
        return AnswerLost(operation_id, "later writes hide whether it took effect")
    version = body.get("version") if isinstance(body, dict) else None
    if answer.status < 300 and isinstance(version, int):
        return Written(version)
    return _Failed(f"malformed answer with {_status_text(answer)}", executed=True)


def _settled(row: Row, expected_version: int, operation_id: str) -> WriteResult | None:
    """Return the result of a write whose answer was lost, or None where the row does not tell.

    Only one write can make the version after the expected one. A row that still has the expected
    version does not tell, because the write may be under way.
    """
    if row.operation_id == operation_id and row.version > expected_version:
        return Written(row.version)
    if row.version == expected_version + 1:
        return VersionConflict(row)
    return None


def _row_target(name: str) -> str:
    return f"/table/{quote(name)}"


def _status_text(answer: HttpResponse) -> str:
    return f"status {answer.status} from the platform"


def _decoded(answer: HttpResponse) -> Any:
    try:
        return orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return None


def _row(body: Any) -> Row | None:
    match body:
        case {
            "name": str(name),
            "version": int(version),
            "value": value,
            "operation_id": str(operation_id),
        }:
            return Row(name, version, value, operation_id)
    return None
