"""Text tables of measured runs."""

from __future__ import annotations

from collections.abc import Sequence

from .added_latency import AddedLatency
from .measures import Summary

MS_PER_S = 1_000


def table(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as text with aligned columns; all rows must have the same length."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
    return "\n".join(lines)


def summary_table(summaries: dict[str, Summary]) -> str:
    """Return a table of measures with one column per workload."""
    columns = list(summaries.values())
    rows = [["", *summaries]]
    rows.append(["requests", *(str(entry.requests) for entry in columns)])
    rows.append(["goodput /s", *(f"{entry.goodput_per_s:.1f}" for entry in columns)])
    rows.append(["good share", *(f"{entry.good_share:.4f}" for entry in columns)])
    rows.append(["p50 ms", *(f"{entry.p50_s * MS_PER_S:.2f}" for entry in columns)])
    rows.append(["p99 ms", *(f"{entry.p99_s * MS_PER_S:.2f}" for entry in columns)])
    rows.append(["worst-served organisation", *(_format_worst_served(entry) for entry in columns)])
    rows.append(["wrongful refusals", *(f"{entry.wrongful_share:.4f}" for entry in columns)])
    rows.append(["wasted work", *(f"{entry.wasted_share:.4f}" for entry in columns)])
    rows.append(["wrong responses", *(str(entry.wrong) for entry in columns)])
    for result in sorted({name for entry in columns for name in entry.results}):
        rows.append([f"  {result}", *(str(entry.results.get(result, 0)) for entry in columns)])
    return table(rows)


def latency_table(latency: AddedLatency) -> str:
    """Return a table of the latencies through a node and directly, and of their difference."""
    rows = [["", "through node ms", "direct ms", "added ms"]]
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        rows.append(
            [
                name,
                f"{latency.through_node.quantile_s(quantile) * MS_PER_S:.3f}",
                f"{latency.direct.quantile_s(quantile) * MS_PER_S:.3f}",
                f"{latency.added_s(quantile) * MS_PER_S:.3f}",
            ]
        )
    pairs = f"pairs: {latency.direct.count}, failed: {latency.failed_pairs}"
    return f"{table(rows)}\n{pairs}"


def _format_worst_served(summary: Summary) -> str:
    if summary.worst is None:
        return "none within its rate"
    return f"{summary.worst.organisation} {summary.worst.share:.4f}"
