"""Client for the platform's table and object store over HTTP and JSON."""

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
from .platform_api import AnswerLost
from .platform_api import NotFound
from .platform_api import ObjectStored
from .platform_api import ReadResult
from .platform_api import Row
from .platform_api import RowWritten
from .platform_api import Unavailable
from .platform_api import VersionConflict
from .platform_api import WriteResult

NOT_EXECUTED_STATUSES = frozenset({429, 503})
"""Response statuses with which the platform states that it did not execute the request."""


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Attempts, timeout per attempt and initial backoff of one operation.

    The backoff doubles with each attempt and has jitter. With the defaults, the longest operation
    takes about 5 s.
    """

    attempts: int = 3
    timeout_s: float = 1.0
    backoff_s: float = 0.05


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt without a usable response; `may_have_executed` is False if it had no effect."""

    reason: str
    may_have_executed: bool


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
        response = await self._request_with_retries("GET", _row_target(name))
        if isinstance(response, _FailedAttempt):
            return Unavailable(response.reason)
        if response.status == 404:
            return NotFound()
        row = _parse_row(_parse_json(response))
        return row or Unavailable("the platform responded with a malformed row")

    async def read_prefix(self, prefix: str) -> tuple[Row, ...] | Unavailable:
        """Return all rows whose name starts with the prefix, sorted by name."""
        response = await self._request_with_retries(
            "GET", "/table?" + urlencode({"prefix": prefix})
        )
        if isinstance(response, _FailedAttempt):
            return Unavailable(response.reason)
        body = _parse_json(response)
        items = body.get("rows") if isinstance(body, dict) else None
        rows = [_parse_row(item) for item in items] if isinstance(items, list) else [None]
        valid_rows = tuple(row for row in rows if row is not None)
        if len(valid_rows) != len(rows):
            return Unavailable("the platform responded with malformed rows")
        return valid_rows

    async def write(
        self, name: str, value: Any, expected_version: int, operation_id: str
    ) -> WriteResult:
        """Write if the row has the expected version; 0 inserts a new row.

        An attempt without a response is retried with the same version and operation id, so at most
        one attempt takes effect, and the row shows which write did.
        """
        body = {
            "value": value,
            "expected_version": expected_version,
            "operation_id": operation_id,
        }
        may_be_applied = False
        reason = ""
        for attempt in range(self._limits.attempts):
            await self._back_off(attempt)
            response = await self._send_once("PUT", _row_target(name), orjson.dumps(body))
            if isinstance(response, _FailedAttempt):
                may_be_applied, reason = (
                    may_be_applied or response.may_have_executed,
                    response.reason,
                )
                continue
            result = _parse_write_response(response, expected_version, operation_id, may_be_applied)
            if not isinstance(result, _FailedAttempt):
                return result
            may_be_applied, reason = True, result.reason
        if not may_be_applied:
            return Unavailable(reason)
        return await self._resolve_lost_response(name, expected_version, operation_id, reason)

    async def _resolve_lost_response(
        self, name: str, expected_version: int, operation_id: str, reason: str
    ) -> WriteResult:
        row = await self.read(name)
        if isinstance(row, Row):
            result_from_row = _result_from_row(row, expected_version, operation_id)
            if result_from_row is not None:
                return result_from_row
        return AnswerLost(operation_id, reason)

    async def read_object(self, name: str) -> bytes | NotFound | Unavailable:
        """Return the content of an object."""
        response = await self._request_with_retries("GET", f"/objects/{quote(name)}")
        if isinstance(response, _FailedAttempt):
            return Unavailable(response.reason)
        if response.status == 404:
            return NotFound()
        return response.body if response.status == 200 else Unavailable(_describe_status(response))

    async def write_object(self, name: str, data: bytes) -> ObjectStored | Unavailable:
        """Store an object; after `Unavailable` it may or may not be stored."""
        response = await self._request_with_retries("PUT", f"/objects/{quote(name)}", data)
        if isinstance(response, _FailedAttempt):
            return Unavailable(response.reason)
        return ObjectStored() if response.status < 300 else Unavailable(_describe_status(response))

    async def _request_with_retries(
        self, method: str, target: str, body: bytes = b""
    ) -> HttpResponse | _FailedAttempt:
        response: HttpResponse | _FailedAttempt = _FailedAttempt(
            "no attempt was made; set `attempts` to at least 1", may_have_executed=False
        )
        for attempt in range(self._limits.attempts):
            await self._back_off(attempt)
            response = await self._send_once(method, target, body)
            if isinstance(response, HttpResponse):
                break
        return response

    async def _send_once(
        self, method: str, target: str, body: bytes
    ) -> HttpResponse | _FailedAttempt:
        response = await self._client.request(
            self._address, method, target, self._headers, body, self._limits.timeout_s
        )
        if isinstance(response, HttpFailure):
            return _FailedAttempt(
                f"{response.reason}: {response.detail}", may_have_executed=response.sent
            )
        if response.status in NOT_EXECUTED_STATUSES:
            return _FailedAttempt(_describe_status(response), may_have_executed=False)
        if response.status in (200, 201, 204, 404, 409):
            return response
        return _FailedAttempt(_describe_status(response), may_have_executed=response.status >= 500)

    async def _back_off(self, attempt: int) -> None:
        if attempt > 0:
            await asyncio.sleep(jittered(self._limits.backoff_s * 2 ** (attempt - 1), self._random))


def _parse_write_response(
    response: HttpResponse, expected_version: int, operation_id: str, may_be_applied: bool
) -> WriteResult | _FailedAttempt:
    body = _parse_json(response)
    if response.status == 409 and isinstance(body, dict) and "row" in body:
        row = _parse_row(body["row"])
        if body["row"] is not None and row is None:
            return _FailedAttempt("malformed row in a conflict response", may_have_executed=True)
        if row is None:
            return VersionConflict(None)
        result_from_row = _result_from_row(row, expected_version, operation_id)
        if result_from_row is not None or not may_be_applied:
            return result_from_row or VersionConflict(row)
        return AnswerLost(
            operation_id, "later writes to the row hide whether this write took effect"
        )
    version = body.get("version") if isinstance(body, dict) else None
    if response.status < 300 and isinstance(version, int):
        return RowWritten(version)
    return _FailedAttempt(
        f"malformed response with {_describe_status(response)}", may_have_executed=True
    )


def _result_from_row(row: Row, expected_version: int, operation_id: str) -> WriteResult | None:
    """Return the result of a write whose response was lost, or None if `row` does not show it.

    Only one write can create the version after the expected one. A row that still has the expected
    version is inconclusive, because the write may still be in progress.
    """
    if row.operation_id == operation_id and row.version > expected_version:
        return RowWritten(row.version)
    if row.version == expected_version + 1:
        return VersionConflict(row)
    return None


def _row_target(name: str) -> str:
    return f"/table/{quote(name)}"


def _describe_status(response: HttpResponse) -> str:
    return f"status {response.status} from the platform"


def _parse_json(response: HttpResponse) -> Any:
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return None


def _parse_row(body: Any) -> Row | None:
    match body:
        case {
            "name": str(name),
            "version": int(version),
            "value": value,
            "operation_id": str(operation_id),
        }:
            return Row(name, version, value, operation_id)
    return None
