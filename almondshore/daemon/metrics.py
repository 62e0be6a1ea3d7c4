"""Metrics of the daemon: counters, gauges and latency histograms for Prometheus."""

from datetime import timedelta

from aioprometheus import Counter, Gauge, Histogram, Registry, render

OTHER_TENANT = "other"
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


class TenantLabels:
    """Bounds the tenants that have time series of their own; later ones share ``other``."""

    def __init__(self, *, limit: int):
        self.limit = limit
        self.known: set[str] = set()

    def label(self, tenant: str) -> str:
        """Return the label value for a tenant."""
        tenant = tenant[:MAX_LABEL_CHARS]
        if tenant in self.known:
            return tenant
        if not tenant or len(self.known) >= self.limit:
            return OTHER_TENANT
        self.known.add(tenant)
        return tenant


class Metrics:
    """The metrics of one node.

    :param max_tenants: tenants with time series of their own
    :param constant: labels on every time series, such as node and zone
    """

    def __init__(self, *, max_tenants: int, constant: dict[str, str] | None = None):
        self.registry = Registry()
        self.constant = dict(constant or {})
        self.tenants = TenantLabels(limit=max_tenants)
        self.collectors: dict[str, Counter | Gauge] = {}
        self.latency_by_class = self._histogram(
            "almondshore_request_seconds", "Latency of requests by class"
        )
        self.latency_by_tenant = self._histogram(
            "almondshore_tenant_request_seconds", "Latency of requests by tenant"
        )

    def count(self, name: str, doc: str, *, by: int = 1, **labels: str) -> None:
        """Add to a counter, which is registered at its first use."""
        collector = self._collector(Counter, name, doc)
        collector.add(labels, by)

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a gauge, which is registered at its first use."""
        collector = self._collector(Gauge, name, doc)
        collector.set(labels, value)

    def observe_request(
        self, *, tenant: str, request_class: str, outcome: str, latency: timedelta
    ) -> None:
        """Record a finished request."""
        seconds = latency.total_seconds()
        self.latency_by_class.observe({"class": request_class}, seconds)
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

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            name,
            doc,
            const_labels=self.constant,
            registry=self.registry,
            buckets=LATENCY_BOUNDS_SECONDS,
        )

    def _collector(self, kind: type, name: str, doc: str) -> Counter | Gauge:
        collector = self.collectors.get(name)
        if collector is None:
            collector = kind(name, doc, const_labels=self.constant, registry=self.registry)
            self.collectors[name] = collector
        return collector
