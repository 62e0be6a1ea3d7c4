"""Randomized fault soak: ``python -m soak.main --seeds 1-50``."""

import argparse
import shutil
import sys
import tempfile
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

import eventlet

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from soak.cluster import Cluster
from soak.faults import FAULTS, FURTHER_FAULTS, TENANT_FAULTS, Fault
from soak.host import Host
from soak.tenants import ROOMY_KEY, DrawnAccess, RouteAccess

STDERR = 2
# More nodes than watch the store in one zone, so that some nodes get changes from other nodes.
HOST_COUNT = 7
FAULT_PHASE_S = 12.0
START_PHASE_S = 2.5
RECOVERY_PHASE_S = 6.0
# Time within which every node applies a configuration that the store has accepted.
MAX_CONFIG_DELAY_S = 2.0
RECOVERY_REQUESTS = 60
QUOTA_REQUEST_INTERVAL_S = 0.05
MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S = 0.1, 1.2


def run_soak(
    *,
    seed: int,
    folder: Path,
    seconds: float = FAULT_PHASE_S,
    hosts: int = HOST_COUNT,
    faults: Sequence[Fault] = FAULTS + FURTHER_FAULTS + TENANT_FAULTS,
) -> Cluster:
    """Run the soak with one seed.

    :param folder: folder for the settings and logs of the nodes
    :param faults: faults to choose from; a seed plays other ones if they change
    :param seconds: duration of the phase in which faults are injected
    :return: the closed cluster; its checker holds the violations
    """
    cluster = Cluster(folder=folder, hosts=hosts, seed=seed)
    try:
        eventlet.sleep(START_PHASE_S)
        cluster.start_callers()
        _inject_faults(cluster, seconds, faults)
        eventlet.sleep(RECOVERY_PHASE_S)
        cluster.evacuations.reset_runs()
        served = 0
        for number in range(RECOVERY_REQUESTS):
            served += cluster.send_random_request(cluster.hosts[number % hosts]) == 200
        cluster.checker.check_recovery(served, RECOVERY_REQUESTS)
        _check_below_quota(cluster)
        cluster.evacuations.check_returned()
        path = cluster.add_route()
        eventlet.sleep(MAX_CONFIG_DELAY_S)
        for host in cluster.hosts:
            cluster.checker.check_exits(host.name, host.unexpected_exits)
            cluster.checker.check_log(host.name, host.output())
            cluster.checker.check_memory(host.name, host.peak_memory_mb())
            cluster.checker.check_config_applied(host.name, path, cluster.probe_route(host, path))
    finally:
        cluster.close()
    return cluster


def _check_below_quota(cluster: Cluster) -> None:
    """Send requests of a tenant at a rate far below its quota, and check that none gets 429."""
    access = DrawnAccess(ROOMY_KEY, RouteAccess.KEYED, "")
    for number in range(RECOVERY_REQUESTS):
        host = cluster.hosts[number % len(cluster.hosts)]
        cluster.quota.check_below_quota(host.name, cluster.send_request(host, access))
        eventlet.sleep(QUOTA_REQUEST_INTERVAL_S)


def _inject_faults(cluster: Cluster, seconds: float, faults: Sequence[Fault]) -> None:
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
            pool.spawn_n(run, cluster.rng.choice(faults), host)
    pool.waitall()


def _describe_coverage(cluster: Cluster) -> str:
    """Describe how much the checks of tenants, quotas and evacuations had to decide."""
    counts = cluster.tenants.counts
    return (
        f"zones={len({host.zone for host in cluster.hosts})} "
        f"versions={len(cluster.history.versions)} changed-allowed={counts['run']} "
        f"changed-denied={counts['denial']} quota-used={cluster.quota.used_share:.2f} "
        f"evacuated={cluster.evacuations.checked_s:.1f}"
    )


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
                f"seed {seed}: {len(cluster.checker.violations)} violations; {statuses}; "
                f"{_describe_coverage(cluster)}",
                flush=True,
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
