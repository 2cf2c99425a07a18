"""OpenTelemetry instruments of a mesh node, created at the first scrape of its metrics.

The SDK takes several megabytes of memory; a process that is not scraped does not load it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING
from typing import Protocol

from pollenglade_net.http_message import HttpRequest
from pollenglade_net.http_message import HttpResponse

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions
    from opentelemetry.metrics import Meter
    from opentelemetry.metrics import Observation
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds in seconds of the latency buckets, as in the OpenTelemetry semantic conventions."""


class LatencyHistogram:
    """Counts of durations by bucket and label; cheap enough to update for every request."""

    def __init__(self) -> None:
        self._counts_by_label: dict[str, list[int]] = {}
        self.sum_by_label: Counter[str] = Counter()

    def add(self, label: str, seconds: float) -> None:
        """Count one duration under a label."""
        counts = self._counts_by_label.get(label)
        if counts is None:
            counts = self._counts_by_label[label] = [0] * (len(LATENCY_BOUNDS_S) + 1)
        counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.sum_by_label[label] += seconds  # type: ignore[assignment]

    def buckets(self) -> Iterator[tuple[str, str, int]]:
        """Yield label, upper bound and cumulative count of every bucket."""
        for label, counts in self._counts_by_label.items():
            bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
            for bound, count in zip(bounds, accumulate(counts), strict=True):
                yield label, bound, count

    def count(self, label: str) -> int:
        """Return the number of durations counted under a label."""
        return sum(self._counts_by_label.get(label, ()))


class MeshReadings(Protocol):
    """Values that the instruments read from the node."""

    def answers(self) -> dict[tuple[int, str], int]:
        """Return the number of responses by status and reason."""

    def cancelled_attempts(self) -> dict[str, int]:
        """Return the number of cancelled attempts at this node, by stage."""

    def endpoint_requests(self) -> int:
        """Return the number of requests that were sent to the local endpoint."""

    def declined_attempts(self) -> int:
        """Return the number of attempts at this node that found no free slot."""

    def latency(self) -> LatencyHistogram:
        """Return the durations of requests by decision."""

    def gauges(self) -> dict[str, float]:
        """Return the current value of each gauge by name."""


class MeshMetrics:
    """Serves the metrics of the node in the Prometheus text format."""

    def __init__(self, node: str, zone: str, readings: MeshReadings) -> None:
        self._node = node
        self._zone = zone
        self._readings = readings
        self._reader: InMemoryMetricReader | None = None

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle `GET /metrics`; any other path gets a 404 response."""
        from ..control.metrics_text import CONTENT_TYPE
        from ..control.metrics_text import render

        if request.target.partition(b"?")[0] != b"/metrics":
            return HttpResponse(404)
        if self._reader is None:
            self._reader = self._new_reader()
        body = render(self._reader.get_metrics_data()).encode()
        return HttpResponse(200, [(b"content-type", CONTENT_TYPE)], body)

    def _new_reader(self) -> InMemoryMetricReader:
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader
        from opentelemetry.sdk.resources import Resource

        reader = InMemoryMetricReader()
        attributes = {"service.name": "pollenglade-node", "host.name": self._node}
        resource = Resource({**attributes, "zone": self._zone})
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._add_instruments(provider.get_meter("pollenglade.mesh"))
        return reader

    def _add_instruments(self, meter: Meter) -> None:
        from opentelemetry.metrics import Observation

        def add_counter(
            name: str, description: str, read: Callable[[], Iterator[Observation]]
        ) -> None:
            def callback(options: CallbackOptions) -> Iterator[Observation]:
                return read()

            meter.create_observable_counter(name, [callback], description=description)

        def answers() -> Iterator[Observation]:
            for (status, reason), count in self._readings.answers().items():
                yield Observation(count, {"status": status, "reason": reason})

        def buckets() -> Iterator[Observation]:
            for label, bound, count in self._readings.latency().buckets():
                yield Observation(count, {"decision": label, "le": bound})

        def sums() -> Iterator[Observation]:
            for label, seconds in self._readings.latency().sum_by_label.items():
                yield Observation(seconds, {"decision": label})

        def counts() -> Iterator[Observation]:
            latency = self._readings.latency()
            for label in latency.sum_by_label:
                yield Observation(latency.count(label), {"decision": label})

        def cancelled() -> Iterator[Observation]:
            for stage, count in self._readings.cancelled_attempts().items():
                yield Observation(count, {"stage": stage})

        def endpoint_requests() -> Iterator[Observation]:
            yield Observation(self._readings.endpoint_requests())

        def declined() -> Iterator[Observation]:
            yield Observation(self._readings.declined_attempts())

        name = "pollenglade.mesh.request.duration.seconds"
        add_counter("pollenglade.mesh.answers", "Answers by status and reason.", answers)
        add_counter(
            "pollenglade.mesh.attempts.cancelled", "Attempts given up, by stage.", cancelled
        )
        add_counter("pollenglade.mesh.attempts.declined", "Attempts without a free slot.", declined)
        add_counter("pollenglade.mesh.endpoint.requests", "Requests sent to it.", endpoint_requests)
        add_counter(f"{name}.bucket", "Time from arrival to answer.", buckets)
        add_counter(f"{name}.sum", "Time from arrival to answer.", sums)
        add_counter(f"{name}.count", "Time from arrival to answer.", counts)
        for gauge in self._readings.gauges():
            self._add_gauge(meter, gauge)

    def _add_gauge(self, meter: Meter, gauge: str) -> None:
        from opentelemetry.metrics import Observation

        def callback(options: CallbackOptions) -> Iterator[Observation]:
            yield Observation(self._readings.gauges()[gauge])

        description = f"Value of {gauge.replace('_', ' ')} as this node knows it."
        meter.create_observable_gauge(
            f"pollenglade.mesh.{gauge}", [callback], description=description
        )
