"""Error budget burn rates over several windows, and multi-window burn rate alerts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from .call_counts import CallCount

REPORT_WINDOWS_S = (300, 1_800, 3_600, 21_600)
"""Windows of the burn report: 5 min, 30 min, 1 h and 6 h."""

BUCKET_S = 10
"""Resolution of the counts; a window can include up to one bucket more than its length."""

DEFAULT_OBJECTIVE = 0.999
"""Service-level objective: the fraction of calls that must be good."""

MIN_ALERT_CALLS = 20
"""Least number of calls in the short window for an alert.

With fewer calls, a few failures alone would raise it.
"""


class Severity(StrEnum):
    """How urgently an operator has to act on an alert."""

    PAGE = "page"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """An alert that is raised when the burn rate reaches the threshold in both windows.

    The long window shows that the loss is significant, the short window that it is still going on.
    """

    severity: Severity
    short_s: int
    long_s: int
    threshold: float


ALERT_RULES = (
    AlertRule(Severity.PAGE, 300, 3_600, 14.4),
    AlertRule(Severity.TICKET, 1_800, 21_600, 6.0),
)
"""At these thresholds, 1 h consumes 2 % and 6 h consume 5 % of a 30-day error budget."""


@dataclass(frozen=True, slots=True)
class Burn:
    """The burn rate in one window; at a `rate` of 1.0 the error budget lasts exactly 30 days."""

    organisation: str
    service: str
    window_s: int
    calls: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class BurnAlert:
    """An alert for the calls of one organisation to one service, with the burn of both windows."""

    organisation: str
    service: str
    severity: Severity
    short: Burn
    long: Burn


@dataclass(slots=True)
class _CallSeries:
    counts_by_index: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(self, index: int, calls: int, bad: int) -> None:
        previous_calls, previous_bad = self.counts_by_index.get(index, (0, 0))
        self.counts_by_index[index] = (previous_calls + calls, previous_bad + bad)

    def total(self, first_index: int, last_index: int) -> tuple[int, int]:
        buckets = [
            value for key, value in self.counts_by_index.items() if first_index <= key <= last_index
        ]
        return sum(calls for calls, _ in buckets), sum(bad for _, bad in buckets)

    def discard_before(self, first_index: int) -> None:
        self.counts_by_index = {k: v for k, v in self.counts_by_index.items() if k >= first_index}


class BurnRates:
    """Computes burn rates by organisation and service from batches of call counts.

    Times are in seconds on the clock of the batches. Counts may arrive in any order. `objective` is
    the fraction of calls that must be good; ValueError is raised unless it is between 0 and 1.
    """

    def __init__(self, objective: float = DEFAULT_OBJECTIVE) -> None:
        if not 0.0 < objective < 1.0:
            raise ValueError("objective must be between 0 and 1, for example 0.999")
        self._error_budget = 1.0 - objective
        self._series_by_key: dict[tuple[str, str], _CallSeries] = {}

    def add(self, counts: Iterable[CallCount], ended_at: float) -> None:
        """Add the counts of a batch that ended at `ended_at`."""
        index = int(ended_at // BUCKET_S)
        for count in counts:
            key = (count.organisation, count.service)
            series = self._series_by_key.setdefault(key, _CallSeries())
            series.add(index, count.calls, count.bad)

    def burns(self, now: float) -> list[Burn]:
        """Return the burn by organisation, service and window; discard counts of earlier times."""
        self._discard_old_counts(now)
        return [
            self._burn(key, window_s, now)
            for key in sorted(self._series_by_key)
            for window_s in REPORT_WINDOWS_S
        ]

    def alerts(self, now: float) -> list[BurnAlert]:
        """Return the alerts that are raised at `now`."""
        raised: list[BurnAlert] = []
        for key in sorted(self._series_by_key):
            for rule in ALERT_RULES:
                short = self._burn(key, rule.short_s, now)
                long = self._burn(key, rule.long_s, now)
                is_burning = min(short.rate, long.rate) >= rule.threshold
                if is_burning and short.calls >= MIN_ALERT_CALLS:
                    raised.append(BurnAlert(*key, rule.severity, short, long))
        return raised

    def _burn(self, key: tuple[str, str], window_s: int, now: float) -> Burn:
        last_index = int(now // BUCKET_S)
        calls, bad = self._series_by_key[key].total(last_index - window_s // BUCKET_S, last_index)
        rate = bad / calls / self._error_budget if calls else 0.0
        return Burn(*key, window_s, calls, bad, rate)

    def _discard_old_counts(self, now: float) -> None:
        first_index = int(now // BUCKET_S) - max(REPORT_WINDOWS_S) // BUCKET_S
        for key, series in list(self._series_by_key.items()):
            series.discard_before(first_index)
            if not series.counts_by_index:
                del self._series_by_key[key]
