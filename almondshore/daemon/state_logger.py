"""Log events and gauges for state changes of a node."""

from collections.abc import Mapping

from almondshore.core.logs import log_event
from almondshore.daemon.metrics import Metrics
from almondshore.daemon.node import Node


class StateLogger:
    """Compares a node with its last observed state and logs the differences.

    :ivar logged_moves: status and step last logged for the move of each service
    """

    def __init__(self, *, node: Node, metrics: Metrics, transport_counts: Mapping[str, int]):
        self.node = node
        self.metrics = metrics
        self.transport_counts = transport_counts
        self.version = 0
        self.is_relay = False
        self.ready = False
        self.platform_up = True
        self.refused_count = 0
        self.logged_moves: dict[str, tuple[str, int]] = {}

    def observe(self) -> None:
        """Log the changes since the last call and update the gauges."""
        self._observe_config()
        self._observe_role()
        self._observe_platform()
        self._observe_moves()
        for name, value in self.transport_counts.items():
            self.metrics.gauge(
                "almondshore_transport_events", "Transport events since start", value, event=name
            )

    def _observe_config(self) -> None:
        config = self.node.control.config
        version = config.state.current.version
        if version != self.version:
            log_event("config_accepted", version=version, previous=self.version)
            self.version = version
            self.metrics.gauge(
                "almondshore_config_version", "Configuration version in effect", version
            )
        if len(config.refused) > self.refused_count:
            (refused_version, _), reason = next(reversed(config.refused.items()))
            log_event("config_refused", level="ERROR", version=refused_version, reason=reason)
        self.refused_count = len(config.refused)
        if config.ready != self.ready:
            self.ready = config.ready
            log_event("node_ready", node=self.node.identity.node, version=version)

    def _observe_role(self) -> None:
        is_relay = self.node.control.relay is not None
        if is_relay != self.is_relay:
            self.is_relay = is_relay
            event = "relay_started" if is_relay else "relay_ended"
            log_event(event, node=self.node.identity.node, zone=self.node.identity.zone)

    def _observe_platform(self) -> None:
        """Log the start and end of a platform outage; nodes learn of it from their relay."""
        up = self.node.control.platform_up
        if up is None or up == self.platform_up:
            return
        self.platform_up = up
        log_event("platform_up" if up else "platform_down", level="INFO" if up else "WARNING")

    def _observe_moves(self) -> None:
        """Log each step and the end of each move once."""
        for service, report in self.node.moves.reports.items():
            step_and_status = (report.status.value, report.step)
            if self.logged_moves.get(service) == step_and_status:
                continue
            self.logged_moves[service] = step_and_status
            log_event(
                f"move_{report.status.value.replace(' ', '_')}",
                service=service,
                move=report.move_id,
                step=report.step,
                reason=report.reason,
                route=report.route,
                evidence=report.evidence,
            )
