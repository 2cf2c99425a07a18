"""Reads call-count batches from files and from the control ports of nodes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from pydantic import BaseModel
from pydantic import ValidationError

from pollenglade_core.calls.call_counts import CountBatch
from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

COUNTS_PATH = "/v1/counts"
MAX_CONCURRENT_REQUESTS = 64


class CountDocument(BaseModel):
    """JSON document with batches: the content of a file or the response to `GET /v1/counts`."""

    batches: list[CountBatch]


@dataclass(slots=True)
class BatchSources:
    """Batches of all readable sources, and the problem of each source that could not be read."""

    batches: list[CountBatch] = field(default_factory=list)
    problem_by_source: dict[str, str] = field(default_factory=dict)

    def add(self, source: str, content: bytes) -> None:
        """Add the batches of a JSON document, or record why the source is not valid."""
        try:
            batches = CountDocument.model_validate_json(content).batches
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            location = ".".join(str(part) for part in detail["loc"]) or "document"
            self.problem_by_source[source] = f"{location}: {detail['msg']}"
            return
        if not all(_is_valid(batch) for batch in batches):
            self.problem_by_source[source] = "a batch has an invalid time, sequence or count"
            return
        self.batches += batches


def _is_valid(batch: CountBatch) -> bool:
    counts = all(0 <= count.bad <= count.calls for count in batch.counts)
    return counts and batch.sequence > 0 and math.isfinite(batch.ended_at)


def read_files(paths: Sequence[Path], sources: BatchSources) -> None:
    """Add the batches of JSON files; files that cannot be read are recorded as problems."""
    for path in paths:
        try:
            sources.add(str(path), path.read_bytes())
        except OSError as error:
            sources.problem_by_source[str(path)] = error.strerror or "cannot be read"


async def read_nodes(addresses: Sequence[str], sources: BatchSources, timeout_s: float) -> None:
    """Add the batches of nodes, given as `host:port` of their control ports.

    Nodes that cannot be read are recorded as problems. At most `MAX_CONCURRENT_REQUESTS` requests
    run at a time.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    http = HttpClient()

    async def read(address_text: str) -> None:
        async with semaphore:
            await _read_node(http, address_text, sources, timeout_s)

    try:
        await asyncio.gather(*(read(address_text) for address_text in addresses))
    finally:
        await http.close()


async def _read_node(
    http: HttpClient, address_text: str, sources: BatchSources, timeout_s: float
) -> None:
    try:
        address = Address.parse(address_text)
    except ValueError:
        sources.problem_by_source[address_text] = "is not a valid address; use host:port"
        return
    response = await http.request(address, "GET", COUNTS_PATH, timeout_s=timeout_s)
    if isinstance(response, HttpFailure):
        sources.problem_by_source[address_text] = f"no response ({response.reason})"
    elif response.status != 200:
        sources.problem_by_source[address_text] = f"status {response.status}"
    else:
        sources.add(address_text, bytes(response.body))
