"""The effective routing view of a node, derived from its configuration and directory."""

from collections.abc import Mapping
from typing import NamedTuple

from almondshore.core.messages import TargetRecord
from almondshore.membership.directory import Directory
from almondshore.rules.compile import (
    SERVICE_PREFIX,
    TENANT_PREFIX,
    decode_service,
    decode_tenant,
)
from almondshore.rules.model import ServicePart, TenantPart
from almondshore.versions.config import EMPTY, Configuration
from almondshore.versions.state import ConfigState

Targets = Mapping[str, tuple[TargetRecord, ...]]


class RoutingView(NamedTuple):
    """Services, targets and tenants that a node routes by; all references resolve.

    :ivar version: configuration version that the view was built from
    :ivar services: services with at least one known target; only their routes are active
    :ivar targets: targets that take new work, by service and version; no entry is empty
    :ivar without_targets: services in the configuration that have no known target
    """

    version: int
    services: Mapping[str, ServicePart]
    targets: Mapping[str, Targets]
    tenants: Mapping[str, TenantPart]
    without_targets: frozenset[str]

    def split(self, service: str, weights: Mapping[str, float]) -> dict[str, float]:
        """Return the weights of the versions with known targets, normalized to a sum of 1.

        :return: empty if no version with a positive weight has a known target
        """
        known = self.targets.get(service, {})
        kept = {v: weight for v, weight in weights.items() if v in known and weight > 0}
        total = sum(kept.values())
        return {version: weight / total for version, weight in kept.items()}


class ViewBuilder:
    """Rebuilds the view when the configuration or the directory has changed.

    Versions without known targets are omitted only from the view, so that they return with their
    targets.

    :ivar configuration: the configuration whose parts are decoded
    :ivar built: configuration digest and version, and directory revision, of the current view
    """

    def __init__(self, *, state: ConfigState, directory: Directory):
        self.state = state
        self.directory = directory
        self.configuration: Configuration = EMPTY
        self.services: dict[str, ServicePart] = {}
        self.tenants: dict[str, TenantPart] = {}
        self.built: tuple[bytes, int, int] | None = None
        self.current = RoutingView(0, {}, {}, {}, frozenset())

    def view(self) -> RoutingView:
        """Return the current view, rebuilt if the configuration or the directory has changed."""
        configuration = self.state.current
        key = (configuration.digest, configuration.version, self.directory.revision)
        if key != self.built:
            self._decode(configuration)
            self.current = self._build(configuration.version)
            self.built = key
        return self.current

    def _decode(self, configuration: Configuration) -> None:
        """Decode the parts that differ from those of the last decoded configuration."""
        old, new = self.configuration.parts, configuration.parts
        for name in old.keys() - new.keys():
            if name.startswith(SERVICE_PREFIX):
                del self.services[name.removeprefix(SERVICE_PREFIX)]
            else:
                del self.tenants[name.removeprefix(TENANT_PREFIX)]
        for name, data in new.items():
            if old.get(name) == data:
                continue
            if name.startswith(SERVICE_PREFIX):
                self.services[name.removeprefix(SERVICE_PREFIX)] = decode_service(data)
            else:
                self.tenants[name.removeprefix(TENANT_PREFIX)] = decode_tenant(data)
        self.configuration = configuration

    def _build(self, version: int) -> RoutingView:
        targets = {name: self._targets(name) for name in self.services}
        active = {name: known for name, known in targets.items() if known}
        services = {name: self.services[name] for name in active}
        without_targets = frozenset(self.services.keys() - active.keys())
        return RoutingView(version, services, active, dict(self.tenants), without_targets)

    def _targets(self, service: str) -> Targets:
        lookup = self.directory.lookup
        return {v: lookup(service, v) for v in sorted(self.directory.versions(service))}
