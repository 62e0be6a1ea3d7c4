"""Entry point of the node process on the users' platform."""

import os
import signal
import sys

# Addresses are numeric and connections are plain HTTP. Without eventlet's DNS resolver and the TLS
# library, which eventlet loads where they are installed, a process takes 10 MB less. None makes an
# import of the module fail.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
sys.modules.setdefault("ssl", None)

# By default, a SIGHUP that arrives while modules are imported would end the process. The settings
# are read afterwards, so ignoring the signal misses no change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import random  # noqa: E402
from datetime import timedelta  # noqa: E402

import eventlet  # noqa: E402

from almondshore.core.bounded_stream import (  # noqa: E402
    BoundedStream,
    ErrorOutput,
    open_standard_descriptors,
)
from almondshore.core.clock import BootClock  # noqa: E402
from almondshore.core.errors import InvalidInputError  # noqa: E402
from almondshore.core.logs import log_event, setup_logs  # noqa: E402
from almondshore.core.workers import spawn_worker  # noqa: E402
from almondshore.http.buffering import MemoryBudget, max_held_bytes  # noqa: E402
from almondshore.http.client import ConnectionPool  # noqa: E402
from almondshore.http.stream import READ, watch  # noqa: E402
from almondshore.mesh.node import ListenError, MeshNode  # noqa: E402
from almondshore.mesh.settings import MeshSettings, load_mesh_settings  # noqa: E402
from almondshore.platform import names  # noqa: E402
from almondshore.platform.announcements import AnnouncementHandler  # noqa: E402
from almondshore.platform.bounds import decode_bounds  # noqa: E402
from almondshore.platform.dialect import PlatformDialect  # noqa: E402
from almondshore.platform.objects import ObjectClient, PlatformStore  # noqa: E402

SETTINGS_VARIABLE = "ALMONDSHORE_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/almondshore/node.conf"
CHECK_OPTION = "--check"
STDOUT_FD = 1
# A changed settings file takes effect after at most this time.
SETTINGS_POLL_INTERVAL = timedelta(seconds=2)
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Run a node until it is signalled to stop, or only check its settings.

    With ``--check`` as its only argument it exits after the settings have been checked. It exits
    with status 2 if the settings are invalid, and with 1 if a listener cannot be opened.
    """
    open_standard_descriptors()
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        settings = load_mesh_settings(path, decode_bounds)
    except InvalidInputError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    if sys.argv[1:] == [CHECK_OPTION]:
        sys.stdout.write(f"{path}: no findings\n")
        return
    stream = BoundedStream(descriptor=STDOUT_FD)
    setup_logs(stream=stream)
    sys.stderr = ErrorOutput(stream=stream)
    node = build_node(settings, stream)
    handler = AnnouncementHandler(
        on_announcement=node.on_announcement, on_deregistration=node.on_deregistration
    )
    try:
        node.start(handler)
    except ListenError as error:
        log_event("listen_failed", level="ERROR", error=error)
        stream.drain()
        sys.exit(EXIT_FAILED)
    watch_signals(node, path)
    spawn_worker("settings", lambda: watch_settings(node, path))
    node.run_until_stopped()
    # Greenlets that wait for the store would keep the process alive.
    os._exit(0)


def build_node(settings: MeshSettings, stream: BoundedStream) -> MeshNode:
    """Return a node that uses the platform's store and headers."""
    clock = BootClock()
    memory = MemoryBudget(max_bytes=max_held_bytes(settings.memory_mb))
    pool = ConnectionPool(clock=clock, memory=memory)
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
    """Handle signals in the event loop, since a signal handler cannot wake eventlet's hub.

    SIGHUP reloads the settings; SIGTERM and SIGINT stop the node.
    """
    read_end, write_end = os.pipe()
    for descriptor in (read_end, write_end):
        os.set_blocking(descriptor, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _ignore_signal)

    def on_readable(_descriptor: int) -> None:
        try:
            numbers = os.read(read_end, 64)
        except BlockingIOError:
            # The event loop would drop the descriptor, and with it all later signals.
            return
        for number in numbers:
            if number == signal.SIGHUP:
                eventlet.spawn(reload_settings, node, path)
            else:
                node.stop()

    watch(READ, read_end, on_readable)


def watch_settings(node: MeshNode, path: str) -> None:
    """Poll the settings file and reload it when it has changed, even without a signal."""
    last_seen = _file_version(path)
    while True:
        eventlet.sleep(SETTINGS_POLL_INTERVAL.total_seconds())
        current = _file_version(path)
        if current != last_seen:
            last_seen = current
            reload_settings(node, path)


def reload_settings(node: MeshNode, path: str) -> None:
    """Reload the settings, and keep the present ones if the new ones are invalid.

    Listeners keep their addresses while a node runs.
    """
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


def _file_version(path: str) -> tuple[int, int] | None:
    """Return a file's modification time and size, None if they cannot be read."""
    try:
        status = os.stat(path)
    except OSError as error:
        log_event("settings_unreadable", level="WARNING", path=path, error=error)
        return None
    return status.st_mtime_ns, status.st_size


def _ignore_signal(*_args: object) -> None:
    """Do nothing: Python needs a handler, but the signal is read from the wake-up descriptor."""


if __name__ == "__main__":
    main()
