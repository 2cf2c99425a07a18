"""Plot of goodput over time."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from .bench_run import BenchResult

WIDTH_IN = 8.0
HEIGHT_IN = 3.0


def plot_goodput(results: Sequence[BenchResult], path: Path) -> None:
    """Write an SVG file with one panel per scenario and one line per variant of the nodes."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    scenarios = list(dict.fromkeys(result.scenario for result in results))
    figure, axes = pyplot.subplots(
        len(scenarios), 1, squeeze=False, figsize=(WIDTH_IN, HEIGHT_IN * len(scenarios))
    )
    for scenario, panel in zip(scenarios, axes[:, 0], strict=True):
        for result in results:
            if result.scenario != scenario:
                continue
            label = f"{result.baseline}, seed {result.seed}"
            panel.plot(range(len(result.goodput_over_time)), result.goodput_over_time, label=label)
            panel.axvspan(result.timing.before_s, result.timing.end_s, color="0.9", zorder=0)
        panel.set_title(f"{scenario}: goodput (grey: cause)")
        panel.set_xlabel("time, s")
        panel.set_ylabel("good requests/s")
        panel.set_ylim(bottom=0)
        panel.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, format="svg")
    pyplot.close(figure)
