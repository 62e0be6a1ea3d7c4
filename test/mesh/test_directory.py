"""Tests of the directory of targets."""

from datetime import timedelta

from testtools import TestCase

from almondshore.core.clock import ManualClock
from almondshore.mesh.directory import MAX_UNREACHABLE_PAUSE, Directory
from almondshore.mesh.model import TargetState
from test.mesh.samples import target


class DirectoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = Directory(clock=self.clock)

    def ready(self):
        return [item.target for item in self.directory.ready("s")]

    def test_older_entries_do_not_replace_newer_ones(self):
        """Guards against a stale read that makes a draining target available again."""
        self.directory.put(target(sequence=3, state=TargetState.DRAINING))
        self.directory.put(target(sequence=2))
        self.directory.put(target(sequence=3))
        self.assertEqual([], self.ready())
        self.directory.put(target(sequence=1, born_ms=2000))
        self.assertEqual(["t1"], self.ready())

    def test_unreachable_node_gets_no_requests_until_it_answers(self):
        """Guards against requests that time out at a host that is gone.

        A host that was removed during an outage of the store kept its entry, so that requests were
        sent to it every few seconds.
        """
        near, far = target("t1"), target("t2", node=("10.0.0.2", 1))
        self.directory.replace([near, far])
        self.directory.mark_unreachable(near.node, "test")
        self.clock.advance(timedelta(seconds=60))
        self.assertEqual(["t2"], self.ready())
        self.directory.mark_reachable(near.node)
        self.assertEqual(["t1", "t2"], self.ready())

    def test_unreachable_node_is_probed_less_often_each_time(self):
        """Guards against constant probes of a host that is gone, by all nodes."""
        pauses = []
        self.directory.on_unreachable = lambda _node, pause: pauses.append(pause)
        self.directory.put(target())
        for _ in range(8):
            self.directory.mark_unreachable(target().node, "test")
            self.directory.mark_unreachable(target().node, "repeated")
            self.clock.advance(timedelta(seconds=4))
        self.assertEqual(8, len(pauses))
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(MAX_UNREACHABLE_PAUSE, pauses[-1])
        self.assertTrue(pauses[0] * 2 == pauses[1])

    def test_only_target_is_tried_although_its_node_is_unreachable(self):
        """Guards against a service that is unavailable after one lost packet."""
        self.directory.put(target())
        self.directory.mark_unreachable(target().node, "test")
        self.assertEqual(["t1"], self.ready())

    def test_paused_target_gets_no_requests(self):
        """Guards against a request that is sent to a target known to be leaving."""
        self.directory.put(target())
        self.directory.pause_target("t1", timedelta(seconds=1))
        self.assertEqual([], self.ready())
        self.clock.advance(timedelta(seconds=1.1))
        self.assertEqual(["t1"], self.ready())

    def test_only_the_newest_target_of_a_node_gets_requests(self):
        """Guards against requests to a target whose host already runs a newer one."""
        self.directory.replace([target("old"), target("new", born_ms=5000)])
        self.assertEqual(["new"], self.ready())
        self.directory.put(target("new", born_ms=5000, sequence=2, state=TargetState.DRAINING))
        self.assertEqual([], self.ready())
