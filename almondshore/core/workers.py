"""Greenlets that are restarted after an unexpected error."""

from collections.abc import Callable
from datetime import timedelta

import eventlet

from almondshore.core.logs import log_event

# Keeps a function that fails immediately from filling the log and using up the processor.
RESTART_DELAY = timedelta(seconds=1)


def spawn_worker(name: str, run: Callable[[], None]) -> eventlet.greenthread.GreenThread:
    """Run a function in a greenlet of its own, and again after each unexpected error.

    :param name: logged with each error
    :param run: called until it returns without an error
    """
    return eventlet.spawn(_run, name, run)


def _run(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            run()
            return
        except Exception as error:
            log_event("worker_failed", level="ERROR", worker=name, error=repr(error))
        eventlet.sleep(RESTART_DELAY.total_seconds())
