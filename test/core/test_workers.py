"""Tests of greenlets that are restarted after unexpected errors."""

from datetime import timedelta
from unittest import mock

import eventlet
from testtools import TestCase

from almondshore.core import workers
from almondshore.core.workers import spawn_worker


class WorkerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.patch("RESTART_DELAY", timedelta(milliseconds=1))
        self.log = self.patch("log_event", mock.Mock())

    def patch(self, name, value):
        patch = mock.patch.object(workers, name, value)
        self.addCleanup(patch.stop)
        return patch.start()

    def test_worker_is_run_again_after_an_error(self):
        """Guards against a node that keeps serving but no longer receives updates."""
        results = iter([ValueError("first"), KeyError("second"), None])

        def run():
            error = next(results)
            if error is not None:
                raise error

        spawn_worker("reader", run).wait()
        logged = [(call.args[0], call.kwargs["worker"]) for call in self.log.call_args_list]
        self.assertEqual([("worker_failed", "reader")] * 2, logged)

    def test_worker_can_be_killed(self):
        """Guards against a worker that treats being killed as an error and starts again."""
        runs = []

        def run():
            runs.append(1)
            eventlet.sleep(60)

        greenlet = spawn_worker("reader", run)
        eventlet.sleep(0)
        greenlet.kill()
        eventlet.sleep(0.01)
        self.assertEqual([1], runs)
        self.log.assert_not_called()
