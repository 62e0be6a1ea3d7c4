"""Property test of at-most-once execution with random sequences of failures."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from standins.object_store import Fault
from test.retries.helpers import Fleet, key_of

KEYS = 6
ENDINGS = st.sampled_from(["done", "not-run", "lost", "silent"])
STEP = st.one_of(
    st.tuples(st.just("send"), st.integers(0, KEYS - 1), ENDINGS),
    st.tuples(st.just("send"), st.integers(0, KEYS - 1), ENDINGS),
    st.tuples(st.just("kill-owner"), st.integers(0, KEYS - 1), st.none()),
    st.tuples(st.just("start"), st.none(), st.none()),
    st.tuples(st.just("fault"), st.sampled_from(list(Fault)), st.none()),
    st.tuples(st.just("advance"), st.sampled_from([1, 4, 12, 40]), st.none()),
)


def apply(fleet, keys, step):
    kind, value, ending = step
    if kind == "send":
        fleet.send(keys[value], ending)
    elif kind == "kill-owner" and len(fleet.nodes) > 1:
        fleet.kill(fleet.owner(keys[value]))
    elif kind == "start" and fleet.started < 3:
        fleet.start()
    elif kind == "fault":
        fleet.store.fault = value
    elif kind == "advance":
        fleet.advance(value)


class OncePropertyTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(steps=st.lists(STEP, max_size=12), claim_rate=st.sampled_from([0.05, 1000.0]))
    def test_each_key_runs_at_most_once(self, steps, claim_rate):
        """Guards against a second run by any order of crashes, repeats, outages, lost answers."""
        fleet = Fleet(claim_rate=claim_rate)
        keys = [key_of(fleet, owner, n) for owner in ("a", "b") for n in range(KEYS // 2)]
        for step in steps:
            apply(fleet, keys, step)
        fleet.store.fault = Fault.NONE
        fleet.advance(40)
        for key in keys:
            fleet.send(key)
        self.assertTrue(all(count == 1 for count in fleet.runs.values()), fleet.runs)
