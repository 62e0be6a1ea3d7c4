"""One node without I/O: joins the state machines of control, routes and moves."""

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
from almondshore.daemon.moving import MoveKeeper
from almondshore.daemon.routes import RouteKeeper
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

    ``handle`` and ``tick`` never wait. ``platform_step``, ``watch_step`` and ``coordinate`` wait
    for the platform and are run apart from each other.
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
        """Create a node that knows nothing yet.

        :param platform: platform client for control, within the node's call budget
        :param claims_platform: platform client for idempotency keys, whose claims have a budget
            of their own; the same as ``platform`` by default
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
        self._make_request_logic(rng, max_tenants)
        self.once = OnceOwner(
            clock=clock,
            node=identity.node,
            process=identity.incarnation,
            platform=claims_platform or platform,
            directory=self.control.directory,
        )
        self.routes = RouteKeeper(
            builder=ViewBuilder(state=self.control.config.state, directory=self.control.directory),
            moves=self.table,
            chooser=self.chooser,
            tenants=self.tenants,
            budget=self.policy.budget,
        )
        self.moves = MoveKeeper(
            clock=clock,
            rng=rng,
            platform=platform,
            control=self.control,
            table=self.table,
            routes=self.routes,
        )

    @property
    def ready(self) -> bool:
        """Whether this node has learnt the newest configuration and may serve requests."""
        return self.control.config.ready

    def handle(self, message: Message, sender: str) -> list[Send]:
        """React to a message of another node."""
        if isinstance(message, DirectoryDelta | DirectorySnapshot):
            self._notice_own_death(message.records)
        if isinstance(message, CrashDeath):
            return self.note_crash(message, sender)
        sends = self.control.handle(message, sender) + self.moves.handle(message, sender)
        self.routes.refresh(ready=self.ready)
        return sends

    def tick(self) -> list[Send]:
        """Do what is due."""
        sends = self.control.tick() + self.moves.tick()
        self.once.refresh(
            platform_up=self.control.platform_up,
            in_contact=self.control.take_liveness_confirmation(),
        )
        self.routes.refresh(ready=self.ready)
        return sends

    def note_crash(self, death: CrashDeath, sender: str) -> list[Send]:
        """Count the death of a target that ran a request, and pass it on if it is news."""
        return self.control.propagate(death, sender) if self.crash_guard.record_death(death) else []

    def platform_step(self) -> list[Send]:
        """Take and renew relay leases; waits for the platform."""
        return self.control.platform_step()

    def watch_step(self) -> None:
        """Watch the configuration if this node is a relay; waits for the platform."""
        self.control.watch_step()
        self.routes.refresh(ready=self.ready)

    def announce(self, records: list[TargetRecord]) -> list[Send]:
        """Route to the own targets as they are now, and make the changes known."""
        sends = self.control.announce(records)
        self.routes.refresh(ready=self.ready)
        return sends

    def claim_step(self) -> None:
        """Write deferred claims of idempotency keys; waits for the platform."""
        self.once.tick()

    def coordinate(self) -> list[Send]:
        """Advance the moves that fall to this node; waits for the platform."""
        return self.moves.coordinate()

    def current_routes(self) -> Routes:
        """Return what requests are routed by."""
        return self.routes.current

    def _notice_own_death(self, records: list[TargetRecord]) -> None:
        """Note that others took over this node's keys while they held it for dead."""
        own = {target.record.target for target in self.control.local.targets.values()}
        if any(r.target in own and r.state is TargetState.DEAD for r in records):
            self.once.note_rejoin()

    def _make_request_logic(self, rng: random.Random, max_tenants: int) -> None:
        clock = self.clock
        self.tenants = TenantLimits(clock=clock, capacity=max_tenants)
        self.policy = RetryPolicy(clock=clock, rng=rng, budget=RetryBudget(clock=clock))
        self.crash_guard = CrashGuard(clock=clock)
        self.chooser = TargetChooser(
            clock=clock, rng=rng, zone=self.identity.zone, ejector=OutlierEjector(clock=clock)
        )
