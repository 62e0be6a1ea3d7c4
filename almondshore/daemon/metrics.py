"""Metrics of the daemon: counters, gauges and latency histograms for Prometheus."""

from collections.abc import Callable, Iterator
from datetime import timedelta

import eventlet
import msgspec
from aioprometheus import Counter, Gauge, Histogram, Registry, render

OTHER_LABEL = "other"
# Maximum number of label sets of a counter or gauge; a scrape of 1,000 is about 100 KB.
MAX_SERIES_PER_METRIC = 1000
MAX_LABEL_CHARS = 64
# Upper bounds of the buckets. The lowest resolve the objective of 1.8 ms added latency, the highest
# the longest request deadlines.
CLASS_LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    float("inf"),
)

# Number of series rendered before yielding to other greenlets, about 0.4 ms of work.
RENDER_BATCH_SERIES = 10
# Fewer buckets than by class, because there are many more tenants than classes.
TENANT_LATENCY_BUCKETS_SECONDS = (0.005, 0.025, 0.1, 0.5, 2.5, float("inf"))

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


def escape_label_value(text: str) -> str:
    """Return a label value, truncated to ``MAX_LABEL_CHARS`` and escaped for the text format.

    The text formatter of aioprometheus 23.12 escapes nothing, so a quote in a tenant's name would
    end the label and could add samples.
    """
    truncated = text[:MAX_LABEL_CHARS].encode("utf-8", "replace").decode()
    return truncated.translate(_ESCAPES)


class PausingHistogram(Histogram):
    """A histogram that yields to other greenlets while its series are rendered.

    Rendering 1,000 tenants in one go blocked the event loop for 34 ms, while the objective for the
    latency added to requests is 1.8 ms.
    """

    def __init__(self, *args, pause: Callable[[], None], **options):
        super().__init__(*args, **options)
        self.pause = pause

    def get_all(self) -> Iterator[tuple[dict[str, str], dict]]:
        """Yield labels and value of each series; those added during the iteration are skipped."""
        for number, key in enumerate(list(self.values)):
            if number % RENDER_BATCH_SERIES == RENDER_BATCH_SERIES - 1:
                self.pause()
            yield msgspec.json.decode(key), self.get(key)


class TenantLabels:
    """Limits the tenants that have time series of their own; further ones share ``other``."""

    def __init__(self, *, limit: int):
        self.limit = limit
        self.known: set[str] = set()

    def label(self, tenant: str) -> str:
        """Return the escaped name of a tenant, or ``other`` if it is empty or beyond the limit."""
        tenant = escape_label_value(tenant)
        if tenant in self.known:
            return tenant
        if not tenant or len(self.known) >= self.limit:
            return OTHER_LABEL
        self.known.add(tenant)
        return tenant


class Metrics:
    """The metrics of one node.

    :param max_tenants: maximum number of tenants with time series of their own
    :param pause: yields to other greenlets; called repeatedly while a scrape is rendered
    :param constant_labels: labels on every time series, such as node and zone
    """

    def __init__(
        self,
        *,
        max_tenants: int,
        constant_labels: dict[str, str] | None = None,
        pause: Callable[[], None] = eventlet.sleep,
    ):
        self.registry = Registry()
        self.pause = pause
        self.constant_labels = {
            key: escape_label_value(value) for key, value in (constant_labels or {}).items()
        }
        self.tenants = TenantLabels(limit=max_tenants)
        self.collectors: dict[str, Counter | Gauge] = {}
        self.label_sets: dict[str, set[tuple]] = {}
        self.latency_by_class = self._histogram(
            "almondshore_request_seconds",
            "Latency of requests by class",
            CLASS_LATENCY_BUCKETS_SECONDS,
        )
        self.latency_by_tenant = self._histogram(
            "almondshore_tenant_request_seconds",
            "Latency of requests by tenant",
            TENANT_LATENCY_BUCKETS_SECONDS,
        )

    def count(self, name: str, doc: str, *, by: int = 1, **labels: str) -> None:
        """Increase a counter, which is registered on first use."""
        self._collector(Counter, name, doc).add(self._limit_label_sets(name, labels), by)

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a gauge, which is registered on first use."""
        self._collector(Gauge, name, doc).set(self._limit_label_sets(name, labels), value)

    def observe_request(
        self, *, tenant: str, request_class: str, outcome: str, latency: timedelta
    ) -> None:
        """Record a finished request."""
        seconds = latency.total_seconds()
        self.latency_by_class.observe({"class": escape_label_value(request_class)}, seconds)
        self.latency_by_tenant.observe({"tenant": self.tenants.label(tenant)}, seconds)
        self.count(
            "almondshore_requests_total",
            "Requests by class and outcome",
            **{"class": request_class, "outcome": outcome},
        )

    def render(self) -> tuple[bytes, str]:
        """Return the Prometheus text format and its content type."""
        content, headers = render(self.registry, ["text/plain"])
        return content, headers["Content-Type"]

    def _limit_label_sets(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        """Return escaped labels, with all values replaced by ``other`` for further label sets.

        The first ``MAX_SERIES_PER_METRIC`` label sets of a metric are kept as they are.
        """
        labels = {key: escape_label_value(value) for key, value in labels.items()}
        known = self.label_sets.setdefault(name, set())
        values = tuple(sorted(labels.items()))
        if values in known:
            return labels
        if len(known) >= MAX_SERIES_PER_METRIC:
            return dict.fromkeys(labels, OTHER_LABEL)
        known.add(values)
        return labels

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return PausingHistogram(
            name,
            doc,
            const_labels=self.constant_labels,
            registry=self.registry,
            buckets=buckets,
            pause=self.pause,
        )

    def _collector(self, collector_type: type, name: str, doc: str) -> Counter | Gauge:
        collector = self.collectors.get(name)
        if collector is None:
            collector = collector_type(
                name, doc, const_labels=self.constant_labels, registry=self.registry
            )
            self.collectors[name] = collector
        return collector
