"""One node without I/O: connects the state machines of control, routing and moves."""

import random
from collections.abc import Sequence

from almondshore.core.clock import Clock
from almondshore.core.messages import (
    CrashDeath,
    DirectoryDelta,
    DirectorySnapshot,
    Message,
    Send,
    TargetRecord,
    TargetState,
)
from almondshore.daemon.moves import MoveManager
from almondshore.daemon.routes import RouteUpdater
from almondshore.limits.tenants import TenantLimits
from almondshore.moves.state import MoveTable
from almondshore.proxy.caller import Routes
from almondshore.proxy.once import OnceOwner
from almondshore.relay.control import ControlLimits, ControlNode, Identity
from almondshore.retries.budget import RetryBudget
from almondshore.retries.crash import CrashGuard
from almondshore.retries.policy import RetryPolicy
from almondshore.routing.choice import TargetChooser
from almondshore.routing.outlier import OutlierEjector
from almondshore.storage.port import Platform
from almondshore.versions.view import ViewBuilder


class Node:
    """The decision logic of one node.

    ``handle`` and ``tick`` never block. ``platform_step``, ``watch_step``, ``claim_step`` and
    ``coordinate`` make blocking platform calls and run in separate loops.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        identity: Identity,
        platform: Platform,
        claims_platform: Platform | None = None,
        seeds: Sequence[str] = (),
        limits: ControlLimits | None = None,
        max_tenants: int,
    ):
        """Create a node without configuration, routes or targets.

        :param platform: platform client for the control plane, limited by the node's call budget
        :param claims_platform: platform client for idempotency keys, whose claims have a budget
            of their own; the same as ``platform`` by default
        :param seeds: control addresses of nodes to contact first
        :param max_tenants: maximum number of tenants with limits of their own
        """
        self.clock = clock
        self.identity = identity
        self.table = MoveTable()
        self.control = ControlNode(
            clock=clock,
            rng=rng,
            identity=identity,
            platform=platform,
            seeds=seeds,
            moves_digest=self.table.digest,
            limits=limits,
        )
        self._create_request_components(rng, max_tenants)
        self.once = OnceOwner(
            clock=clock,
            node=identity.node,
            process=identity.incarnation,
            platform=claims_platform or platform,
            directory=self.control.directory,
        )
        self.routes = RouteUpdater(
            builder=ViewBuilder(state=self.control.config.state, directory=self.control.directory),
            moves=self.table,
            chooser=self.chooser,
            tenants=self.tenants,
            budget=self.policy.budget,
        )
        self.moves = MoveManager(
            clock=clock,
            rng=rng,
            platform=platform,
            control=self.control,
            table=self.table,
            routes=self.routes,
        )

    @property
    def ready(self) -> bool:
        """Whether this node has received the newest configuration and may serve requests."""
        return self.control.config.ready

    def handle(self, message: Message, sender: str) -> list[Send]:
        """Process a message from another node; return the messages to send."""
        if isinstance(message, DirectoryDelta | DirectorySnapshot):
            self._check_own_target_deaths(message.records)
        if isinstance(message, CrashDeath):
            return self.record_crash(message, sender)
        sends = self.control.handle(message, sender) + self.moves.handle(message, sender)
        self.routes.refresh(ready=self.ready)
        return sends

    def tick(self) -> list[Send]:
        """Run the periodic work that is due; return the messages to send."""
        sends = self.control.tick() + self.moves.tick()
        self.once.refresh(
            platform_up=self.control.platform_up,
            in_contact=self.control.take_liveness_confirmation(),
        )
        self.routes.refresh(ready=self.ready)
        return sends

    def record_crash(self, death: CrashDeath, sender: str) -> list[Send]:
        """Record that a target died while running a request; forward the message if it is new."""
        return self.control.propagate(death, sender) if self.crash_guard.record_death(death) else []

    def platform_step(self) -> list[Send]:
        """Acquire and renew relay leases; blocks on platform calls."""
        return self.control.platform_step()

    def watch_step(self) -> None:
        """Watch the configuration if this node is a relay; blocks on platform calls."""
        self.control.watch_step()
        self.routes.refresh(ready=self.ready)

    def announce(self, records: list[TargetRecord]) -> list[Send]:
        """Publish changed records of this node's targets and update its routes."""
        sends = self.control.announce(records)
        self.routes.refresh(ready=self.ready)
        return sends

    def claim_step(self) -> None:
        """Write deferred claims of idempotency keys; blocks on platform calls."""
        self.once.tick()

    def coordinate(self) -> list[Send]:
        """Advance the moves assigned to this node; blocks on platform calls."""
        return self.moves.coordinate()

    def current_routes(self) -> Routes:
        """Return the routes in effect."""
        return self.routes.current

    def _check_own_target_deaths(self, records: list[TargetRecord]) -> None:
        """Note that other nodes declared a target of this node dead and took over its keys."""
        own = {target.record.target for target in self.control.local.targets.values()}
        if any(r.target in own and r.state is TargetState.DEAD for r in records):
            self.once.note_rejoin()

    def _create_request_components(self, rng: random.Random, max_tenants: int) -> None:
        clock = self.clock
        self.tenants = TenantLimits(clock=clock, capacity=max_tenants)
        self.policy = RetryPolicy(clock=clock, rng=rng, budget=RetryBudget(clock=clock))
        self.crash_guard = CrashGuard(clock=clock)
        self.chooser = TargetChooser(
            clock=clock, rng=rng, zone=self.identity.zone, ejector=OutlierEjector(clock=clock)
        )
