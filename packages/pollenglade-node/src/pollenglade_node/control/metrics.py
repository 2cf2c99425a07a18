"""OpenTelemetry instruments that observe the state of the node when a reader collects."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
from time import monotonic

from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Meter
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics import ObservableCounter
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource

from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

from ..entry.call_counter import LATENCY_BOUNDS_S
from ..entry.call_counter import CallCounter
from ..membership.fleet import Fleet
from ..membership.links import Links
from ..quota.quota_service import QuotaService
from ..serving.serving import Serving
from ..serving.target import Target
from .configuration_sync import ConfigurationSync
from .metrics_text import CONTENT_TYPE
from .metrics_text import render

MAX_SERIES_PER_COUNTER = 50_000
"""Cardinality limit of each counter.

With the default of 2,000 series, the calls of 100 organisations would be merged.
"""

ObservationReader = Callable[[], Iterator[Observation]]


@dataclass(frozen=True, slots=True)
class MetricSources:
    """The components of a node that the instruments observe."""

    counter: CallCounter
    serving: Serving
    quota: QuotaService
    links: Links
    configuration: ConfigurationSync
    fleet: Fleet
    open_calls: Callable[[], int]


class Metrics:
    """Owns the instruments, which add no work to a call.

    `readers` can export the metrics elsewhere too; without them, no collector is needed.
    """

    def __init__(
        self, node: str, zone: str, parts: MetricSources, readers: Sequence[MetricReader] = ()
    ):
        self._parts = parts
        self._reader = InMemoryMetricReader(
            cardinality_limits={ObservableCounter: MAX_SERIES_PER_COUNTER}
        )
        resource = Resource({"service.name": "pollenglade-node", "host.name": node, "zone": zone})
        self._provider = MeterProvider([self._reader, *readers], resource, shutdown_on_exit=False)
        meter = self._provider.get_meter("pollenglade")
        self._add_call_metrics(meter)
        self._add_target_metrics(meter)
        self._add_quota_metrics(meter)
        self._add_fleet_metrics(meter)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle `GET /metrics`; respond in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        body = render(data).encode()
        return HttpResponse(200, [(b"content-type", CONTENT_TYPE)], body)

    def close(self) -> None:
        """Shut down the meter provider and its readers."""
        self._provider.shutdown()

    def _add_call_metrics(self, meter: Meter) -> None:
        name = "pollenglade.calls"
        _counter(meter, name, "Calls that ended, by outcome and reason.", self._calls)
        description = "Time from arrival to answer, summed over calls."
        _counter(meter, f"{name}.seconds", description, self._call_seconds)
        description = "Calls that missed the service-level objective."
        _counter(meter, f"{name}.bad", description, self._bad_calls)
        description = "Requests refused before organisation and profile were known."
        _counter(meter, "pollenglade.unattributed", description, self._unattributed)
        name = "pollenglade.added_latency.seconds"
        description = "Time of calls with a response, without the time at targets."
        _counter(meter, f"{name}.bucket", description, self._added_buckets)
        _counter(meter, f"{name}.sum", description, self._added_sums)
        _counter(meter, f"{name}.count", description, self._added_counts)
        description = "Calls that entered here and have not ended."
        _gauge(
            meter,
            "pollenglade.open_calls",
            description,
            lambda: _observe(self._parts.open_calls()),
        )

    def _add_target_metrics(self, meter: Meter) -> None:
        _gauge(meter, "pollenglade.target.limit", "Concurrency limit.", self._limits)
        _gauge(meter, "pollenglade.target.slots", "Slots that the target announced.", self._slots)
        _gauge(meter, "pollenglade.target.in_flight", "Calls at the target.", self._in_flight)
        _gauge(meter, "pollenglade.target.waiting", "Calls in the queue.", self._waiting)
        description = "Importance below which calls are refused, plus the fraction refused at it."
        _gauge(meter, "pollenglade.target.admission_level", description, self._levels)

    def _add_quota_metrics(self, meter: Meter) -> None:
        counts = self._parts.quota.counts
        name = "pollenglade.quota"
        description = "Asks sent to holders."
        _counter(meter, f"{name}.asks", description, lambda: _observe(counts.token_requests))
        description = "Asks that reached no holder."
        _counter(
            meter,
            f"{name}.unreachable",
            description,
            lambda: _observe(counts.unreachable),
        )
        description = "Asks granted as a holder."
        _counter(meter, f"{name}.grants", description, lambda: _observe(counts.grants))
        description = "Tokens granted as a holder."
        _counter(meter, f"{name}.tokens", description, lambda: _observe(counts.tokens_granted))
        description = "Asks denied as a holder."
        _counter(meter, f"{name}.denials", description, lambda: _observe(counts.denials))
        description = "Asks that named a node that does not hold the slot."
        _counter(meter, f"{name}.redirects", description, lambda: _observe(counts.redirects))
        _gauge(meter, f"{name}.slots_held", "Quota slots held.", self._slots_held)

    def _add_fleet_metrics(self, meter: Meter) -> None:
        parts = self._parts
        description = "Links that are open, in both directions."
        _gauge(
            meter,
            "pollenglade.links",
            description,
            lambda: _observe(parts.links.open_links),
        )
        description = "Version of the configuration in force."
        version = "pollenglade.configuration.version"
        _gauge(meter, version, description, lambda: _observe(parts.configuration.version))
        _gauge(meter, "pollenglade.members", "Live nodes known.", self._members)
        description = "1 while the node drains."
        _gauge(
            meter,
            "pollenglade.draining",
            description,
            lambda: _observe(int(parts.serving.draining)),
        )

    def _calls(self) -> Iterator[Observation]:
        for key, tally in self._parts.counter.tally_by_key.items():
            yield Observation(tally.calls, key._asdict())

    def _bad_calls(self) -> Iterator[Observation]:
        for key, tally in self._parts.counter.tally_by_key.items():
            yield Observation(tally.bad, key._asdict())

    def _call_seconds(self) -> Iterator[Observation]:
        for key, tally in self._parts.counter.tally_by_key.items():
            yield Observation(tally.seconds, key._asdict())

    def _unattributed(self) -> Iterator[Observation]:
        for reason, count in self._parts.counter.refused_by_reason.items():
            yield Observation(count, {"reason": reason.value})

    def _latency_histograms(self) -> Iterator[tuple[list[int], float, dict[str, str]]]:
        counter = self._parts.counter
        for claim, histogram in (
            ("false", counter.added_latency),
            ("true", counter.added_latency_with_claim),
        ):
            yield list(accumulate(histogram.counts)), histogram.seconds, {"claim": claim}

    def _added_buckets(self) -> Iterator[Observation]:
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        for cumulative_counts, _, labels in self._latency_histograms():
            for bound, cumulative_count in zip(bounds, cumulative_counts, strict=True):
                yield Observation(cumulative_count, {**labels, "le": bound})

    def _added_sums(self) -> Iterator[Observation]:
        for _, seconds, labels in self._latency_histograms():
            yield Observation(seconds, labels)

    def _added_counts(self) -> Iterator[Observation]:
        for cumulative_counts, _, labels in self._latency_histograms():
            yield Observation(cumulative_counts[-1], labels)

    def _observe_targets(self, read: Callable[[Target], float]) -> Iterator[Observation]:
        for target in self._parts.serving.targets_by_address.values():
            labels = {"service": target.service, "address": str(target.address)}
            yield Observation(read(target), labels)

    def _limits(self) -> Iterator[Observation]:
        return self._observe_targets(lambda target: target.admission.limit)

    def _slots(self) -> Iterator[Observation]:
        return self._observe_targets(lambda target: target.slots)

    def _in_flight(self) -> Iterator[Observation]:
        return self._observe_targets(lambda target: target.admission.in_flight)

    def _waiting(self) -> Iterator[Observation]:
        return self._observe_targets(lambda target: target.admission.waiting)

    def _levels(self) -> Iterator[Observation]:
        return self._observe_targets(
            lambda target: target.admission.level.importance + target.admission.level.fraction
        )

    def _slots_held(self) -> Iterator[Observation]:
        return _observe(len(self._parts.quota.leases.held_slots(monotonic())))

    def _members(self) -> Iterator[Observation]:
        return _observe(self._parts.fleet.live_node_count)


def _observe(value: float) -> Iterator[Observation]:
    yield Observation(value)


def _counter(meter: Meter, name: str, description: str, read: ObservationReader) -> None:
    def collect(options: CallbackOptions) -> Iterator[Observation]:
        return read()

    meter.create_observable_counter(name, [collect], description=description)


def _gauge(meter: Meter, name: str, description: str, read: ObservationReader) -> None:
    def collect(options: CallbackOptions) -> Iterator[Observation]:
        return read()

    meter.create_observable_gauge(name, [collect], description=description)
