"""Tests of the state of moves at a node."""

import random
from datetime import timedelta

from testtools import TestCase

from almondshore.core.messages import MovesSnapshot, MoveStep, Veto
from almondshore.moves.state import MoveTable
from test.moves.helpers import SERVICE, START, make_part, make_targets


def step(epoch, number, *, move_id="m1", service=SERVICE):
    return MoveStep(service, move_id, epoch, number)


def veto(config_version=7, *, version="v2", service=SERVICE, second=0):
    at = START + timedelta(seconds=second)
    return Veto(service, version, config_version, "errors", "n1", at)


def table(part=None):
    result = MoveTable()
    result.set_configuration([part or make_part()])
    return result


class MoveTableTest(TestCase):
    def test_older_epoch_is_refused(self):
        """Guards against a fenced coordinator that raises the share."""
        moves = table()
        moves.apply_step(step(2, 1))
        self.assertFalse(moves.apply_step(step(1, 5)))
        self.assertEqual(0.01, moves.share(make_part()))

    def test_newer_epoch_does_not_lower_the_step(self):
        """Guards against a share that decreases when a coordinator takes over."""
        moves = table()
        moves.apply_step(step(1, 4))
        moves.apply_step(step(2, 2))
        self.assertEqual(step(2, 4), moves.step(make_part()))

    def test_lost_duplicate_and_reordered_messages_converge(self):
        """Guards against nodes that keep different shares or miss a veto."""
        messages = [step(1, n) for n in range(6)] + [step(2, n) for n in range(3, 6)]
        messages += [veto(n, second=n) for n in range(5, 8)]
        for seed in range(50):
            rng = random.Random(seed)
            tables = [table() for _ in range(4)]
            for moves in tables:
                for message in rng.sample(messages * 2, len(messages)):
                    add = moves.apply_step if isinstance(message, MoveStep) else moves.add_veto
                    add(message)
            for _ in range(2):
                for left, right in zip(tables, tables[1:] + tables[:1], strict=True):
                    if left.digest() != right.digest():
                        left.merge(right.snapshot())
                        right.merge(left.snapshot())
            self.assertEqual(1, len({moves.digest() for moves in tables}), seed)
            self.assertEqual(1, len({str(moves.weights(make_part())) for moves in tables}), seed)

    def test_allow_overrides_only_older_vetoes(self):
        """Guards against a veto that stays in effect despite a later allow rule."""
        part = make_part(allowed={"v2": 8})
        moves = table(part)
        moves.apply_step(step(1, 3))
        moves.add_veto(veto(7))
        self.assertEqual(0.25, moves.weights(part)["v2"])
        moves.add_veto(veto(8, second=5))
        self.assertEqual({"v1": 1.0}, moves.weights(part))

    def test_older_veto_does_not_replace_a_newer_one(self):
        """Guards against a late copy of an overridden veto that hides one in effect."""
        part = make_part(allowed={"v2": 8})
        moves = table(part)
        moves.add_veto(veto(8, second=5))
        self.assertFalse(moves.add_veto(veto(7, second=9)))
        self.assertEqual({"v1": 1.0}, moves.weights(part))

    def test_configuration_overrides_steps_and_a_veto_overrides_both(self):
        """Guards against steps that undo a recorded outcome or keep a vetoed version."""
        moves = table()
        moves.apply_step(step(1, 3))
        self.assertEqual({"v1": 1.0}, moves.weights(make_part(state="reverted")))
        done = make_part(state="done")
        self.assertEqual({"v2": 1.0}, moves.weights(done))
        moves.add_veto(veto())
        self.assertEqual({"v1": 1.0}, moves.weights(done))

    def test_flood_does_not_evict_what_the_configuration_needs(self):
        """Guards against unbounded memory and against evicting a veto that is in effect."""
        moves = MoveTable(max_vetoes=10, max_steps=10)
        moves.set_configuration([make_part()])
        moves.add_veto(veto())
        moves.apply_step(step(1, 2))
        digest = moves.digest()
        for n in range(100):
            moves.add_veto(veto(service=f"s{n}"))
            moves.apply_step(step(9, 5, service=f"s{n}"))
        self.assertEqual((10, 10), (len(moves.vetoes), len(moves.steps)))
        self.assertIn((SERVICE, "v2"), moves.vetoes)
        self.assertIn((SERVICE, "m1"), moves.steps)
        self.assertEqual(digest, moves.digest())

    def test_restarted_node_is_not_synced_before_a_snapshot(self):
        """Guards against routing by default shares after a restart."""
        moves = table()
        self.assertFalse(moves.synced)
        moves.merge(MovesSnapshot([], [step(3, 4)]))
        self.assertTrue(moves.synced)
        self.assertEqual(0.5, moves.share(make_part()))

    def test_few_targets_take_a_small_share_and_stay_when_it_grows(self):
        """Guards against spreading a small share over many targets, or changing them per step."""
        moves, part = table(), make_part()
        names = {"v1": ["a1", "a2", "a3", "a4"], "v2": ["b1", "b2", "b3", "b4"]}
        chosen = []
        for number in (3, 4, 5):
            moves.apply_step(step(1, number))
            limited = moves.limit_targets(part, make_targets(names))
            self.assertEqual(4, len(limited["v1"]))
            chosen.append({record.target for record in limited["v2"]})
        self.assertEqual([1, 2, 4], [len(targets) for targets in chosen])
        self.assertTrue(chosen[0] < chosen[1] < chosen[2])

    def test_lost_target_is_replaced(self):
        """Guards against a share without targets after the loss of the only one in use."""
        moves, part = table(), make_part()
        moves.apply_step(step(1, 3))
        names = {"v1": ["a1", "a2"], "v2": ["b1", "b2"]}
        (first,) = moves.limit_targets(part, make_targets(names))["v2"]
        names["v2"].remove(first.target)
        (second,) = moves.limit_targets(part, make_targets(names))["v2"]
        self.assertNotEqual(first.target, second.target)

    def test_step_out_of_range_is_refused(self):
        """Guards against applying an invalid step from another node."""
        self.assertFalse(table().apply_step(step(1, 6)))
