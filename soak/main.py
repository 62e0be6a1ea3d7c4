"""Randomized fault soak: ``python -m soak.main --seeds 1-50``."""

import argparse
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import eventlet

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from soak.cluster import Cluster, Host
from soak.faulty_target import Misbehaviour
from soak.proxy import ProxyMode

STDERR = 2
# More nodes than watch the store in one zone, so that some nodes get changes from other nodes.
HOST_COUNT = 7
FAULT_PHASE_S = 12.0
START_PHASE_S = 2.5
RECOVERY_PHASE_S = 6.0
# Time within which every node applies a configuration that the store has accepted.
MAX_CONFIG_DELAY_S = 2.0
RECOVERY_REQUESTS = 60
MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S = 0.1, 1.2
MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S = 0.3, 4.0
MAX_DEPARTING_TARGETS = 1

Fault = Callable[[Cluster, Host], None]


def _random_fault_duration(cluster: Cluster) -> float:
    return cluster.rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)


def kill_node(cluster: Cluster, host: Host) -> None:
    """Kill a node process with SIGKILL and restart it."""
    host.restart(signal.SIGKILL)


def stop_node(cluster: Cluster, host: Host) -> None:
    """Stop a node process with SIGTERM, as planned maintenance does, and restart it."""
    host.restart(signal.SIGTERM)


def pause_node(cluster: Cluster, host: Host) -> None:
    """Suspend a node process with SIGSTOP for a while."""
    host.signal(signal.SIGSTOP)
    eventlet.sleep(_random_fault_duration(cluster))
    host.signal(signal.SIGCONT)


def reload_node(cluster: Cluster, host: Host) -> None:
    """Make a node reload its settings with SIGHUP."""
    host.signal(signal.SIGHUP)


def disturb_store_connections(cluster: Cluster, host: Host) -> None:
    """Apply a random proxy fault to the connections from a node to the store."""
    host.store_proxy.set_mode(cluster.rng.choice(list(ProxyMode)[1:]))
    eventlet.sleep(_random_fault_duration(cluster))
    host.store_proxy.set_mode(ProxyMode.PASS)


def disturb_target_connections(cluster: Cluster, host: Host) -> None:
    """Apply a random proxy fault to the connections from a node to its target."""
    host.target_proxy.set_mode(cluster.rng.choice(list(ProxyMode)[1:]))
    eventlet.sleep(_random_fault_duration(cluster))
    host.target_proxy.set_mode(ProxyMode.PASS)


def disturb_target(cluster: Cluster, host: Host) -> None:
    """Make a target repeat responses or refusals, or send bytes without an end."""
    host.target_standin.misbehaviour = cluster.rng.choice(list(Misbehaviour)[1:])
    eventlet.sleep(_random_fault_duration(cluster))
    host.target_standin.misbehaviour = Misbehaviour.NONE


def disturb_store(cluster: Cluster, _host: Host) -> None:
    """Make the store refuse all calls, or leave writes that it has made unanswered.

    Of faults that overlap, the last one to end restores the store.
    """
    cluster.store_faults += 1
    if cluster.rng.random() < 0.5:
        cluster.store.refusal_status = cluster.rng.choice((429, 503))
    else:
        cluster.store.drop_write_responses = True
    eventlet.sleep(_random_fault_duration(cluster))
    cluster.store_faults -= 1
    if not cluster.store_faults:
        cluster.store.refusal_status, cluster.store.drop_write_responses = 0, False


def compact_store_history(cluster: Cluster, _host: Host) -> None:
    """Drop the change history of the store, which ends all watches."""
    cluster.store.compact_history()


def change_config(cluster: Cluster, _host: Host) -> None:
    """Write a new version of the configuration to the store."""
    cluster.change_config()


def drain_target(cluster: Cluster, host: Host) -> None:
    """Replace a target that announces that it drains."""
    _replace_target(cluster, host, drain_first=True)


def deregister_target(cluster: Cluster, host: Host) -> None:
    """Replace a target that deregisters without a drain."""
    _replace_target(cluster, host, drain_first=False)


def _replace_target(cluster: Cluster, host: Host, *, drain_first: bool) -> None:
    if sum(other.state != "ready" for other in cluster.hosts) < MAX_DEPARTING_TARGETS:
        host.replace_target(drain_first=drain_first)


FAULTS: tuple[Fault, ...] = (
    kill_node,
    stop_node,
    pause_node,
    reload_node,
    disturb_store_connections,
    disturb_target_connections,
    disturb_target,
    disturb_store,
    compact_store_history,
    change_config,
    drain_target,
    deregister_target,
)


def run_soak(
    *, seed: int, folder: Path, seconds: float = FAULT_PHASE_S, hosts: int = HOST_COUNT
) -> Cluster:
    """Run the soak with one seed.

    :param folder: folder for the settings and logs of the nodes
    :param seconds: duration of the phase in which faults are injected
    :return: the closed cluster; its checker holds the violations
    """
    cluster = Cluster(folder=folder, hosts=hosts, seed=seed)
    try:
        eventlet.sleep(START_PHASE_S)
        cluster.start_callers()
        _inject_faults(cluster, seconds)
        eventlet.sleep(RECOVERY_PHASE_S)
        served = 0
        for number in range(RECOVERY_REQUESTS):
            served += cluster.send_random_request(cluster.hosts[number % hosts]) == 200
        cluster.checker.check_recovery(served, RECOVERY_REQUESTS)
        path = cluster.add_route()
        eventlet.sleep(MAX_CONFIG_DELAY_S)
        for host in cluster.hosts:
            cluster.checker.check_exits(host.name, host.unexpected_exits)
            cluster.checker.check_config_applied(host.name, path, cluster.probe_route(host, path))
    finally:
        cluster.close()
    return cluster


def _inject_faults(cluster: Cluster, seconds: float) -> None:
    """Start faults at random intervals; they overlap, but each host has at most one at a time."""
    hosts_with_fault: set[Host] = set()
    end = cluster.clock.monotonic() + timedelta(seconds=seconds)
    pool = eventlet.GreenPool()

    def run(fault: Fault, host: Host) -> None:
        try:
            fault(cluster, host)
        finally:
            hosts_with_fault.discard(host)

    while cluster.clock.monotonic() < end:
        eventlet.sleep(cluster.rng.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S))
        fault_free_hosts = [host for host in cluster.hosts if host not in hosts_with_fault]
        if fault_free_hosts:
            host = cluster.rng.choice(fault_free_hosts)
            hosts_with_fault.add(host)
            pool.spawn_n(run, cluster.rng.choice(FAULTS), host)
    pool.waitall()


def main() -> int:
    """Run all seeds and print the result counts and the violations of each.

    :return: 1 if a seed found a violation, otherwise 0
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="first and last seed, such as 1-50")
    parser.add_argument(
        "--seconds", type=float, default=FAULT_PHASE_S, help="duration of the fault phase"
    )
    parser.add_argument(
        "--keep", type=Path, help="folder that receives the settings and logs of failed seeds"
    )
    options = parser.parse_args()
    setup_logs(level="ERROR", stream=BoundedStream(descriptor=STDERR))
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            cluster = run_soak(seed=seed, folder=Path(folder), seconds=options.seconds)
            statuses = " ".join(
                f"{key}={count}" for key, count in sorted(cluster.checker.statuses.items())
            )
            print(
                f"seed {seed}: {len(cluster.checker.violations)} violations; {statuses}", flush=True
            )
            for line in cluster.checker.violations:
                print(f"  {line}")
            if cluster.checker.violations:
                failed += 1
                if options.keep is not None:
                    shutil.copytree(folder, options.keep / f"seed-{seed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
