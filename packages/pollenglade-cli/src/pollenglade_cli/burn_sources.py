"""Call-count batches from files and from the control ports of nodes."""

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
    """A document of batches, as in a file or in the response to `GET /v1/counts`."""

    batches: list[CountBatch]


@dataclass(slots=True)
class Sources:
    """The batches of all sources, and by source why it could not be read."""

    batches: list[CountBatch] = field(default_factory=list)
    problem_by_source: dict[str, str] = field(default_factory=dict)

    def add(self, source: str, content: bytes) -> None:
        """Add the document of one source, or its problem."""
        try:
            batches = CountDocument.model_validate_json(content).batches
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            place = ".".join(str(part) for part in detail["loc"]) or "document"
            self.problem_by_source[source] = f"{place}: {detail['msg']}"
            return
        if not all(_is_plausible(batch) for batch in batches):
            self.problem_by_source[source] = "a batch has an impossible time, sequence or count"
            return
        self.batches += batches


def _is_plausible(batch: CountBatch) -> bool:
    counts = all(0 <= count.bad <= count.calls for count in batch.counts)
    return counts and batch.sequence > 0 and math.isfinite(batch.ended_at)


def read_files(paths: Sequence[Path], sources: Sources) -> None:
    """Add the batches of JSON files."""
    for path in paths:
        try:
            sources.add(str(path), path.read_bytes())
        except OSError as error:
            sources.problem_by_source[str(path)] = error.strerror or "cannot be read"


async def read_nodes(addresses: Sequence[str], sources: Sources, timeout_s: float) -> None:
    """Add the batches of nodes, a bounded number of requests at a time."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    http = HttpClient()

    async def ask(text: str) -> None:
        async with limit:
            await _read_node(http, text, sources, timeout_s)

    try:
        await asyncio.gather(*(ask(text) for text in addresses))
    finally:
        await http.close()


async def _read_node(http: HttpClient, text: str, sources: Sources, timeout_s: float) -> None:
    try:
        address = Address.parse(text)
    except ValueError:
        sources.problem_by_source[text] = "is not an address; write host:port"
        return
    answer = await http.request(address, "GET", COUNTS_PATH, timeout_s=timeout_s)
    if isinstance(answer, HttpFailure):
        sources.problem_by_source[text] = f"no answer ({answer.reason})"
    elif answer.status != 200:
        sources.problem_by_source[text] = f"status {answer.status}"
    else:
        sources.add(text, bytes(answer.body))
