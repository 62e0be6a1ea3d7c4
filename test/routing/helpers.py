"""Sample targets and a target chooser for the tests of routing."""

import random
from collections import Counter
from datetime import timedelta

from almondshore.core.clock import ManualClock
from almondshore.core.messages import TargetRecord, TargetState
from almondshore.routing.choice import ResultKind, TargetChooser, TargetResult
from almondshore.routing.outlier import OutlierEjector

ALL_V1 = {"v1": 1.0}


def target(name, zone="z1", version="v1", slots=10, state=TargetState.UP):
    return TargetRecord(name, f"node-{name}", "s", version, "addr", zone, slots, 1, state)


class ChooserHarness:
    """A chooser with a manual clock and a fixed seed."""

    def __init__(self, records, seed=1, **limits):
        self.clock = ManualClock()
        self.ejector = OutlierEjector(clock=self.clock)
        self.chooser = TargetChooser(
            clock=self.clock, rng=random.Random(seed), zone="z1", ejector=self.ejector, **limits
        )
        self.chooser.update("s", records)

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def report(self, name, busy, queued=0, kind=ResultKind.OK):
        self.chooser.started(name)
        self.chooser.finished(name, TargetResult(kind, busy, queued))

    def chosen(self, count, weights=ALL_V1, exclude=(), by="target"):
        picks = (self.chooser.choose("s", weights, exclude) for _ in range(count))
        return Counter(getattr(pick, by) if pick else None for pick in picks)
