"""The node process on the users' platform."""

import signal

# A request to reload that comes while modules are loaded would end the process. The settings are
# read after this, so that nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
from datetime import timedelta  # noqa: E402

import eventlet  # noqa: E402

from almondshore.core.bounded_stream import BoundedStream  # noqa: E402
from almondshore.core.clock import BootClock  # noqa: E402
from almondshore.core.errors import InvalidInputError  # noqa: E402
from almondshore.core.logs import log_event, setup_logs  # noqa: E402
from almondshore.core.workers import spawn_worker  # noqa: E402
from almondshore.http.client import ConnectionPool  # noqa: E402
from almondshore.http.stream import READ, watch  # noqa: E402
from almondshore.mesh.node import MeshNode  # noqa: E402
from almondshore.mesh.settings import MeshSettings, load_mesh_settings  # noqa: E402
from almondshore.platform import names  # noqa: E402
from almondshore.platform.announcements import AnnouncementHandler  # noqa: E402
from almondshore.platform.bounds import decode_bounds  # noqa: E402
from almondshore.platform.dialect import PlatformDialect  # noqa: E402
from almondshore.platform.objects import ObjectClient, PlatformStore  # noqa: E402

SETTINGS_VARIABLE = "ALMONDSHORE_SETTINGS"
DEFAULT_SETTINGS = "/etc/almondshore/node.conf"
CHECK = "--check"
STDOUT = 1
# A changed file takes effect this much later at most.
SETTINGS_INTERVAL = timedelta(seconds=2)
EXIT_FAILED = 1
EXIT_WRONG_SETTINGS = 2


def main() -> None:
    """Run a node until it is told to stop, or only check its settings."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        settings = load_mesh_settings(path, decode_bounds)
    except InvalidInputError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_WRONG_SETTINGS)
    if sys.argv[1:] == [CHECK]:
        sys.stdout.write(f"{path}: no findings\n")
        return
    stream = BoundedStream(descriptor=STDOUT)
    setup_logs(stream=stream)
    node = build_node(settings, stream)
    handler = AnnouncementHandler(
        on_announcement=node.on_announcement, on_deregistration=node.on_deregistration
    )
    try:
        node.start(handler)
    except OSError as error:
        log_event("listen_failed", level="ERROR", error=error)
        stream.drain()
        sys.exit(EXIT_FAILED)
    watch_signals(node, path)
    spawn_worker("settings", lambda: watch_settings(node, path))
    node.run_until_stopped()
    # Greenlets that wait on the store would keep the process alive.
    os._exit(0)


def build_node(settings: MeshSettings, stream: BoundedStream) -> MeshNode:
    """Return a node that uses the platform's store and headers."""
    clock = BootClock()
    pool = ConnectionPool(clock=clock)
    return MeshNode(
        settings=settings,
        clock=clock,
        rng=random.Random(),
        dialect=PlatformDialect(),
        store=PlatformStore(client=ObjectClient(pool=pool, address=settings.store)),
        pool=pool,
        config_name=names.CONFIG_NAME,
        log_stream=stream,
    )


def watch_signals(node: MeshNode, path: str) -> None:
    """Act on signals from the loop: a handler cannot wake the hub from its wait."""
    read_end, write_end = os.pipe()
    for descriptor in (read_end, write_end):
        os.set_blocking(descriptor, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _ignore_signal)

    def on_readable(_descriptor: int) -> None:
        for number in os.read(read_end, 64):
            if number == signal.SIGHUP:
                eventlet.spawn(reload_settings, node, path)
            else:
                node.stop()

    watch(READ, read_end, on_readable)


def watch_settings(node: MeshNode, path: str) -> None:
    """Read the settings again when the file has changed, also without a signal."""
    known = _change_of(path)
    while True:
        eventlet.sleep(SETTINGS_INTERVAL.total_seconds())
        found = _change_of(path)
        if found != known:
            known = found
            reload_settings(node, path)


def reload_settings(node: MeshNode, path: str) -> None:
    """Read the settings again; addresses of listeners do not change while a node runs."""
    try:
        settings = load_mesh_settings(path, decode_bounds)
    except InvalidInputError as error:
        log_event("settings_refused", level="ERROR", findings=error)
        return
    changed = [
        name
        for name in MeshSettings._fields
        if getattr(settings, name) != getattr(node.settings, name)
    ]
    node.apply_settings(settings)
    log_event("settings_reloaded", changed=",".join(changed) or "nothing")


def _change_of(path: str) -> tuple[int, int] | None:
    """Return what changes with a file's content, None if it cannot be read."""
    try:
        found = os.stat(path)
    except OSError as error:
        log_event("settings_unreadable", level="WARNING", path=path, error=error)
        return None
    return found.st_mtime_ns, found.st_size


def _ignore_signal(*_args: object) -> None:
    """Serve as the Python-level handler: the wake-up descriptor carries the signal."""


if __name__ == "__main__":
    main()
