"""Routes of a node: kept in step with the configuration, the directory and the moves."""

from almondshore.limits.tenants import TenantLimits
from almondshore.moves.state import MoveTable
from almondshore.proxy.caller import Routes
from almondshore.retries.budget import RetryBudget
from almondshore.routing.choice import TargetChooser
from almondshore.routing.table import RouteTable
from almondshore.rules.model import ServicePart
from almondshore.versions.view import RoutingView, ViewBuilder

NO_ROUTES = Routes(False, RouteTable([]), {})


class RouteKeeper:
    """Builds the routes anew when the view or the shares of a move have changed.

    The table holds the routes of all services, since a request to one that has no known target
    is refused, and must neither be told that its route does not exist nor match a shorter prefix
    of another service. A share names only versions with known targets, so no request is sent to
    something this node does not know.
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
        self.moves_seen: tuple[int, int] = (0, 0)
        self.current = NO_ROUTES

    def refresh(self, *, ready: bool) -> None:
        """Bring the routes up to date.

        :param ready: whether the node has learnt the newest configuration
        """
        old, view = self.view, self.builder.view()
        changed = view is not old
        if changed:
            self._take_view(view)
        moves_seen = (len(self.moves.vetoes), self.moves.digest())
        self._update_targets(old, view, moved=moves_seen != self.moves_seen)
        if changed or moves_seen != self.moves_seen or ready != self.current.ready:
            self.moves_seen = moves_seen
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

    def _take_view(self, view: RoutingView) -> None:
        old, self.view = self.view, view
        if old.version != view.version:
            self.moves.set_configuration(self.parts())
            self.tenants.configure(view.tenants.values())
            self.budget.keep(set(self.builder.services))
            self.current = self.current._replace(table=RouteTable(self.parts()))

    def _update_targets(self, old: RoutingView, view: RoutingView, *, moved: bool) -> None:
        """Give the chooser the targets that changed, limited to those that a move uses."""
        for name in old.targets.keys() | view.targets.keys():
            targets, part = view.targets.get(name, {}), view.services.get(name)
            moving = part is not None and part["move"] is not None
            changed = part != old.services.get(name) or targets != old.targets.get(name, {})
            if changed or (moving and moved):
                used = self.moves.limit_targets(part, targets) if moving else targets
                records = [record for found in used.values() for record in found]
                self.chooser.update(name, records)
