"""Faults that the soak injects, each into one host of a cluster."""

import contextlib
import signal
from collections.abc import Callable

import eventlet

from soak import restores
from soak.cluster import CRASH_PATH_PART, Cluster
from soak.faulty_target import Misbehaviour, endless_pieces
from soak.host import Host
from soak.proxy import ProxyMode
from soak.tenants import STEADY_KEY

MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S = 0.3, 4.0
MAX_DEPARTING_TARGETS = 1
DISTURBANCES = (
    ProxyMode.DELAY,
    ProxyMode.RESET,
    ProxyMode.CUT_REQUESTS,
    ProxyMode.CUT_ANSWERS,
    ProxyMode.SILENT,
)
CRASH_REQUESTS = 4
MAX_COPY_AGE_S = 6.0
MAX_AWAY_S = 2.0
MAX_LARGE_BODY_BYTES = 12 * 1024 * 1024
# An evacuation must hold 5 s after its acknowledgement; only what is longer can be checked.
MIN_EVACUATION_S, MAX_EVACUATION_S = 6.5, 9.0

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
    host.store_proxy.set_mode(cluster.rng.choice(DISTURBANCES))
    eventlet.sleep(_random_fault_duration(cluster))
    host.store_proxy.set_mode(ProxyMode.PASS)


def disturb_target_connections(cluster: Cluster, host: Host) -> None:
    """Apply a random proxy fault to the connections from a node to its target."""
    host.target_proxy.set_mode(cluster.rng.choice(DISTURBANCES))
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


def restore_store(cluster: Cluster, _host: Host) -> None:
    """Restore the store from a recent copy, or one without entries; check that they come back."""
    # The entries are written once, so that few are lost with a copy of the last seconds.
    age_s = cluster.rng.choice((None, cluster.rng.uniform(0.2, MAX_COPY_AGE_S)))
    away_s = cluster.rng.choice((0.0, cluster.rng.uniform(0.2, MAX_AWAY_S)))
    restores.restore_store(cluster, age_s=age_s, away_s=away_s)


def change_config(cluster: Cluster, _host: Host) -> None:
    """Write a new version of the configuration, with other keys, quotas and routes."""
    cluster.change_config()


def evacuate_zone(cluster: Cluster, host: Host) -> None:
    """Evacuate the zone of a host for a while, unless it is the only zone or one is evacuated."""
    if len({other.zone for other in cluster.hosts}) < 2 or cluster.evacuations.ordered:
        return
    cluster.evacuations.begin(host.zone)
    eventlet.sleep(cluster.rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S))
    cluster.evacuations.end(host.zone)


def drain_target(cluster: Cluster, host: Host) -> None:
    """Replace a target that announces that it drains."""
    _replace_target(cluster, host, drain_first=True)


def deregister_target(cluster: Cluster, host: Host) -> None:
    """Replace a target that deregisters without a drain."""
    _replace_target(cluster, host, drain_first=False)


def _replace_target(cluster: Cluster, host: Host, *, drain_first: bool) -> None:
    if sum(other.state != "ready" for other in cluster.hosts) < MAX_DEPARTING_TARGETS:
        host.replace_target(drain_first=drain_first)


def answer_without_end(cluster: Cluster, host: Host) -> None:
    """Make the store or the target of a node send bodies without an end."""
    proxy = cluster.rng.choice((host.store_proxy, host.target_proxy))
    proxy.set_mode(ProxyMode.ENDLESS)
    eventlet.sleep(_random_fault_duration(cluster))
    proxy.set_mode(ProxyMode.PASS)


def deregister_before_a_stop(cluster: Cluster, host: Host) -> None:
    """Stop a node whose target has deregistered and serves on, and send a late heartbeat."""
    if sum(other.state != "ready" for other in cluster.hosts) < MAX_DEPARTING_TARGETS:
        host.replace_target(drain_first=False, during=lambda: host.restart(signal.SIGTERM))


def crash_target(cluster: Cluster, host: Host) -> None:
    """Send a request that crashes each target that runs it, again and again."""
    path = f"/{host.service}/{CRASH_PATH_PART}-{cluster.rng.randrange(1_000_000)}"
    for _ in range(CRASH_REQUESTS):
        cluster.probe_route(cluster.rng.choice(cluster.hosts), path, host.service)
        eventlet.sleep(cluster.rng.uniform(0.1, 1.0))


def disturb_log_reader(cluster: Cluster, host: Host) -> None:
    """Stop reading the log of a node for a while, or until its process ends."""
    reader = host.log_reader
    if cluster.rng.random() < 0.5:
        reader.close()
        return
    reader.pause()
    eventlet.sleep(_random_fault_duration(cluster))
    reader.resume()


def take_port(cluster: Cluster, host: Host) -> None:
    """Kill a node, and hold one of its ports while it starts."""
    listener = cluster.rng.choice(sorted(host.addresses))
    host.restart(signal.SIGKILL, held_port=listener, held_s=cluster.rng.uniform(0.5, 2.5))


def send_large_bodies(cluster: Cluster, host: Host) -> None:
    """Send several large bodies within the limits at once."""
    pool = eventlet.GreenPool()
    for _ in range(cluster.rng.randrange(1, 5)):
        size = cluster.rng.randrange(MAX_LARGE_BODY_BYTES)
        pool.spawn_n(cluster.send_random_request, host, b"x" * size)
    pool.waitall()


def send_endless_body(cluster: Cluster, host: Host) -> None:
    """Send a body without an end, in pieces of a drawn size, until the node closes."""
    try:
        sock = eventlet.connect(host.addresses["outbound"])
    except OSError:
        # The node is down.
        return
    head = (
        f"POST /once/{host.service}/x HTTP/1.1\r\nHost: h.example\r\n"
        f"Authorization: Token {STEADY_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    pieces = endless_pieces(cluster.rng)
    with contextlib.closing(sock), eventlet.Timeout(MAX_FAULT_DURATION_S, False):
        try:
            sock.sendall(head.encode())
            while True:
                sock.sendall(pieces)
        except OSError:
            # The node has closed the connection.
            return


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
FURTHER_FAULTS: tuple[Fault, ...] = (
    deregister_before_a_stop,
    crash_target,
    answer_without_end,
    disturb_log_reader,
    take_port,
    send_large_bodies,
    send_endless_body,
    restore_store,
)
# Listed twice, so that most runs draw them.
TENANT_FAULTS: tuple[Fault, ...] = (change_config, evacuate_zone) * 2
