"""Routes of a node, updated from the configuration, the directory and the moves."""

from almondshore.limits.tenants import TenantLimits
from almondshore.moves.state import MoveTable
from almondshore.proxy.caller import Routes
from almondshore.retries.budget import RetryBudget
from almondshore.routing.choice import TargetChooser
from almondshore.routing.table import RouteTable
from almondshore.rules.model import ServicePart
from almondshore.versions.view import RoutingView, ViewBuilder

NO_ROUTES = Routes(False, RouteTable([]), {})


class RouteUpdater:
    """Rebuilds the routes when the routing view or the traffic shares of a move change.

    The table contains the routes of all services, including those without known targets. A request
    for such a service must fail because there is no target; it must neither fail with an unknown
    route nor match a shorter prefix of another service. Weights contain only versions with known
    targets, so that no request is sent to an unknown target.

    :ivar current: routes in effect
    :ivar moves_fingerprint: number of vetoes and digest of the moves that the routes reflect
    """

    def __init__(
        self,
        *,
        builder: ViewBuilder,
        moves: MoveTable,
        chooser: TargetChooser,
        tenants: TenantLimits,
        budget: RetryBudget,
    ):
        self.builder = builder
        self.moves = moves
        self.chooser = chooser
        self.tenants = tenants
        self.budget = budget
        self.view: RoutingView = builder.current
        self.moves_fingerprint: tuple[int, int] = (0, 0)
        self.current = NO_ROUTES

    def refresh(self, *, ready: bool) -> None:
        """Update the routes, the chooser and the tenant limits if their inputs have changed.

        :param ready: whether the node has received the newest configuration
        """
        old, view = self.view, self.builder.view()
        changed = view is not old
        if changed:
            self._apply_view(view)
        moves_fingerprint = (len(self.moves.vetoes), self.moves.digest())
        self._update_targets(old, view, moves_changed=moves_fingerprint != self.moves_fingerprint)
        if changed or moves_fingerprint != self.moves_fingerprint or ready != self.current.ready:
            self.moves_fingerprint = moves_fingerprint
            self.current = self.current._replace(
                ready=ready,
                weights={
                    name: view.split(name, self.moves.weights(part))
                    for name, part in view.services.items()
                },
            )

    def parts(self) -> list[ServicePart]:
        """Return all service parts of the configuration in effect."""
        return list(self.builder.services.values())

    def _apply_view(self, view: RoutingView) -> None:
        old, self.view = self.view, view
        if old.version != view.version:
            self.moves.set_configuration(self.parts())
            self.tenants.configure(view.tenants.values())
            self.budget.keep(set(self.builder.services))
            self.current = self.current._replace(table=RouteTable(self.parts()))

    def _update_targets(self, old: RoutingView, view: RoutingView, *, moves_changed: bool) -> None:
        """Pass changed targets to the chooser; during a move, only those that the move uses."""
        for name in old.targets.keys() | view.targets.keys():
            targets, part = view.targets.get(name, {}), view.services.get(name)
            has_move = part is not None and part["move"] is not None
            changed = part != old.services.get(name) or targets != old.targets.get(name, {})
            if changed or (has_move and moves_changed):
                used = self.moves.limit_targets(part, targets) if has_move else targets
                records = [
                    record for version_records in used.values() for record in version_records
                ]
                self.chooser.update(name, records)
