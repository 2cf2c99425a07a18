"""Log of the executions of a target, in memory and optionally in a file that survives a crash."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import replace
from pathlib import Path
from typing import BinaryIO

import orjson

from pollenglade_net.http_message import HttpRequest

from .records import ORGANISATION_HEADER
from .records import REQUEST_HEADER
from .records import Execution


class RunLog:
    """Executions in the order of their start.

    The file gets one JSON line at the start and one at the end of each execution, unbuffered, so
    that it also contains a call that ends the process.
    """

    def __init__(self, service: str, path: Path | None = None) -> None:
        self._service = service
        self._entries: list[Execution] = []
        self._file: BinaryIO | None = path.open("ab", buffering=0) if path else None

    def __len__(self) -> int:
        return len(self._entries)

    def start(self, request: HttpRequest, now: float) -> int:
        """Add an execution that starts at `now` and return its index."""
        entry = Execution(
            request_id=decode_latin1(request.header(REQUEST_HEADER)),
            service=self._service,
            call_id=decode_latin1(request.header(b"pollenglade-call")),
            idempotency_key=decode_latin1(request.header(b"idempotency-key")),
            organisation=decode_latin1(request.header(ORGANISATION_HEADER)),
            method=request.method,
            path=decode_latin1(request.target),
            start_s=now,
            headers=[(decode_latin1(key), decode_latin1(value)) for key, value in request.headers],
        )
        self._entries.append(entry)
        index = len(self._entries) - 1
        self._write({"index": index, **asdict(entry)})
        return index

    def finish(self, index: int, now: float, result: str) -> None:
        """Set the end and the result of an execution."""
        self._entries[index] = replace(self._entries[index], end_s=now, result=result)
        self._write({"index": index, "end_s": now, "result": result})

    def entries(self, since: int = 0) -> list[dict[str, object]]:
        """Return the entries from an index on as JSON objects."""
        return [asdict(entry) for entry in self._entries[since:]]

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()

    def _write(self, document: dict[str, object]) -> None:
        if self._file is not None:
            self._file.write(orjson.dumps(document) + b"\n")


def parse_execution(document: dict[str, object]) -> Execution:
    """Return the execution of an entry of `GET /_log` or of a merged pair of file lines."""
    fields = {key: value for key, value in document.items() if key != "index"}
    headers = fields.get("headers")
    assert isinstance(headers, list)
    fields["headers"] = [(str(key), str(value)) for key, value in headers]
    return Execution(**fields)  # type: ignore[arg-type]


def read_run_log(path: Path) -> list[Execution]:
    """Read a run log file; `end_s` of an execution that did not end is None."""
    merged: dict[int, dict[str, object]] = {}
    for line in path.read_bytes().splitlines():
        document = orjson.loads(line)
        merged.setdefault(document["index"], {}).update(document)
    return [parse_execution(merged[index]) for index in sorted(merged)]


def decode_latin1(value: bytes | None) -> str:
    """Decode a header value or request target; every byte is valid, None gives an empty text."""
    return (value or b"").decode("latin-1")
