"""Builds the status views of a node."""

from typing import TYPE_CHECKING

from almondshore.mesh.hop import MILLISECOND
from almondshore.mesh.model import Target, TargetState
from almondshore.mesh.view import NodeView, ServiceView, TargetsView, TargetView

if TYPE_CHECKING:
    from almondshore.mesh.node import MeshNode


def node_view(node: "MeshNode") -> NodeView:
    """Return the current status of a node."""
    followed, announced, queue = (
        node.feeds.follower.followed,
        node.local.announced,
        node.local.queue,
    )
    never_updated = (
        node.feeds.follower.followed is None and node.feeds.probe_replica.answered_at is None
    )
    down_since = node.feeds.store_unavailable_since()
    names = {target.service for target in node.directory.targets.values()}
    return NodeView(
        node=node.settings.node,
        zone=node.settings.zone,
        service=node.settings.service,
        ready=node.is_ready(),
        stopping=node.stopping_since is not None,
        config_version=node.outbound.config_version(),
        source="store" if followed is None else f"{followed[0]}:{followed[1]}",
        state_age_ms=-1 if never_updated else int(node.feeds.follower.age() / MILLISECOND),
        store_away_ms=(
            0 if down_since is None else int((node.clock.monotonic() - down_since) / MILLISECOND)
        ),
        target=announced.target if announced else "",
        target_state=announced.state.value if announced else "",
        running=len(queue.running) if queue else 0,
        waiting=len(queue.waiting) if queue else 0,
        services=[_service_view(node, name) for name in sorted(names)],
        unreachable=sorted(f"{host}:{port}" for host, port in node.directory.nodes),
    )


def targets_view(node: "MeshNode") -> TargetsView:
    """Return the targets that a node knows, sorted by zone and node."""
    targets = sorted(node.directory.targets.values(), key=lambda item: (item.zone, item.node))
    return TargetsView(targets=[_target_view(node, item) for item in targets])


def _target_view(node: "MeshNode", target: Target) -> TargetView:
    return TargetView(
        target=target.target,
        service=target.service,
        version=target.version,
        zone=target.zone,
        node=f"{target.node[0]}:{target.node[1]}",
        state=target.state.value,
        answers=node.directory.is_reachable(target.node),
    )


def _service_view(node: "MeshNode", service: str) -> ServiceView:
    targets = [item for item in node.directory.targets.values() if item.service == service]
    rollout = node.shares.rollouts.get(service)
    ready = node.directory.versions(service)
    return ServiceView(
        service=service,
        ready={version: len(targets) for version, targets in sorted(ready.items())},
        known=sum(item.state is not TargetState.GONE for item in targets),
        rollout=rollout.state.value if rollout else "",
        rollout_version=rollout.version if rollout else "",
        rollout_share=rollout.share if rollout else 0.0,
    )
