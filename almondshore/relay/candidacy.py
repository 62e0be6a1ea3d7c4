"""Timing of a node's attempts to become a relay."""

import math
import random
from datetime import timedelta

from almondshore.core.clock import Clock

# With these two values, one node in 170 attempts within the first 2 s and the others learn of its
# success; in a zone of four nodes the first attempt comes after about 7 s.
MAX_ATTEMPT_DELAY = timedelta(seconds=9)
DENSITY_DOUBLING_TIME = timedelta(seconds=1)


class Candidacy:
    """Randomizes when a node attempts to acquire a relay slot, so that few nodes attempt at once.

    The probability density of the delay rises exponentially (feedback suppression): the more
    nodes wait, the earlier the first of them attempts, and the number of attempts before the
    others learn of its success hardly depends on the number of nodes.

    :ivar due: monotonic time of the next attempt; None if none is scheduled
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        max_delay: timedelta = MAX_ATTEMPT_DELAY,
        doubling_time: timedelta = DENSITY_DOUBLING_TIME,
    ):
        self.clock = clock
        self.rng = rng
        self.max_delay = max_delay
        self.doubling_time = doubling_time
        self.due: timedelta | None = None

    def should_attempt(self, connected: bool, *, has_usable_relay: bool = False) -> bool:
        """Return whether to attempt now; to be called on each tick.

        :param connected: whether a relay in this node's zone responds to it
        :param has_usable_relay: whether a known relay in the zone is not being avoided; the
            attempt then waits until that relay has been tried
        """
        now = self.clock.monotonic()
        if connected:
            self.due = None
            return False
        if self.due is None:
            self.due = now + self._delay()
            return False
        if now < self.due or has_usable_relay:
            return False
        self.due = now + self._delay()
        return True

    def postpone(self, until: timedelta) -> None:
        """Delay the next attempt until the lease of another holder can have expired.

        :param until: time on this node's monotonic clock
        """
        self.due = max(until, self.clock.monotonic()) + self._delay()

    def _delay(self) -> timedelta:
        doublings = self.max_delay / self.doubling_time
        return self.doubling_time * math.log2(1 + self.rng.random() * (2**doublings - 1))
