"""The almondshored process."""

import eventlet

eventlet.monkey_patch()

import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NoReturn  # noqa: E402

import cyclopts  # noqa: E402

from almondshore.core.errors import InvalidInputError, ListenError  # noqa: E402
from almondshore.core.logs import log_event, setup_logs  # noqa: E402
from almondshore.daemon.process import NodeProcess  # noqa: E402
from almondshore.daemon.settings import load_settings  # noqa: E402

EXIT_FAILURE = 1
EXIT_USAGE = 2

app = cyclopts.App(name="almondshored", help="The almondshore node for one target host.")


@app.default
def main(*, settings: Path) -> None:
    """Run a node until it is stopped.

    SIGTERM or SIGINT drains the node; a second signal ends the process immediately.

    :param settings: YAML settings file
    """
    try:
        loaded = load_settings(settings)
    except InvalidInputError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_USAGE)
    setup_logs(level=loaded.log.level)
    try:
        process = NodeProcess(settings=loaded)
    except ListenError as error:
        _exit_on_listen_error(error)

    def handle_signal(*_: object) -> None:
        if process.draining:
            log_event("node_ended", node=loaded.node, reason="second signal")
            os._exit(1)
        eventlet.spawn(process.drain)

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    try:
        process.run()
    except ListenError as error:
        _exit_on_listen_error(error)
    # Greenlets blocked on sockets may still be registered with the hub; no request is unanswered.
    os._exit(0)


def _exit_on_listen_error(error: ListenError) -> NoReturn:
    log_event("listen_failed", level="ERROR", address=error.address, error=error.cause)
    # Greenlets of the listeners that are already open would keep the process alive.
    os._exit(EXIT_FAILURE)


def run() -> None:
    """Run the daemon's command line."""
    app()


if __name__ == "__main__":
    run()
