"""Service-level burn rates over several windows, and alerts that need two of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from .call_counts import CallCount

WINDOWS_S = (300, 1_800, 3_600, 21_600)
"""Windows of the report in seconds: 5 min, 30 min, 1 h, 6 h."""

BUCKET_S = 10
"""Resolution in seconds; a window can contain up to one bucket more than its length."""

DEFAULT_OBJECTIVE = 0.999
"""Part of the calls that has to be good."""

MIN_CALLS = 20
"""Calls in the short window below which no alert is raised; a few failures would decide it."""


class Severity(StrEnum):
    """How soon an operator has to act."""

    PAGE = "page"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Both windows have to burn at the threshold.

    The long window shows that the loss matters, the short one that it still goes on.
    """

    severity: Severity
    short_s: int
    long_s: int
    threshold: float


ALERT_RULES = (
    AlertRule(Severity.PAGE, 300, 3_600, 14.4),
    AlertRule(Severity.TICKET, 1_800, 21_600, 6.0),
)
"""At these rates a 30-day error budget loses 2 % in 1 h and 5 % in 6 h."""


@dataclass(frozen=True, slots=True)
class Burn:
    """The burn of one window; 1.0 spends the error budget exactly within its period."""

    organisation: str
    service: str
    window_s: int
    calls: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class BurnAlert:
    """A rule that holds for the calls of one organisation to one service."""

    organisation: str
    service: str
    severity: Severity
    short: Burn
    long: Burn


@dataclass(slots=True)
class _Series:
    bucket_by_index: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(self, index: int, calls: int, bad: int) -> None:
        held_calls, held_bad = self.bucket_by_index.get(index, (0, 0))
        self.bucket_by_index[index] = (held_calls + calls, held_bad + bad)

    def total(self, first: int, last: int) -> tuple[int, int]:
        buckets = [value for key, value in self.bucket_by_index.items() if first <= key <= last]
        return sum(calls for calls, _ in buckets), sum(bad for _, bad in buckets)

    def forget_before(self, first: int) -> None:
        self.bucket_by_index = {k: v for k, v in self.bucket_by_index.items() if k >= first}


class BurnRates:
    """Burn rates for each organisation and service from batched counts.

    Times are in seconds on the clock of the batches. Counts may arrive in any order.
    """

    def __init__(self, objective: float = DEFAULT_OBJECTIVE) -> None:
        if not 0.0 < objective < 1.0:
            raise ValueError("objective must lie between 0 and 1, for example 0.999")
        self._budget = 1.0 - objective
        self._series_by_key: dict[tuple[str, str], _Series] = {}

    def add(self, counts: Iterable[CallCount], ended_at: float) -> None:
        """Add the counts of one batch."""
        index = int(ended_at // BUCKET_S)
        for count in counts:
            key = (count.organisation, count.service)
            series = self._series_by_key.setdefault(key, _Series())
            series.add(index, count.calls, count.bad)

    def burns(self, now: float) -> list[Burn]:
        """Return the burn of every organisation, service and window, and forget older counts."""
        self._forget(now)
        return [
            self._burn(key, window_s, now)
            for key in sorted(self._series_by_key)
            for window_s in WINDOWS_S
        ]

    def alerts(self, now: float) -> list[BurnAlert]:
        """Return the rules that hold now."""
        found: list[BurnAlert] = []
        for key in sorted(self._series_by_key):
            for rule in ALERT_RULES:
                short = self._burn(key, rule.short_s, now)
                long = self._burn(key, rule.long_s, now)
                burning = min(short.rate, long.rate) >= rule.threshold
                if burning and short.calls >= MIN_CALLS:
                    found.append(BurnAlert(*key, rule.severity, short, long))
        return found

    def _burn(self, key: tuple[str, str], window_s: int, now: float) -> Burn:
        last = int(now // BUCKET_S)
        calls, bad = self._series_by_key[key].total(last - window_s // BUCKET_S, last)
        rate = bad / calls / self._budget if calls else 0.0
        return Burn(*key, window_s, calls, bad, rate)

    def _forget(self, now: float) -> None:
        first = int(now // BUCKET_S) - max(WINDOWS_S) // BUCKET_S
        for key, series in list(self._series_by_key.items()):
            series.forget_before(first)
            if not series.bucket_by_index:
                del self._series_by_key[key]
