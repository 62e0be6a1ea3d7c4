"""Metrics and status of a node over HTTP."""

from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from almondshore.daemon.metrics import Metrics
from almondshore.http.messages import Response
from almondshore.http.server import Exchange, ExchangeHandler
from almondshore.mesh.model import Route
from almondshore.mesh.status import node_view, targets_view
from almondshore.mesh.view import STATUS_PATH, TARGETS_PATH

if TYPE_CHECKING:
    from almondshore.mesh.node import MeshNode

# The platform's requests do not name an organisation, so metrics are not kept by tenant.
NO_TENANT = ""
JSON = ((b"Content-Type", b"application/json"),)


class MeshMetrics:
    """Request counters and latency histograms by class of route."""

    def __init__(self, *, node: str, zone: str):
        self.metrics = Metrics(max_tenants=1, constant_labels={"node": node, "zone": zone})

    def observe(self, route: Route, status: int, took: timedelta) -> None:
        """Record a finished request of a caller.

        :param status: HTTP status of the response, 0 if the request was cancelled
        """
        outcome = f"{status // 100}xx" if status else "cancelled"
        self.metrics.observe_request(
            tenant=NO_TENANT, request_class=_route_class(route), outcome=outcome, latency=took
        )

    def render(self, node: "MeshNode") -> tuple[bytes, str]:
        """Return the current values in the text exposition format, and its content type."""
        queue = node.local.queue
        down_since = node.feeds.store_unavailable_since()
        values = {
            "almondshore_config_version": node.outbound.config_version(),
            "almondshore_targets_known": len(node.directory.targets),
            "almondshore_outbound_active": len(node.outbound.active),
            "almondshore_slots_running": len(queue.running) if queue else 0,
            "almondshore_slots_waiting": len(queue.waiting) if queue else 0,
            "almondshore_target_rate_limit": node.local.statement.rate_limit or 0.0,
            "almondshore_target_cold": int(node.local.warmup.cold_limit() is not None),
            "almondshore_zone_evacuated": int(node.evacuations.own_evacuated),
            "almondshore_zones_evacuated": len(node.directory.evacuated_zones),
            "almondshore_target_leaving": int(node.local.draining_since is not None),
            "almondshore_store_away_seconds": (
                (node.clock.monotonic() - down_since).total_seconds()
                if down_since is not None
                else 0.0
            ),
            "almondshore_connections_opened": node.pool.opened,
            "almondshore_log_lines_dropped": node.log_stream.total_dropped,
            "almondshore_log_output_lost": int(bool(node.log_stream.lost)),
            "almondshore_messages_held_bytes": node.pool.memory.held_bytes,
            "almondshore_messages_refused_by_memory": node.pool.memory.refusals,
            "almondshore_connections_evicted": node.pool.memory.evictions,
            "almondshore_client_connections": len(node.pool.memory.holders),
            "almondshore_nodes_unreachable": len(node.directory.nodes),
            "almondshore_tenants_over_share": len(node.local.service_shares.behind),
            "almondshore_kinds_starved": len(node.local.service_shares.starved),
            "almondshore_follows_watcher": int(node.feeds.follower.followed is not None),
            "almondshore_state_age_seconds": node.feeds.follower.age().total_seconds(),
        }
        for name, value in values.items():
            self.metrics.gauge(name, name.replace("_", " "), value)
        for tenant, quota in node.quota.tenant_quotas().items() if node.quota else ():
            for name, value in quota._asdict().items():
                self.metrics.gauge(
                    f"almondshore_quota_{name}",
                    f"Quota {name} at this node, by tenant",
                    value,
                    tenant=tenant,
                )
        for reason, count in node.inbound.refusals.items():
            self.metrics.gauge(
                "almondshore_target_refusals",
                "Requests for the local target that were refused, by reason",
                count,
                reason=reason,
            )
        return self.metrics.render()


def _route_class(route: Route) -> str:
    """Return the class of a route.

    Routes change over time, so that a label by route would create an unbounded number of series.
    """
    return f"priority-{route.priority}-{route.kind}"


STATUS_VIEWS = {STATUS_PATH: node_view, TARGETS_PATH: targets_view}


class MetricsHandler(ExchangeHandler):
    """Serves the metrics as text and the status views as JSON."""

    def __init__(self, *, metrics: MeshMetrics, node: "MeshNode"):
        self.metrics = metrics
        self.node = node

    def handle(self, exchange: Exchange) -> None:
        """Respond with a status view if the path names one, else with the metrics."""
        view = STATUS_VIEWS.get(exchange.request.target.partition(b"?")[0])
        if view is not None:
            exchange.respond(Response(200, JSON, msgspec.json.encode(view(self.node))))
            return
        body, content_type = self.metrics.render(self.node)
        exchange.respond(Response(200, ((b"Content-Type", content_type.encode()),), body))
