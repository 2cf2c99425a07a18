"""Subcommand `caller`: one process of the load generator, configured by a file."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import orjson
import typer
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from pollenglade_net.address import Address

from .arrivals import Surge
from .deployments import DEPLOYMENTS_BY_NAME
from .load import LoadGenerator
from .load import LoadResult
from .load import LoadSettings
from .load import RetryStyle
from .records import RequestRecord

app = typer.Typer()


class SurgeDocument(BaseModel):
    """One surge; times in seconds since the start of the load."""

    model_config = ConfigDict(extra="forbid")

    start_s: float
    end_s: float
    factor: float = Field(gt=0.0, le=20.0)
    organisation: str | None = None


class LoadDocument(BaseModel):
    """Settings file of a load; it contains the keys, so that they are not on the command line."""

    model_config = ConfigDict(extra="forbid")

    workload: str
    scale: float = Field(gt=0.0, le=1.0)
    entries: list[str] = Field(min_length=1)
    keys_by_organisation: dict[str, str]
    duration_s: float = Field(gt=0.0, le=600.0)
    seed: int = 1
    surges: list[SurgeDocument] = []
    retries: RetryStyle = RetryStyle.NONE
    run_id: str = "r"

    def settings(self, shard: int, shards: int) -> LoadSettings:
        """Return the settings of process number `shard` of the `shards` that share the load."""
        return LoadSettings(
            deployment=DEPLOYMENTS_BY_NAME[self.workload].scaled(self.scale),
            entries=[Address.parse(entry) for entry in self.entries],
            keys_by_organisation=self.keys_by_organisation,
            duration_s=self.duration_s,
            seed=self.seed,
            surges=[Surge(**surge.model_dump()) for surge in self.surges],
            retries=self.retries,
            shard=shard,
            shards=shards,
            run_id=self.run_id,
        )


def encode_result(result: LoadResult) -> bytes:
    """Return the contents of the output file of a load."""
    return orjson.dumps(
        {
            "late_p99_s": result.lateness.quantile_s(0.99),
            "records": [asdict(record) for record in result.records],
        }
    )


def read_records(path: Path) -> list[RequestRecord]:
    """Read the records of an output file."""
    return [RequestRecord(**record) for record in orjson.loads(path.read_bytes())["records"]]


@app.command()
def caller(
    settings: Annotated[Path, typer.Argument(help="JSON file with the settings of the load.")],
    output: Annotated[Path, typer.Option(help="File for the records.")],
    shard: Annotated[int, typer.Option(min=0, help="Index of this process, from 0.")] = 0,
    shards: Annotated[int, typer.Option(min=1, max=4, help="Number of processes.")] = 1,
) -> None:
    """Send the load of a deployment to nodes and record every request."""
    document = LoadDocument.model_validate_json(settings.read_bytes())
    result = asyncio.run(LoadGenerator(document.settings(shard, shards)).run())
    output.write_bytes(encode_result(result))
    good = sum(record.good for record in result.records)
    late_ms = result.lateness.quantile_s(0.99) * 1_000
    typer.echo(f"{len(result.records)} requests, {good} good, sent late by {late_ms:.1f} ms at p99")
