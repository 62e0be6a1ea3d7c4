"""The process of one node: connects its logic to sockets, greenlets, logs and metrics."""

import random
import socket
from collections.abc import Callable
from datetime import timedelta

import eventlet
from eventlet.event import Event

from almondshore.core.clock import SystemClock
from almondshore.core.logs import log_event
from almondshore.core.messages import CrashDeath, Envelope, Send
from almondshore.daemon.admin import AdminApp, Announcement
from almondshore.daemon.metrics import Metrics
from almondshore.daemon.node import Node
from almondshore.daemon.settings import Settings
from almondshore.daemon.state_logger import StateLogger
from almondshore.daemon.status import StatusWriter
from almondshore.limits.admission import SlotQueue
from almondshore.net.nng import NngTransport
from almondshore.proxy.caller import CallerApp, FinishedCall
from almondshore.proxy.gate import SlotGate
from almondshore.proxy.once import OnceApp, OnceClient
from almondshore.proxy.pool import HopPool
from almondshore.proxy.serving import InFlightRequests, serve
from almondshore.proxy.target import Endpoint, TargetApp
from almondshore.relay.control import ControlLimits, Identity
from almondshore.storage.budget import (
    NODE_RATES,
    RELAY_RATES,
    BudgetedPlatform,
    CallBudget,
)
from almondshore.storage.http import HttpPlatform

TICK_INTERVAL_SECONDS = 0.1
PLATFORM_STEP_INTERVAL_SECONDS = 0.5
CLAIM_STEP_INTERVAL_SECONDS = 1.0
DRAIN_POLL_INTERVAL_SECONDS = 0.05
# Time within which all nodes learn that the targets are leaving and stop sending them requests.
LEAVE_PROPAGATION_TIME = timedelta(seconds=3)
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_HOSTS = 1024
CONNECTIONS_PER_HOST = 100


class NodeProcess:
    """Runs one node with its listeners, transport and platform clients.

    :ivar callers: hop 1 applications of the external and the internal listener
    :ivar endpoints: targets of this node that requests may be handed to, by name
    :ivar in_flight: requests being served, except those of the admin listener
    :ivar is_relay: whether the platform call budget has the rates of a relay
    """

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics(
            max_tenants=settings.limits.tenants,
            constant_labels={"node": settings.node, "zone": settings.zone},
        )
        self.budget = CallBudget(clock=self.clock, **NODE_RATES._asdict())
        self.http_platform = HttpPlatform(
            url=settings.platform.url, clock=self.clock, timeout=settings.platform.timeout
        )
        self.platform = BudgetedPlatform(inner=self.http_platform, budget=self.budget)
        self.is_relay = False
        self.node = self._make_node()
        self.transport = NngTransport(
            listen=settings.listen.control, zone=settings.zone, clock=self.clock
        )
        self.status = StatusWriter(clock=self.clock, platform=self.platform, node=self.node)
        self.state_logger = StateLogger(
            node=self.node, metrics=self.metrics, transport_counts=self.transport.counts
        )
        self.pool = HopPool(
            max_hosts=MAX_HOSTS,
            connections_per_host=CONNECTIONS_PER_HOST,
            connect_timeout=CONNECT_TIMEOUT,
            max_response_bytes=settings.limits.max_body_bytes,
        )
        self.endpoints: dict[str, Endpoint] = {}
        self.once = OnceClient(
            clock=self.clock,
            identity=self.node.once.identity,
            directory=self.node.control.directory,
            owner=self.node.once,
            pool=self.pool,
        )
        self.callers = [self._make_caller(trusted) for trusted in (False, True)]
        self.target_app = TargetApp(
            clock=self.clock,
            endpoints=self.endpoints,
            pool=self.pool,
            max_body_bytes=settings.limits.max_body_bytes,
            once_app=OnceApp(owner=self.node.once),
            crash_guard=self.node.crash_guard,
            on_death=self._record_target_death,
            on_run=self.node.moves.record,
        )
        self.in_flight = InFlightRequests()
        self.listeners: list[socket.socket] = []
        self.draining = False
        self.drained = Event()

    def run(self) -> None:
        """Serve until the node has been drained."""
        eventlet.wsgi.MAX_TOTAL_HEADER_SIZE = self.settings.limits.max_header_bytes
        listen = self.settings.listen
        admin = AdminApp(
            clock=self.clock,
            node=self.node,
            metrics=self.metrics,
            announce=self.announce,
            withdraw=self.withdraw,
            drain=lambda: eventlet.spawn(self.drain),
            is_draining=lambda: self.draining,
        )
        serve(listen.admin, admin, InFlightRequests())
        self.listeners = [
            serve(listen.peer, self.target_app, self.in_flight),
            serve(listen.caller, self.callers[0], self.in_flight),
            serve(listen.internal, self.callers[1], self.in_flight),
        ]
        eventlet.spawn(self.transport.receive_forever, self._handle_message)
        self._spawn_loop(self._tick, TICK_INTERVAL_SECONDS)
        self._spawn_loop(self._platform_step, PLATFORM_STEP_INTERVAL_SECONDS)
        self._spawn_loop(self._coordinate, PLATFORM_STEP_INTERVAL_SECONDS)
        self._spawn_loop(self.node.claim_step, CLAIM_STEP_INTERVAL_SECONDS)
        self._spawn_loop(self.once.fetch_handovers, CLAIM_STEP_INTERVAL_SECONDS)
        self._spawn_loop(self.node.watch_step, lambda: self._watch_delay())
        log_event("node_started", node=self.settings.node, zone=self.settings.zone)
        self.drained.wait()

    def announce(self, announcement: Announcement) -> bool:
        """Register or update a target on this host.

        :return: False if there is no room for another target
        """
        local = self.node.control.local
        leaving = announcement.state == "leaving" or self.draining
        records = local.announce(
            target=announcement.target,
            service=announcement.service,
            version=announcement.version,
            slots=announcement.slots,
            draining=leaving,
        )
        if announcement.target not in local.targets:
            return False
        self._set_endpoint(announcement)
        if leaving:
            self.endpoints[announcement.target].gate.drain()
        self._send_all(self.node.announce(records))
        return True

    def withdraw(self, target: str) -> None:
        """Remove a target that has stopped."""
        self._send_all(self.node.announce(self.node.control.local.withdraw(target)))
        self.endpoints.pop(target, None)

    def drain(self) -> None:
        """Announce that the targets are leaving, finish the requests in flight and stop the node.

        Requests still running after the drain timeout are abandoned.
        """
        if self.draining:
            return
        self.draining = True
        self.in_flight.closing = True
        log_event("node_draining", node=self.settings.node)
        started = self.clock.monotonic()
        self._send_all(self.node.announce(self.node.control.local.drain_all()))
        while self.clock.monotonic() - started < self.settings.drain_timeout:
            eventlet.sleep(DRAIN_POLL_INTERVAL_SECONDS)
            # Gates stay open until all nodes know, so that no request in transit is refused.
            if self.clock.monotonic() - started < LEAVE_PROPAGATION_TIME:
                continue
            for endpoint in self.endpoints.values():
                endpoint.gate.drain()
            if not self._has_work():
                self._close_listeners()
            if self._is_idle():
                break
        self.node.control.election.release()
        self.node.moves.release()
        log_event("node_ended", node=self.settings.node, idle=self._is_idle())
        self.drained.send()

    def _has_work(self) -> bool:
        return not all(endpoint.gate.queue.is_idle() for endpoint in self.endpoints.values())

    def _is_idle(self) -> bool:
        return not self._has_work() and self.in_flight.count == 0

    def _close_listeners(self) -> None:
        """Stop accepting connections, so that steady load cannot delay the shutdown."""
        while self.listeners:
            self.listeners.pop().shutdown(socket.SHUT_RDWR)

    def _make_node(self) -> Node:
        listen = self.settings.listen
        started_ms = int(self.clock.now().timestamp() * 1000)
        identity = Identity(
            self.settings.node, started_ms, self.settings.zone, listen.control, listen.peer
        )
        return Node(
            clock=self.clock,
            rng=random.Random(),
            identity=identity,
            platform=self.platform,
            claims_platform=self.http_platform,
            seeds=self.settings.peers,
            limits=ControlLimits(**self.settings.relay._asdict()),
            max_tenants=self.settings.limits.tenants,
        )

    def _make_caller(self, trusted: bool) -> CallerApp:
        return CallerApp(
            clock=self.clock,
            routes=self.node.current_routes,
            chooser=self.node.chooser,
            tenants=self.node.tenants,
            policy=self.node.policy,
            crash_guard=self.node.crash_guard,
            once_client=self.once,
            pool=self.pool,
            max_body_bytes=self.settings.limits.max_body_bytes,
            trusted=trusted,
            on_finished=self._record_request,
        )

    def _set_endpoint(self, announcement: Announcement) -> None:
        existing = self.endpoints.get(announcement.target)
        if existing is not None and existing.version == announcement.version:
            return
        queue = SlotQueue(
            clock=self.clock,
            slots=announcement.slots,
            queue_limit=self.settings.limits.queue_length,
        )
        self.endpoints[announcement.target] = Endpoint(
            announcement.target,
            announcement.service,
            announcement.version,
            announcement.address,
            SlotGate(queue=queue),
            self.node.control.local.targets[announcement.target].record.incarnation,
        )

    def _spawn_loop(self, action: Callable[[], None], pause: float | Callable[[], float]) -> None:
        """Run an action in a loop in its own greenlet; errors are logged and counted.

        :param pause: seconds between runs, or a function that returns them
        """

        def loop() -> None:
            while True:
                try:
                    action()
                except Exception as error:
                    log_event("loop_failed", level="ERROR", action=action, error=repr(error))
                    self.metrics.count("almondshore_loop_failures_total", "Errors in loops")
                eventlet.sleep(pause() if callable(pause) else pause)

        eventlet.spawn(loop)

    def _watch_delay(self) -> float:
        source = self.node.control.source
        return (
            source.delay.total_seconds() if source is not None else PLATFORM_STEP_INTERVAL_SECONDS
        )

    def _handle_message(self, envelope: Envelope) -> None:
        try:
            self._send_all(self.node.handle(envelope.message, envelope.sender))
        except Exception as error:
            kind = type(envelope.message).__name__
            log_event("message_failed", level="ERROR", kind=kind, error=repr(error))
            self.metrics.count("almondshore_message_failures_total", "Messages that failed")

    def _tick(self) -> None:
        self._send_all(self.node.tick())
        self._update_call_budget()
        for endpoint in list(self.endpoints.values()):
            endpoint.gate.expire()
        for target in self.endpoints.keys() - self.node.control.local.targets.keys():
            del self.endpoints[target]
        self.state_logger.observe()

    def _update_call_budget(self) -> None:
        """Set the rates of the platform call budget when this node's role as a relay changes."""
        is_relay = self.node.control.relay is not None
        if is_relay != self.is_relay:
            self.is_relay = is_relay
            self.budget.set_rates(RELAY_RATES if is_relay else NODE_RATES)

    def _platform_step(self) -> None:
        self._send_all(self.node.platform_step())
        self.status.step()

    def _coordinate(self) -> None:
        self._send_all(self.node.coordinate())

    def _send_all(self, sends: list[Send]) -> None:
        for item in sends:
            if item.to == self.settings.listen.control:
                self._send_all(self.node.handle(item.message, item.to))
            else:
                self.transport.send(item)

    def _record_target_death(self, death: CrashDeath) -> None:
        log_event("target_died", level="WARNING", target=death.target)
        self._send_all(self.node.record_crash(death, self.settings.listen.control))

    def _record_request(self, finished: FinishedCall) -> None:
        self.metrics.observe_request(
            tenant=finished.tenant,
            request_class=finished.request_class,
            outcome=finished.outcome,
            latency=finished.latency,
        )
