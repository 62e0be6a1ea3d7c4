"""Metrics of the daemon: counters, gauges and latency histograms for Prometheus."""

from collections.abc import Callable, Iterator
from datetime import timedelta

import eventlet
import msgspec
from aioprometheus import Counter, Gauge, Histogram, Registry, render

OTHER = "other"
# Label sets of one counter or gauge; a scrape with 1,000 of them is about 100 KB.
MAX_SERIES = 1000
MAX_LABEL_CHARS = 64
# The upper bounds follow the 1.8 ms added latency objective at the low end and the longest
# request deadlines at the high end.
LATENCY_BOUNDS_SECONDS = (
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

# Series rendered before other greenlets get a turn, about 0.4 ms of work.
RENDER_BATCH = 10
# Fewer than by class, since tenants are the many series.
TENANT_BOUNDS_SECONDS = (0.005, 0.025, 0.1, 0.5, 2.5, float("inf"))

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


def label_value(text: str) -> str:
    """Return a label value escaped for the text format.

    The text formatter of aioprometheus 23.12 escapes nothing, so a quote in a tenant's name would
    end the label and could add samples.
    """
    whole = text[:MAX_LABEL_CHARS].encode("utf-8", "replace").decode()
    return whole.translate(_ESCAPES)


class PausingHistogram(Histogram):
    """A histogram that lets other work run while its many series are rendered.

    Rendering 1,000 tenants at once held the loop for 34 ms, against 1.8 ms of added latency that
    requests may have.
    """

    def __init__(self, *args, pause: Callable[[], None], **options):
        super().__init__(*args, **options)
        self.pause = pause

    def get_all(self) -> Iterator[tuple[dict[str, str], dict]]:
        """Yield the labels and value of each series that exists at the start."""
        for number, key in enumerate(list(self.values)):
            if number % RENDER_BATCH == RENDER_BATCH - 1:
                self.pause()
            yield msgspec.json.decode(key), self.get(key)


class TenantLabels:
    """Bounds the tenants that have time series of their own; later ones share ``other``."""

    def __init__(self, *, limit: int):
        self.limit = limit
        self.known: set[str] = set()

    def label(self, tenant: str) -> str:
        """Return the label value for a tenant."""
        tenant = label_value(tenant)
        if tenant in self.known:
            return tenant
        if not tenant or len(self.known) >= self.limit:
            return OTHER
        self.known.add(tenant)
        return tenant


class Metrics:
    """The metrics of one node.

    :param max_tenants: tenants with time series of their own
    :param pause: lets other work run while a scrape is rendered
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
            key: label_value(value) for key, value in (constant_labels or {}).items()
        }
        self.tenants = TenantLabels(limit=max_tenants)
        self.collectors: dict[str, Counter | Gauge] = {}
        self.label_sets: dict[str, set[tuple]] = {}
        self.latency_by_class = self._histogram(
            "almondshore_request_seconds", "Latency of requests by class", LATENCY_BOUNDS_SECONDS
        )
        self.latency_by_tenant = self._histogram(
            "almondshore_tenant_request_seconds",
            "Latency of requests by tenant",
            TENANT_BOUNDS_SECONDS,
        )

    def count(self, name: str, doc: str, *, by: int = 1, **labels: str) -> None:
        """Add to a counter, which is registered at its first use."""
        self._collector(Counter, name, doc).add(self._bounded(name, labels), by)

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a gauge, which is registered at its first use."""
        self._collector(Gauge, name, doc).set(self._bounded(name, labels), value)

    def observe_request(
        self, *, tenant: str, request_class: str, outcome: str, latency: timedelta
    ) -> None:
        """Record a finished request."""
        seconds = latency.total_seconds()
        self.latency_by_class.observe({"class": label_value(request_class)}, seconds)
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

    def _bounded(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        """Return safe labels, with all values replaced by ``other`` beyond the bound."""
        labels = {key: label_value(value) for key, value in labels.items()}
        known = self.label_sets.setdefault(name, set())
        values = tuple(sorted(labels.items()))
        if values in known:
            return labels
        if len(known) >= MAX_SERIES:
            return dict.fromkeys(labels, OTHER)
        known.add(values)
        return labels

    def _histogram(self, name: str, doc: str, bounds: tuple[float, ...]) -> Histogram:
        return PausingHistogram(
            name,
            doc,
            const_labels=self.constant_labels,
            registry=self.registry,
            buckets=bounds,
            pause=self.pause,
        )

    def _collector(self, kind: type, name: str, doc: str) -> Counter | Gauge:
        collector = self.collectors.get(name)
        if collector is None:
            collector = kind(name, doc, const_labels=self.constant_labels, registry=self.registry)
            self.collectors[name] = collector
        return collector
