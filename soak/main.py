"""Randomized fault soak: ``python -m soak.main --seeds 1-50``."""

import argparse
import signal
import sys
import tempfile
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import eventlet

from almondshore.core.bounded_stream import BoundedStream
from almondshore.core.logs import setup_logs
from soak.proxy import Mode
from soak.world import Host, World

STDERR = 2
# More than watch the store in a zone, so that some nodes follow others.
HOSTS = 7
SECONDS = 12.0
START_S = 2.5
RECOVERY_S = 6.0
# An accepted configuration is in force everywhere within this time.
CONFIG_BOUND_S = 2.0
CHECKS_AT_END = 60
MIN_GAP_S, MAX_GAP_S = 0.1, 1.2
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
MAX_LEAVING = 1

Fault = Callable[[World, Host], None]


def _fault_time(world: World) -> float:
    return world.rng.uniform(MIN_FAULT_S, MAX_FAULT_S)


def kill_node(world: World, host: Host) -> None:
    """Kill a node process and start it again."""
    host.restart(signal.SIGKILL)


def stop_node(world: World, host: Host) -> None:
    """Stop a node process as planned work does, and start it again."""
    host.restart(signal.SIGTERM)


def pause_node(world: World, host: Host) -> None:
    """Let a node process stand still."""
    host.signal(signal.SIGSTOP)
    eventlet.sleep(_fault_time(world))
    host.signal(signal.SIGCONT)


def reload_node(world: World, host: Host) -> None:
    """Have a node read its settings again."""
    host.signal(signal.SIGHUP)


def harm_store_path(world: World, host: Host) -> None:
    """Harm the connections of a node to the store."""
    host.store_proxy.set_mode(world.rng.choice(list(Mode)[1:]))
    eventlet.sleep(_fault_time(world))
    host.store_proxy.set_mode(Mode.PASS)


def harm_target_path(world: World, host: Host) -> None:
    """Harm the connections of a node to its target."""
    host.app_proxy.set_mode(world.rng.choice(list(Mode)[1:]))
    eventlet.sleep(_fault_time(world))
    host.app_proxy.set_mode(Mode.PASS)


def harm_store(world: World, _host: Host) -> None:
    """Let the store refuse calls, or lose the answers to writes."""
    if world.rng.random() < 0.5:
        world.store.refusal_status = world.rng.choice((429, 503))
    else:
        world.store.drop_write_responses = True
    eventlet.sleep(_fault_time(world))
    world.store.refusal_status, world.store.drop_write_responses = 0, False


def forget_history(world: World, _host: Host) -> None:
    """Let the store drop its history."""
    world.store.compact_history()


def change_config(world: World, _host: Host) -> None:
    """Write a new configuration."""
    world.change_config()


def drain_target(world: World, host: Host) -> None:
    """Let a target leave after it said so; another one takes its place."""
    _leave(world, host, notice=True)


def deregister_target(world: World, host: Host) -> None:
    """Let a target leave without a word before; another one takes its place."""
    _leave(world, host, notice=False)


def _leave(world: World, host: Host, *, notice: bool) -> None:
    if sum(other.state != "ready" for other in world.hosts) < MAX_LEAVING:
        host.leave(notice=notice)


FAULTS: tuple[Fault, ...] = (
    kill_node,
    stop_node,
    pause_node,
    reload_node,
    harm_store_path,
    harm_target_path,
    harm_store,
    forget_history,
    change_config,
    drain_target,
    deregister_target,
)


def play(*, seed: int, folder: Path, seconds: float = SECONDS, hosts: int = HOSTS) -> World:
    """Play one run; the broken promises are in the world that is returned."""
    world = World(folder=folder, hosts=hosts, seed=seed)
    try:
        eventlet.sleep(START_S)
        world.start_callers()
        _inject(world, seconds)
        eventlet.sleep(RECOVERY_S)
        served = 0
        for number in range(CHECKS_AT_END):
            served += world.send(world.hosts[number % hosts]) == 200
        world.promises.check_recovery(served, CHECKS_AT_END)
        path = world.add_route()
        eventlet.sleep(CONFIG_BOUND_S)
        for host in world.hosts:
            world.promises.check_in_force(host.name, path, world.request(host, path))
    finally:
        world.close()
    return world


def _inject(world: World, seconds: float) -> None:
    """Start faults one after the other; they overlap, at most one of a kind for a host."""
    busy: set[Host] = set()
    end = world.clock.monotonic() + timedelta(seconds=seconds)
    pile = eventlet.GreenPool()

    def run(fault: Fault, host: Host) -> None:
        try:
            fault(world, host)
        finally:
            busy.discard(host)

    while world.clock.monotonic() < end:
        eventlet.sleep(world.rng.uniform(MIN_GAP_S, MAX_GAP_S))
        free = [host for host in world.hosts if host not in busy]
        if free:
            host = world.rng.choice(free)
            busy.add(host)
            pile.spawn_n(run, world.rng.choice(FAULTS), host)
    pile.waitall()


def main() -> int:
    """Play the seeds, and print what was seen and each broken promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="first and last seed, such as 1-50")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="time of the faults")
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed seeds")
    options = parser.parse_args()
    setup_logs(level="ERROR", stream=BoundedStream(descriptor=STDERR))
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            world = play(seed=seed, folder=Path(folder), seconds=options.seconds)
            statuses = " ".join(
                f"{key}={count}" for key, count in sorted(world.promises.statuses.items())
            )
            print(f"seed {seed}: {len(world.promises.broken)} broken; {statuses}", flush=True)
            for line in world.promises.broken:
                print(f"  {line}")
            if world.promises.broken:
                failed += 1
                if options.keep is not None:
                    Path(folder).rename(options.keep / f"seed-{seed}")
                    Path(folder).mkdir()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
