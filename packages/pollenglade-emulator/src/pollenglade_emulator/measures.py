"""Measures of a run, computed from the records of its root requests and executions."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from .records import Execution
from .records import RequestRecord
from .workload import Deployment
from .workload import Organisation

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000

RECOVERED_FRACTION = 0.95
"""Fraction of the earlier goodput at which a deployment counts as recovered."""

WITHIN_RATE_FRACTION = 0.99
"""Fraction of conforming requests from which on an organisation counts as within its rate.

Poisson arrivals exceed a burst now and then; a single excess must not exclude an organisation.
"""


class LatencyHistogram:
    """Latencies between 1 us and 60 s with three significant digits, clamped to this range."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add one latency."""
        microseconds = round(seconds * MICROSECONDS_PER_S)
        self._histogram.record_value(min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US))

    def quantile_s(self, quantile: float) -> float:
        """Return the latency in seconds at a quantile in [0, 1]; 0 without recorded latencies."""
        if self.count == 0:
            return 0.0
        return float(self._histogram.get_value_at_percentile(quantile * 100)) / MICROSECONDS_PER_S

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())


@dataclass
class ReferenceTokenBucket:
    """Exact token bucket that decides which requests conform to a contract."""

    rate_per_s: float
    burst: float
    level: float = 0.0
    at_s: float = 0.0

    @classmethod
    def full(cls, organisation: Organisation) -> ReferenceTokenBucket:
        """Return a bucket for a contract that starts with the whole burst."""
        return cls(organisation.rate_per_s, organisation.burst, organisation.burst)

    def try_take(self, at_s: float) -> bool:
        """Take one token for a request at a time; return False if it exceeds the contract."""
        elapsed_s = max(0.0, at_s - self.at_s)
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)
        self.at_s = max(self.at_s, at_s)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(frozen=True)
class WorstServed:
    """The organisation with the smallest fraction of good requests."""

    organisation: str
    share: float


@dataclass(frozen=True)
class Summary:
    """Measures of one run; times are in seconds, shares are fractions.

    `results` counts requests by outcome and reason, `wrongful` counts wrongful refusals by reason.
    """

    requests: int
    goodput_per_s: float
    good_share: float
    wrong: int
    p50_s: float
    p99_s: float
    results: dict[str, int]
    worst: WorstServed | None
    wrongful: dict[str, int]
    wrongful_share: float
    wasted_share: float


def goodput_per_s(records: Iterable[RequestRecord], duration_s: float) -> float:
    """Return the rate of root requests with a complete, correct and timely response."""
    return sum(record.good for record in records) / duration_s


def results_by_outcome(records: Iterable[RequestRecord]) -> Counter[tuple[str, str]]:
    """Count requests by outcome and reason; a good request has the outcome `good`."""
    counts: Counter[tuple[str, str]] = Counter()
    for record in records:
        if record.good:
            counts["good", ""] += 1
        elif record.status == 0:
            counts["no-response", record.reason] += 1
        else:
            counts[record.outcome or "no-outcome", record.reason or str(record.status)] += 1
    return counts


def conformance_by_request(
    records: Iterable[RequestRecord], organisations: Mapping[str, Organisation]
) -> dict[str, bool]:
    """Return, by request id, whether a request was within rate and burst when it was due."""
    buckets = {name: ReferenceTokenBucket.full(entry) for name, entry in organisations.items()}
    ordered = sorted(records, key=lambda record: record.scheduled_s)
    return {
        record.request_id: buckets[record.organisation].try_take(record.scheduled_s)
        for record in ordered
    }


def wrongful_refusals(
    records: Sequence[RequestRecord], organisations: Mapping[str, Organisation]
) -> Counter[str]:
    """Count, by reason, refusals of requests that conformed to their organisation's contract."""
    conforms_by_request = conformance_by_request(records, organisations)
    return Counter(
        record.reason
        for record in records
        if record.refused and conforms_by_request[record.request_id]
    )


def worst_served(
    records: Sequence[RequestRecord], organisations: Mapping[str, Organisation]
) -> WorstServed | None:
    """Return the worst-served organisation among those within their rate; None without one."""
    conforms_by_request = conformance_by_request(records, organisations)
    by_organisation: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        by_organisation[record.organisation].append(record)
    candidates: list[WorstServed] = []
    for name, entries in by_organisation.items():
        conforming_count = sum(conforms_by_request[entry.request_id] for entry in entries)
        if conforming_count >= WITHIN_RATE_FRACTION * len(entries):
            candidates.append(
                WorstServed(name, sum(entry.good for entry in entries) / len(entries))
            )
    return min(candidates, key=lambda worst: (worst.share, worst.organisation), default=None)


def useful_share(
    records: Iterable[RequestRecord], deployment: Deployment, start_s: float, end_s: float
) -> float:
    """Return the largest fraction, over all services, of their slot time that good requests need.

    Shedding by importance changes the mix of requests, and one request can need many times the slot
    time of another; this fraction makes the goodput of different mixes comparable. Only requests
    due in `[start_s, end_s)` count, each with its planned mean slot time.
    """
    slot_s_by_service: dict[str, float] = defaultdict(float)
    for record in records:
        if record.good and start_s <= record.scheduled_s < end_s:
            for name, count in deployment.calls_by_route(
                deployment.routes_by_name[record.route]
            ).items():
                route = deployment.routes_by_name[name]
                slot_s_by_service[route.service] += count * deployment.busy_s(route)
    return max(
        slot_s_by_service[service.name] / (service.slots * service.endpoints * (end_s - start_s))
        for service in deployment.services
    )


def goodput_over_time(
    records: Iterable[RequestRecord], duration_s: float, step_s: float = 1.0
) -> list[float]:
    """Return the goodput per second for each step, by the time at which requests were due."""
    steps = [0] * max(1, round(duration_s / step_s))
    for record in records:
        if record.good:
            steps[min(int(record.scheduled_s / step_s), len(steps) - 1)] += 1
    return [count / step_s for count in steps]


def good_share(records: Iterable[RequestRecord]) -> float:
    """Return the fraction of requests that were good; 0 without requests."""
    goods = [record.good for record in records]
    return sum(goods) / len(goods) if goods else 0.0


def time_to_recover_s(
    records: Sequence[RequestRecord],
    cause_start_s: float,
    cause_end_s: float,
    window_s: float = 1.0,
) -> float | None:
    """Return the time from the end of the cause until goodput is back at 95 % of that before it.

    Goodput is measured relative to the requests due in a window, because the load is open loop and
    the noise of Poisson arrivals in a window is larger than 5 %. The result is the start of the
    first window from which on goodput stays at 95 % or more; None if the last window is below.
    """
    required_share = RECOVERED_FRACTION * good_share(
        r for r in records if r.scheduled_s < cause_start_s
    )
    after: dict[int, list[RequestRecord]] = defaultdict(list)
    for record in records:
        if record.scheduled_s >= cause_end_s:
            after[int((record.scheduled_s - cause_end_s) / window_s)].append(record)
    recovered: float | None = None
    for index in sorted(after, reverse=True):
        if good_share(after[index]) < required_share:
            break
        recovered = index * window_s
    return recovered


def wasted_share(records: Iterable[RequestRecord], executions: Iterable[Execution]) -> float:
    """Return the fraction of target time spent on calls whose root request was not good."""
    good = {record.request_id for record in records if record.good}
    total = wasted = 0.0
    for execution in executions:
        if execution.end_s is None:
            continue
        duration_s = execution.end_s - execution.start_s
        total += duration_s
        wasted += 0.0 if execution.request_id in good else duration_s
    return wasted / total if total else 0.0


def summarise(
    records: Sequence[RequestRecord],
    executions: Iterable[Execution],
    organisations: Mapping[str, Organisation],
    duration_s: float,
) -> Summary:
    """Return all measures of one run; latencies are those of good requests."""
    latencies = LatencyHistogram()
    for record in records:
        if record.good:
            latencies.record(record.latency_s)
    wrongful = wrongful_refusals(records, organisations)
    results = results_by_outcome(records)
    return Summary(
        requests=len(records),
        goodput_per_s=goodput_per_s(records, duration_s),
        good_share=good_share(records),
        wrong=sum(record.wrong for record in records),
        p50_s=latencies.quantile_s(0.5),
        p99_s=latencies.quantile_s(0.99),
        results={"/".join(filter(None, key)): count for key, count in sorted(results.items())},
        worst=worst_served(records, organisations),
        wrongful=dict(wrongful),
        wrongful_share=sum(wrongful.values()) / len(records) if records else 0.0,
        wasted_share=wasted_share(records, executions),
    )
