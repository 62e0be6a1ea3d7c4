"""Greenlets that outlive an unexpected error."""

from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.logs import log_event

# A fault that returns at once must neither fill the log nor the processor.
RESTART_PAUSE = timedelta(seconds=1)


def spawn_worker(name: str, run: Callable[[], None]) -> eventlet.greenthread.GreenThread:
    """Run a function in a greenlet of its own; after an unexpected error it is run again.

    :param run: returns only when its work is done
    """
    return eventlet.spawn(_run, name, run)


def _run(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            run()
            return
        except Exception as error:
            log_event("worker_failed", level="ERROR", worker=name, error=repr(error))
        eventlet.sleep(RESTART_PAUSE.total_seconds())
